package fordridge.faults;

import fordridge.faults.SystemCallShim.Slot;
import java.io.IOException;
import java.net.InetAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Runs a plan of faults against one real {@code serve} process on loopback, with fake clients, fake
 * machines and a fake server of the machine list. Clients and the machine list are connected
 * through a proxy.
 */
final class FaultHarness implements AutoCloseable {
  /** The outcome of one plan. */
  record Result(
      FaultPlan plan,
      List<String> violations,
      int avoidableRejections,
      int emptyPolls,
      String summary,
      List<String> log) {}

  private static final AtomicInteger INSTANCE_COUNT = new AtomicInteger();

  /**
   * Below the kernel's range of ephemeral ports, as a machine could get this port while it is free.
   */
  private static final int LISTEN_PORT = 21_000;

  private static final long CONNECT_TIMEOUT_MILLIS = 250;
  private static final long LONG_CONNECT_TIMEOUT_MILLIS = 3000;

  /** The delay between the requests that are sent right after a start and the handover. */
  private static final long HANDOVER_DELAY_MILLIS = 20;

  /** The longest delay of a withdrawal after its request; longer than machines take to answer. */
  private static final int MAX_WITHDRAWAL_DELAY_MILLIS = 40;

  private static final long LATE_HANDOVER_DELAY_MILLIS = 100;

  /** The number of services that run up to the limit on all machines of their kind but one. */
  private static final int SERVICES_AT_LIMIT = 16;

  private static final int CLIENT_CONNECTIONS = 4;
  private static final long REQUEST_INTERVAL_MILLIS = 12;
  private static final long SETTLE_TIMEOUT_MILLIS = 10_500;

  private static final int MACHINES_REPLACED_AT_ONCE = 3;

  /** SIGKILL follows SIGTERM after the longest deadline in the settings (3 s) and 0.7 s more. */
  private static final long KILL_DELAY_MILLIS = 3000 + 700;

  private static final long NEW_CONNECTIONS_AFTER_TERM_MILLIS = 300;
  private static final long SIGNAL_INTERVAL_MILLIS = 150;
  private static final int CORES = Runtime.getRuntime().availableProcessors();

  private final FaultPlan plan;
  private final SplittableRandom random;
  private final ProtocolChecker checker = new ProtocolChecker();
  private final PlacementChecker placementChecker = new PlacementChecker(checker::now);
  private final ScheduledExecutorService timers = Executors.newScheduledThreadPool(2);
  private final MachineFleet fleet;
  private final MachineListServer machineList;
  private final FaultProxy machineListProxy;
  private final FaultProxy clientProxy;
  private final FakeClients clients;
  private final Optional<SystemCallShim> shim;
  private final InetAddress address = uniqueLoopbackAddress();
  private final Path configuration = Files.createTempFile("fault-harness", ".json");
  private final List<String> log = new ArrayList<>();
  private ServeProcess process;
  private Optional<BusyProcesses> busyProcesses = Optional.empty();
  private int handoverStoppedMillis;
  private int handoverConnectsLateMillis;

  private FaultHarness(FaultPlan plan) throws IOException, InterruptedException {
    this.plan = plan;
    random = new SplittableRandom(plan.seed());
    fleet = new MachineFleet(address, timers, checker, placementChecker, plan.seed());
    machineList = new MachineListServer(address, timers, fleet.allMachines());
    fleet.setMachineList(machineList);
    machineListProxy = new FaultProxy(address, machineList::port);
    clientProxy = new FaultProxy(address, () -> LISTEN_PORT);
    clients =
        new FakeClients(
            address,
            clientProxy.port(),
            () -> LISTEN_PORT,
            CLIENT_CONNECTIONS,
            checker,
            placementChecker,
            plan.seed());
    shim = SystemCallShim.create();
  }

  /** Runs the plan; the result lists each violation of the protocol. */
  static Result run(FaultPlan plan) throws IOException, InterruptedException {
    try (FaultHarness harness = new FaultHarness(plan)) {
      harness.start();
      harness.runLoad();
      harness.awaitSettled();
      harness.log.addAll(harness.process.log());
      harness.placementChecker.violations().forEach(harness.checker::addViolation);
      int emptyPolls = harness.shim.map(shim -> shim.get(Slot.EMPTY_POLLS)).orElse(0);
      return new Result(
          plan,
          harness.checker.finish(),
          harness.checker.avoidableRejections(),
          emptyPolls,
          harness.checker.summary(),
          harness.log);
    }
  }

  /** A loopback address that no other harness uses, in this process or in another campaign's. */
  private static InetAddress uniqueLoopbackAddress() throws IOException {
    int number = INSTANCE_COUNT.getAndIncrement();
    return InetAddress.getByAddress(
        new byte[] {
          127,
          (byte) (64 + ProcessHandle.current().pid() % 128),
          (byte) (number / 200),
          (byte) (1 + number % 200)
        });
  }

  private void start() throws IOException, InterruptedException {
    Files.writeString(configuration, configurationText());
    process =
        new ServeProcess(
            configuration,
            shim,
            busyProcesses.isPresent()
                ? BusyProcesses.onCore(busyProcesses.get().core())
                : List.of());
    process.awaitListening();
  }

  private String configurationText() {
    boolean connectsLate =
        plan.contains(Fault.Kind.HANDOVER_CONNECTS_LATE)
            || plan.contains(Fault.Kind.MACHINE_ACCEPTS_LATE);
    return new HarnessConfiguration(
            address.getHostAddress(),
            LISTEN_PORT,
            machineListProxy.port(),
            machineList.knownEvents(),
            connectsLate ? LONG_CONNECT_TIMEOUT_MILLIS : CONNECT_TIMEOUT_MILLIS)
        .text();
  }

  private void runLoad() throws IOException, InterruptedException {
    long begin = checker.now();
    int next = 0;
    while (checker.now() - begin < plan.loadMillis()) {
      while (next < plan.faults().size()
          && checker.now() - begin >= plan.faults().get(next).atMillis()) {
        inject(plan.faults().get(next++));
      }
      clients.sendRequest();
      Thread.sleep(REQUEST_INTERVAL_MILLIS);
    }
  }

  /** Waits until all obligations are met, or are overdue. */
  private void awaitSettled() throws InterruptedException {
    long until = checker.now() + SETTLE_TIMEOUT_MILLIS;
    while (!checker.isSettled() && checker.now() < until) {
      Thread.sleep(20);
    }
    if (!process.isAlive()) {
      checker.addViolation("the scheduler process exited without a signal from the harness");
    }
  }

  private void inject(Fault fault) throws IOException, InterruptedException {
    log.add(checker.now() + " fault " + fault);
    int amount = fault.amount();
    switch (fault.kind()) {
      case CLIENT_HOP_RESET -> resetClients();
      case CLIENT_HOP_SILENT -> {
        clientProxy.blockTraffic(amount);
        checker.schedulerPaused(amount);
        checker.requestsDelayed(amount);
      }
      case CLIENT_ABANDONED -> clientProxy.blackhole(clients.loseOneSilently());
      case CLIENT_CLOSES -> clients.closeOne(false);
      case CLIENT_RESETS -> clients.closeOne(true);
      case CLIENT_MALFORMED -> clients.sendMalformed();
      case CLIENT_BURST -> {
        for (int i = 0; i < amount; i++) {
          clients.sendRequest();
        }
      }
      case LINES_SPLIT -> {
        clientProxy.limitWrites(amount);
        machineListProxy.limitWrites(amount);
      }
      case MACHINE_HOP_RESET, MACHINE_HOP_CUT -> {
        fleet.randomMachine().resetConnections();
        checker.noticesObstructed();
      }
      case MACHINE_HOP_SILENT, MACHINE_HANGS -> {
        checker.machineUnreachable();
        fleet.randomMachine().hang(amount);
      }
      case ALL_MACHINES_HANG -> {
        checker.machineUnreachable();
        fleet.allMachines().forEach(machine -> machine.hang(amount));
      }
      case MACHINE_DRAINS -> fleet.drain();
      case MACHINE_DIES -> fleet.kill(amount);
      case MACHINE_ANSWERS_LATE -> fleet.randomMachine().answerLate(amount);
      case MACHINES_REPLACED -> {
        for (int i = 0; i < MACHINES_REPLACED_AT_ONCE; i++) {
          fleet.replace(amount);
        }
      }
      case MACHINE_ANSWERS_LOST -> fleet.randomMachine().loseAnswers(amount);
      case MACHINE_ANSWERS_ELSEWHERE -> fleet.randomMachine().answerElsewhere(amount);
      case CLIENTS_GIVE_UP -> sendRequestsToWithdraw(amount);
      case MACHINE_ADDRESS_TAKEN -> fleet.killAndReuseAddress(amount);
      case LIST_HOP_RESET -> machineListProxy.resetConnections();
      case LIST_SILENT -> {
        machineList.stopSending(amount);
        fleet.machineListSilentFor(amount);
      }
      default -> injectIntoProcess(fault);
    }
  }

  private void resetClients() {
    clients.connectionsCutByFault();
    clientProxy.resetConnections();
  }

  private void injectIntoProcess(Fault fault) throws IOException, InterruptedException {
    int amount = fault.amount();
    switch (fault.kind()) {
      case PROCESS_STOPPED -> {
        process.signal("STOP");
        Thread.sleep(amount);
        checker.schedulerPaused(amount);
        process.signal("CONT");
      }
      case PROCESS_KILLED -> killProcess(amount);
      case PROCESS_TERMINATED -> terminateProcess(amount);
      case CORE_CONTENDED -> {
        stopBusyProcesses();
        busyProcesses = Optional.of(BusyProcesses.start(random.nextInt(CORES), amount));
      }
      case HANDOVER_STOPPED -> handoverStoppedMillis = amount;
      case HANDOVER_CONNECTS_LATE -> handoverConnectsLateMillis = amount;
      case MACHINE_ACCEPTS_LATE -> {
        checker.machineUnreachable();
        fleet.randomMachine().acceptLate(amount);
      }
      case CLIENT_CROWD -> clients.connectIdleClients(amount);
      case PROCESS_RELOADED -> {
        Files.writeString(configuration, configurationText());
        process.signal("HUP");
      }
      default -> injectIntoSystemCalls(fault);
    }
  }

  private void injectIntoSystemCalls(Fault fault) {
    if (shim.isEmpty()) {
      return;
    }
    SystemCallFaults.inject(fault, shim.get());
    if (fault.kind() == Fault.Kind.CLOCK_METERED) {
      checker.clocksMetered(fault.amount());
    }
    if (fault.kind() == Fault.Kind.ACCEPT_FAILS) {
      // A client reconnects, so that the scheduler calls accept.
      clients.closeOne(false);
    }
  }

  /** Sends requests that their clients withdraw at about the time when machines answer them. */
  @SuppressWarnings("FutureReturnValueIgnored") // Nothing waits for it.
  private void sendRequestsToWithdraw(int requests) {
    for (int i = 0; i < requests; i++) {
      clients
          .sendRequestToWithdraw()
          .ifPresent(
              id ->
                  timers.schedule(
                      () -> clients.withdraw(id),
                      random.nextInt(MAX_WITHDRAWAL_DELAY_MILLIS),
                      TimeUnit.MILLISECONDS));
    }
  }

  private void killProcess(int requestsBeforeHandover) throws IOException, InterruptedException {
    long begin = checker.now();
    // Called before the signal, as connections that the kill closes are no violation.
    clients.schedulerWillBeKilled();
    process.signal("KILL");
    process.awaitEnd(2000);
    restart(begin, requestsBeforeHandover);
  }

  private void restart(long killedAt, int requestsBeforeHandover)
      throws IOException, InterruptedException {
    clients.schedulerEnded();
    log.addAll(process.log());
    process.close();
    addExistingVms();
    start();
    clients.awaitReady();
    checker.schedulerPaused(checker.now() - killedAt);
    handOver(requestsBeforeHandover);
    checker.noticesObstructed();
  }

  /**
   * Adds existing VMs, so that each service is at its limit on all machines of the kind but one.
   */
  private void addExistingVms() {
    for (int service = 1; service <= SERVICES_AT_LIMIT; service++) {
      int skipped = random.nextInt(fleet.liveMachines().size());
      for (int i = 0; i < fleet.liveMachines().size(); i++) {
        FakeMachine machine = fleet.liveMachines().get(i);
        if (i != skipped && machine.kind().equals(PlacementChecker.LIMITED_CLASS_KIND)) {
          addExistingVmsUpToLimit(service, machine);
        }
      }
    }
  }

  private void addExistingVmsUpToLimit(int service, FakeMachine machine) {
    int count = clients.countRunning(service, machine.id());
    for (int i = count; i < PlacementChecker.MAX_VMS_PER_MACHINE; i++) {
      machine.addExistingVm(clients.addExistingVm(service, machine.id()));
    }
  }

  private void handOver(int requestsBefore) throws IOException, InterruptedException {
    boolean connectsLate = handoverConnectsLateMillis > 0;
    if (connectsLate) {
      for (FakeMachine machine : fleet.liveMachines()) {
        machine.acceptLate(handoverConnectsLateMillis);
      }
      checker.machineUnreachable();
    }
    long stoppedAt = checker.now();
    if (handoverStoppedMillis > 0) {
      process.signal("STOP");
    }
    clients.sendRequestsAtStart(requestsBefore);
    Thread.sleep(connectsLate ? LATE_HANDOVER_DELAY_MILLIS : HANDOVER_DELAY_MILLIS);
    clients.handOver();
    if (handoverStoppedMillis > 0) {
      Thread.sleep(handoverStoppedMillis);
      process.signal("CONT");
      checker.schedulerPaused(checker.now() - stoppedAt);
    }
    handoverStoppedMillis = 0;
    handoverConnectsLateMillis = 0;
  }

  /**
   * Sends SIGTERM and the further signals, sends requests on open connections until the process
   * ends or is due for SIGKILL, and restarts it.
   */
  private void terminateProcess(int furtherSignals) throws IOException, InterruptedException {
    long begin = checker.now();
    process.signal("TERM");
    int signals = 0;
    while (checker.now() - begin < KILL_DELAY_MILLIS && process.isAlive()) {
      boolean mayConnect = checker.now() - begin < NEW_CONNECTIONS_AFTER_TERM_MILLIS;
      if (mayConnect || clients.hasOpenConnection()) {
        clients.sendRequestOnOpen(mayConnect);
      }
      if (signals < furtherSignals
          && checker.now() - begin > (signals + 1) * SIGNAL_INTERVAL_MILLIS) {
        process.signal(signals++ % 2 == 0 ? "HUP" : "TERM");
      }
      Thread.sleep(REQUEST_INTERVAL_MILLIS);
    }
    if (process.isAlive()) {
      clients
          .requestsOpenLongerThan(100)
          .forEach(id -> checker.addViolation(id + ": no response before SIGKILL after SIGTERM"));
      process.signal("KILL");
    }
    process.awaitEnd(2000);
    // Lets the clients read what the process wrote before it ended.
    Thread.sleep(100);
    restart(checker.now(), 0);
  }

  private void stopBusyProcesses() {
    busyProcesses.ifPresent(BusyProcesses::close);
    busyProcesses = Optional.empty();
  }

  @Override
  public void close() throws IOException {
    stopBusyProcesses();
    clients.close();
    if (process != null) {
      process.close();
    }
    timers.shutdownNow();
    clientProxy.close();
    machineListProxy.close();
    machineList.close();
    for (FakeMachine machine : fleet.allMachines()) {
      machine.close();
    }
    if (shim.isPresent()) {
      shim.get().close();
    }
    Files.delete(configuration);
  }
}
