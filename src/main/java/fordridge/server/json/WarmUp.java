package fordridge.server.json;

import fordridge.json.ClientConnection;
import fordridge.json.ClientRequest;
import fordridge.json.ClientRequestHandler;
import fordridge.json.ClientServer;
import fordridge.model.Machine;
import fordridge.model.MachineKind;
import fordridge.model.PlacementAttempt;
import fordridge.model.PlacementAttempt.Outcome;
import fordridge.model.PlacementAttempt.OutcomeReason;
import fordridge.model.SchedulerSettings;
import fordridge.model.Vm;
import fordridge.runtime.SchedulerInputs;
import fordridge.runtime.SchedulerInputs.ListedMachine;
import fordridge.scheduling.SchedulerActions;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * Warms the JVM up before the server listens: runs requests through a separate scheduler, and lines
 * through the codec. With a fraction of a core, a JVM that has compiled nothing yet reads its first
 * requests most of a second late, when hundreds have arrived.
 */
final class WarmUp implements SchedulerActions, ClientRequestHandler {
  private static final int MAX_REQUESTS = 260;
  private static final int MACHINES = 12;
  private static final int SERVICES = 7;
  private static final Duration REQUEST_INTERVAL = Duration.ofMillis(40);
  private static final Duration VM_LIFETIME = Duration.ofMillis(1);
  private static final Duration START_DEADLINE = Duration.ofSeconds(4);

  private final SchedulerSettings settings;
  private final String priorityClass;
  private final SchedulerInputs<String> inputs =
      new SchedulerInputs<>(this, SchedulerInputs::machineId);

  /** Inputs that result from the scheduler's actions; they run once the scheduler has returned. */
  private final Deque<Runnable> pendingInputs = new ArrayDeque<>();

  private Duration now = Duration.ofSeconds(1);
  private int requestsReceived;

  private WarmUp(SchedulerSettings settings) {
    this.settings = settings;
    priorityClass = settings.priorityClasses().get(0).name();
  }

  /** Runs for at most {@code maxTime}; returns the number of requests that were read. */
  static int run(ServerConfiguration configuration, Duration maxTime) {
    long startedNanos = System.nanoTime();
    WarmUp warmUp = new WarmUp(configuration.schedulerSettings());
    warmUp.start(configuration.seed());
    EmbeddedChannel channel = new EmbeddedChannel();
    ClientServer.addEmbeddedConnection(warmUp, channel.pipeline());
    for (int i = 0; i < MAX_REQUESTS && System.nanoTime() - startedNanos < maxTime.toNanos(); i++) {
      warmUp.placeVm(i);
      warmUp.sendRequest(i, channel);
    }
    channel.finishAndReleaseAll();
    return warmUp.requestsReceived;
  }

  private void start(long seed) {
    inputs.scheduler.advanceTo(now);
    inputs.scheduler.start(seed, settings);
    List<MachineKind> kinds = settings.machineKinds();
    List<ListedMachine<String>> machines = new ArrayList<>();
    for (int i = 0; i < MACHINES; i++) {
      MachineKind kind = kinds.get(i % Math.max(1, kinds.size()));
      machines.add(
          new ListedMachine<>(
              "m" + i,
              settings.zone(),
              kind.name(),
              0,
              kind.cores(),
              kind.memory(),
              Machine.Lifecycle.LIVE,
              null));
    }
    inputs.machineListReceived(true, false, machines);
  }

  private void placeVm(int number) {
    now = now.plus(REQUEST_INTERVAL);
    inputs.scheduler.advanceTo(now);
    Vm vm = new Vm("vm" + number);
    vm.priorityClass = priorityClass;
    vm.service = number % SERVICES;
    vm.cores = 1;
    vm.memory = 1;
    vm.arrivedAt = now;
    vm.deadline = now.plus(START_DEADLINE);
    inputs.addVm(vm);
    inputs.scheduler.vmRequested(vm);
    while (!pendingInputs.isEmpty()) {
      pendingInputs.removeFirst().run();
    }
    Machine machine = inputs.machine("m" + number % MACHINES);
    inputs.loadReported(machine, machine.cores / 2, machine.memory / 2, 0.5, now);
    inputs.scheduler.loadReported(machine);
  }

  private void sendRequest(int number, EmbeddedChannel channel) {
    String id = String.format("%016x", number);
    String line =
        "{\"t\":\"new\",\"ref\":\""
            + id
            + "\",\"f\":{\"class\":\""
            + priorityClass
            + "\",\"left\":\"1500\",\"key\":\""
            + id
            + "\",\"extras\":\"cores:1;memory:2;service:"
            + id
            + "\"},\"d\":\"c=\\r\\nm=\"}\n";
    channel.writeInbound(Unpooled.copiedBuffer(line, StandardCharsets.UTF_8));
    ByteBuf response = channel.readOutbound();
    while (response != null) {
      response.release();
      response = channel.readOutbound();
    }
  }

  @Override
  public void sendAttempt(PlacementAttempt attempt, Duration timeout) {
    pendingInputs.addLast(() -> acceptAndEnd(attempt));
  }

  private void acceptAndEnd(PlacementAttempt attempt) {
    inputs.scheduler.attemptAccepted(attempt);
    inputs.scheduler.coreUsageReported(attempt, 0.5);
    inputs.scheduler.memoryUsageReported(attempt, 0.5);
    now = now.plus(VM_LIFETIME);
    inputs.scheduler.advanceTo(now);
    inputs.scheduler.attemptEnded(attempt, Outcome.DONE, OutcomeReason.UNSPECIFIED, true);
    inputs.removeIfFinished(attempt.vm);
  }

  @Override
  public void reject(Vm vm, Duration retryAfter) {
    inputs.removeIfFinished(vm);
  }

  @Override
  public void fail(Vm vm) {
    inputs.removeIfFinished(vm);
  }

  @Override
  public void migrate(Vm vm) {}

  @Override
  public void cancelAttempt(PlacementAttempt attempt) {}

  @Override
  public void probe(Machine machine) {
    pendingInputs.addLast(() -> inputs.scheduler.probeCompleted(machine, true, true));
  }

  @Override
  public void scheduleTimer(Duration delay) {
    pendingInputs.addLast(inputs.scheduler::timerFired);
  }

  @Override
  public void log(String line) {}

  @Override
  public void watchMachineList(boolean enabled) {}

  @Override
  public void fetchMachineList() {}

  @Override
  public boolean isReady() {
    return false;
  }

  @Override
  public boolean isInUse(ClientConnection connection) {
    return false;
  }

  @Override
  public void placementRequested(ClientConnection connection, ClientRequest request) {
    requestsReceived++;
    connection.sendAccepted(request.vmId(), request.description());
  }

  @Override
  public void delayedInputRead(ClientConnection connection) {}

  @Override
  public void terminationRequested(ClientConnection connection, String vmId) {}

  @Override
  public void terminationAcknowledged(ClientConnection connection, String vmId) {}

  @Override
  public void connectionClosed(ClientConnection connection) {}

  @Override
  public void malformedInputReceived(ClientConnection connection) {}
}
