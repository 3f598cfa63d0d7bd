package fordridge.server.json;

import fordridge.eventloop.EventLoopTimers;
import fordridge.eventloop.InputGate;
import fordridge.eventloop.SocketPoller;
import fordridge.json.ClientConnection;
import fordridge.json.ClientRequestHandler;
import fordridge.json.ClientServer;
import fordridge.json.InputMemory;
import fordridge.json.MachineListEvent;
import fordridge.json.MachineListWatcher;
import fordridge.runtime.InputKind;
import fordridge.runtime.InputStatistics;
import fordridge.runtime.SchedulerInputs;
import fordridge.session.PendingRequestLimits;
import fordridge.session.PendingResponses;
import io.netty.channel.EventLoopGroup;
import java.time.Duration;
import java.util.Map;
import java.util.function.Consumer;

/**
 * One scheduler with the JSON lines protocol: creates the components around it, starts them, and
 * passes changes of the configuration and the shutdown on to them. It makes no decisions itself.
 * All methods but the constructor are to be called on the event loop.
 */
final class JsonSchedulerServer {
  /** Bounds the work for pending requests; their memory is bounded by {@link HeapBudget}. */
  private static final int MAX_PENDING_REQUESTS = 1000;

  /**
   * Bounds the termination notices, of some hundred bytes each, together with the number of VMs
   * that may be known: all of them may end while no client is connected.
   */
  private static final int MAX_NOTICES = 8000;

  /** How long an undelivered termination notice is kept. */
  private static final Duration NOTICE_LIFETIME = Duration.ofSeconds(8);

  private static final Duration TICK_INTERVAL = Duration.ofMillis(50);

  private final EventLoopTimers timers;
  private final SchedulerEventLoop loop;
  private final JsonInputPort inputPort;
  private final InputGate gate;
  private final PendingResponses<ClientConnection> pendingResponses;
  private final InputMemory clientInput;
  private final InputMemory machineInput;
  private final ClientResponder clients;
  private final RequestLog requestLog;
  private final JsonSchedulerActions actions;
  private final SchedulerInputs<String> inputs;
  private final ActiveRequests requests;
  private final AttemptOutcomeHandler outcomes;
  private final MachineRegistry machines;
  private final MachineListIntake machineList;
  private final ClientRequestIntake intake;
  private ServerConfiguration configuration;
  private ClientServer clientServer;

  JsonSchedulerServer(
      EventLoopGroup group,
      EventLoopTimers timers,
      SocketPoller poller,
      ServerConfiguration configuration,
      InputStatistics inputStatistics,
      Consumer<String> log) {
    this.timers = timers;
    this.configuration = configuration;
    ServerSettings settings = configuration.serverSettings();
    long startedAtEpochMillis = System.currentTimeMillis();
    HeapBudget heap = HeapBudget.ofThisProcess();
    clientInput = new InputMemory(heap.inputBytes());
    machineInput = new InputMemory(heap.inputBytes());
    requestLog = new RequestLog(log);
    pendingResponses =
        new PendingResponses<>(
            new PendingRequestLimits(MAX_PENDING_REQUESTS, heap.pendingRequestBytes()),
            Math.min(MAX_NOTICES, heap.maxVms()),
            NOTICE_LIFETIME,
            displaced -> requestLog.vmLog().noticeDropped(displaced, "displaced by newer notices"));
    clients = new ClientResponder(pendingResponses, requestLog.vmLog());
    loop = new SchedulerEventLoop(group.next(), timers, poller, inputStatistics, log);
    inputPort = new JsonInputPort(loop, poller);
    gate = new InputGate(timers, inputPort, this::decide);
    AttemptTimers attemptTimers = new AttemptTimers();
    actions =
        new JsonSchedulerActions(loop, gate, clients, settings, requestLog, attemptTimers, log);
    inputs = new SchedulerInputs<>(actions, SchedulerInputs::machineId);
    requests = new ActiveRequests(loop, inputs, heap, attemptTimers, requestLog);
    outcomes =
        new AttemptOutcomeHandler(
            loop, inputs, pendingResponses, clients, requests, requestLog, attemptTimers);
    machines =
        new MachineRegistry(
            group,
            loop,
            gate,
            inputs,
            requests,
            outcomes,
            new MachineConnectionSettings(
                settings.timeouts(), machineInput, configuration.maxMachineConnections()));
    machineList =
        new MachineListIntake(
            loop, inputs, machines, requests, startedAtEpochMillis, requestLog.vmLog());
    intake =
        new ClientRequestIntake(
            loop, inputs, settings, pendingResponses, clients, requests, machines, log);
    loop.attach(inputs.scheduler);
    actions.attach(inputs, machines, requests);
    outcomes.attach(machines);
    machines.setNoticeCheck(pendingResponses::isNoticeUndelivered);
  }

  /** The handler of clients' requests. */
  ClientRequestHandler clientRequestHandler() {
    return intake;
  }

  /** The bound on incomplete lines of all clients. */
  InputMemory clientInputMemory() {
    return clientInput;
  }

  /** The listener for changes of the machine list. */
  MachineListWatcher.Listener machineListListener() {
    return machineList;
  }

  /** Starts the scheduler with the machine list of the configuration, and the periodic tasks. */
  void start(ClientServer newClientServer) {
    clientServer = newClientServer;
    loop.setClients(newClientServer);
    inputPort.setClients(newClientServer);
    loop.submit(
        InputKind.START,
        () -> inputs.scheduler.start(configuration.seed(), configuration.schedulerSettings()));
    for (MachineListEvent event : configuration.readInitialMachineList()) {
      machineList.machineListChanged(event);
    }
    configuration = configuration.withoutMachineList();
    machineList.markWatching();
    timers.runEvery(
        TICK_INTERVAL, () -> loop.submitAfterSocketRead(Duration.ZERO, InputKind.TICK, this::tick));
    loop.startLagMonitor();
    intake.markReady();
  }

  /** Sets the task that reads the watch of the machine list at once. */
  void setMachineListReader(Runnable readNow) {
    loop.setMachineListReader(readNow);
  }

  private void decide() {
    inputs.scheduler.allInputRead();
  }

  private void tick() {
    machines.tick();
    machineList.advanceTakeovers();
    clients.expireNotices(loop.now());
    clients.resendOverdueNotices(loop.now());
  }

  /** Applies another configuration to all that follows. */
  void reconfigure(ServerConfiguration next) {
    machines.setMaxConnections(next.maxMachineConnections());
    if (!next.hasSameSettings(configuration)) {
      ServerSettings settings = next.serverSettings();
      intake.setSettings(settings);
      actions.setSettings(settings);
      machines.setTimeouts(settings.timeouts());
      loop.submit(
          InputKind.SETTINGS, () -> inputs.scheduler.settingsChanged(next.schedulerSettings()));
    }
    configuration = next;
  }

  /**
   * Stops placing VMs: pending requests are answered at once, or with the outcome of their attempt
   * in flight.
   */
  void startShutdown() {
    loop.submit(InputKind.SHUTDOWN, inputs.scheduler::shutdownStarted);
  }

  /** Fails all pending requests at once and cancels their attempts. */
  void failPendingRequests() {
    loop.submit(InputKind.SHUTDOWN, intake::failPendingRequests);
  }

  /** Ignores termination notices of machines from now on. */
  void stopListeningToMachines() {
    machines.stopListening();
  }

  /** The longest time for which a client waits for a VM to start. */
  Duration maxStartDeadline() {
    return configuration.serverSettings().maxStartDeadline();
  }

  int machineConnectionCount() {
    return machines.openConnectionCount();
  }

  int pendingRequestCount() {
    return pendingResponses.pendingRequests();
  }

  /** The number of termination notices that are deferred or not acknowledged. */
  int undeliveredNoticeCount() {
    return pendingResponses.undeliveredNotices();
  }

  /** Whether a machine may run a VM that nobody owns and has not confirmed its release. */
  boolean hasUnsettledAttempts() {
    return machines.hasUnsettled();
  }

  /** The number of requests, VMs, payloads and notices that are retained. */
  int retainedCount() {
    return requests.retainedCount()
        + pendingResponses.pendingRequests()
        + pendingResponses.runningVms()
        + pendingResponses.undeliveredNotices();
  }

  /** The responses and notices that are outstanding, for the log. */
  String describeOutstanding() {
    return pendingResponses.describe();
  }

  /** The outcomes of requests in one line, for the log; starts a new reporting period. */
  String takeRequestSummary() {
    return requestLog.takeSummary()
        + ", "
        + gate.describe()
        + ", connections unread for too long "
        + (clientServer == null ? 0 : clientServer.unreadTooLongCount())
        + ", paused for messages without effect "
        + (clientServer == null ? 0 : clientServer.readPauseCount())
        + ", VMs whose end is unconfirmed "
        + inputs.scheduler.describeUnconfirmedEnds()
        + ", unsettled attempts "
        + machines.describeUnsettled();
  }

  /** The server's state in one line. */
  String status() {
    return describeOutstanding()
        + ", machines "
        + machines.size()
        + ", machine connections "
        + machines.openConnectionCount()
        + ", client connections "
        + (clientServer == null ? 0 : clientServer.connectionCount())
        + ", closed "
        + (clientServer == null ? Map.of() : clientServer.closeCounts())
        + ", accept failures "
        + (clientServer == null ? 0 : clientServer.acceptFailureCount())
        + ", bytes of incomplete lines of clients "
        + clientInput.describe()
        + ", of machines "
        + machineInput.describe()
        + ", invalid requests "
        + intake.invalidRequestCount()
        + ", load reports "
        + machines.loadReportCount()
        + ", probes passed "
        + outcomes.passedProbes()
        + " failed "
        + outcomes.failedProbes()
        + ", ends of unknown VMs displaced "
        + machines.displacedTerminationCount()
        + ", loop lag "
        + loop.lag(loop.clock()).toMillis()
        + " ms, longest offer delay after a drain "
        + machineList.maxOfferDelayAfterDrain().toMillis()
        + " ms, attempt outcomes "
        + outcomes.outcomeCounts();
  }
}
