package fordridge.server.json;

import fordridge.eventloop.EventLoopTimers;
import fordridge.eventloop.InputGate;
import fordridge.eventloop.SocketPoller;
import fordridge.json.ClientConnection;
import fordridge.json.ClientRequestHandler;
import fordridge.json.ClientServer;
import fordridge.json.EndpointWatcher;
import fordridge.json.MachineListEvent;
import fordridge.runtime.InputKind;
import fordridge.runtime.InputStatistics;
import fordridge.runtime.SchedulerInputs;
import fordridge.session.PendingResponses;
import io.netty.channel.EventLoopGroup;
import java.time.Duration;
import java.util.Map;
import java.util.function.Consumer;

/**
 * One scheduler on JSON lines: builds the parts around it, starts them, and passes on changes of
 * the configuration and the shutdown. It decides nothing. All but the construction is to be called
 * on the event loop.
 */
final class JsonSchedulerServer {
  /** Pending requests, each with up to a line of description: a bound on memory. */
  private static final int MAX_PENDING_REQUESTS = 1000;

  /**
   * Termination notices, some hundred bytes each: more than VMs run on a scheduler, as all of them
   * may end while no client is connected.
   */
  private static final int MAX_NOTICES = 8000;

  /** How long a termination notice waits for a connection to be sent on. */
  private static final Duration NOTICE_LIFETIME = Duration.ofSeconds(8);

  private static final Duration TICK_INTERVAL = Duration.ofMillis(50);

  private final EventLoopTimers timers;
  private final SchedulerEventLoop loop;
  private final JsonInputPort inputPort;
  private final InputGate gate;
  private final PendingResponses<ClientConnection> pendingResponses;
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
    requestLog = new RequestLog(log);
    pendingResponses =
        new PendingResponses<>(
            MAX_PENDING_REQUESTS,
            MAX_NOTICES,
            NOTICE_LIFETIME,
            displaced -> requestLog.vms().noticeDropped(displaced, "displaced by later ones"));
    clients = new ClientResponder(pendingResponses, requestLog.vms());
    loop = new SchedulerEventLoop(group.next(), timers, poller, inputStatistics, log);
    inputPort = new JsonInputPort(loop, poller);
    gate = new InputGate(timers, inputPort, this::decide);
    actions = new JsonSchedulerActions(loop, gate, clients, settings, requestLog, log);
    inputs = new SchedulerInputs<>(actions, SchedulerInputs::number);
    requests = new ActiveRequests(loop, inputs, requestLog);
    outcomes =
        new AttemptOutcomeHandler(loop, inputs, pendingResponses, clients, requests, requestLog);
    machines =
        new MachineRegistry(
            group,
            loop,
            gate,
            inputs,
            requests,
            outcomes,
            settings.timeouts(),
            configuration.maxMachineConnections());
    machineList =
        new MachineListIntake(loop, inputs, machines, startedAtEpochMillis, requestLog.vms());
    intake =
        new ClientRequestIntake(
            loop, inputs, settings, pendingResponses, clients, requests, machines, log);
    loop.attach(inputs.scheduler);
    actions.attach(inputs, machines, requests);
    outcomes.attach(machines);
    machines.attach(pendingResponses::isNoticeUndelivered);
  }

  /** Receives what clients request. */
  ClientRequestHandler clientRequestHandler() {
    return intake;
  }

  /** Receives changes of the machine list. */
  EndpointWatcher.Listener machineListListener() {
    return machineList;
  }

  /** Starts the scheduler with the machine list of the configuration, and the periodic tasks. */
  void start(ClientServer newClientServer) {
    clientServer = newClientServer;
    loop.setClients(newClientServer);
    inputPort.setClients(newClientServer);
    loop.enter(
        InputKind.START,
        () -> inputs.scheduler.start(configuration.seed(), configuration.schedulerSettings()));
    for (MachineListEvent event : configuration.readInitialMachineList()) {
      machineList.machineListChanged(event);
    }
    machineList.markWatching();
    timers.runEvery(
        TICK_INTERVAL, () -> loop.enterBehindReadsAfter(Duration.ZERO, InputKind.TICK, this::tick));
    loop.startLagMonitor();
    intake.markReady();
  }

  /** How the machine list is read at once. */
  void watchMachineList(Runnable readNow) {
    loop.watchMachineList(readNow);
  }

  private void decide() {
    inputs.scheduler.inputRead();
  }

  private void tick() {
    machines.tick();
    clients.expireNotices(loop.now());
    clients.resendOverdueNotices(loop.now());
  }

  /** Another configuration holds for all that comes from here on. */
  void reconfigure(ServerConfiguration next) {
    machines.setMaxConnections(next.maxMachineConnections());
    if (!next.hasSameSettings(configuration)) {
      ServerSettings settings = next.serverSettings();
      intake.setSettings(settings);
      actions.setSettings(settings);
      machines.setTimeouts(settings.timeouts());
      loop.enter(
          InputKind.SETTINGS, () -> inputs.scheduler.settingsChanged(next.schedulerSettings()));
    }
    configuration = next;
  }

  /**
   * Places nothing more from here on: pending requests are answered at once, or with the outcome of
   * their attempt in flight.
   */
  void startShutdown() {
    loop.enter(InputKind.SHUTDOWN, inputs.scheduler::shutdownStarted);
  }

  /** Fails all pending requests at once; their attempts are cancelled. */
  void failPendingRequests() {
    loop.enter(InputKind.SHUTDOWN, intake::failPendingRequests);
  }

  /** Takes in no more termination notices of machines. */
  void stopListeningToMachines() {
    machines.stopListening();
  }

  /** How long clients wait for a start at the most. */
  Duration maxStartDeadline() {
    return configuration.serverSettings().maxStartDeadline();
  }

  int machineConnectionCount() {
    return machines.openConnectionCount();
  }

  int pendingRequestCount() {
    return pendingResponses.pendingRequests();
  }

  /** Termination notices that were not acknowledged yet, or wait for a connection. */
  int undeliveredNoticeCount() {
    return pendingResponses.undeliveredNotices();
  }

  /** Whether a machine may run a VM that nobody owns, and has not read that it is to release it. */
  boolean hasUnsettledAttempts() {
    return machines.hasUnsettled();
  }

  /** Requests, VMs, descriptions and notices that are kept. */
  int retainedCount() {
    return requests.size()
        + pendingResponses.pendingRequests()
        + pendingResponses.runningVms()
        + pendingResponses.undeliveredNotices();
  }

  /** What is owed to clients, for the log. */
  String owed() {
    return pendingResponses.describe();
  }

  /** What became of the requests, for the log. */
  String takeRequestSummary() {
    return requestLog.takeSummary()
        + ", "
        + gate.describe()
        + ", connections unread for too long "
        + (clientServer == null ? 0 : clientServer.unreadTooLongCount())
        + ", VMs that may run without a word of their machine "
        + inputs.scheduler.describeUnconfirmedEnds()
        + ", unsettled attempts "
        + machines.describeUnsettled();
  }

  /** The server's state in one line. */
  String status() {
    return owed()
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
        + ", invalid requests "
        + intake.invalidRequestCount()
        + ", load reports "
        + machines.loadReportCount()
        + ", probes passed "
        + outcomes.passedProbes()
        + " failed "
        + outcomes.failedProbes()
        + ", unknown ends displaced "
        + machines.displacedEndCount()
        + ", loop lag "
        + loop.lag(loop.clock()).toMillis()
        + " ms, latest offer after a drain "
        + machineList.latestOfferAfterDrain().toMillis()
        + " ms, attempt outcomes "
        + outcomes.outcomeCounts();
  }
}
