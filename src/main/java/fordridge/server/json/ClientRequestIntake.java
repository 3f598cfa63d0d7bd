package fordridge.server.json;

import fordridge.json.ClientConnection;
import fordridge.json.ClientRequest;
import fordridge.json.ClientRequestHandler;
import fordridge.json.CloseReason;
import fordridge.json.RequestPayload;
import fordridge.json.TerminationCause;
import fordridge.model.Machine;
import fordridge.model.PlacementAttempt;
import fordridge.model.Vm;
import fordridge.runtime.InputKind;
import fordridge.runtime.SchedulerInputs;
import fordridge.session.PendingResponses;
import java.time.Duration;
import java.util.List;
import java.util.function.Consumer;

/**
 * Takes in what clients request: validates it, bounds what is pending, and enters it as inputs of
 * the scheduler. Confined to the event loop.
 */
final class ClientRequestIntake implements ClientRequestHandler {
  /** How many invalid requests are logged; a flood must not fill the log. */
  private static final int MAX_LOGGED_INVALID_REQUESTS = 20;

  /** After a start clients hand over all that they have running; later ones are logged. */
  private static final Duration HANDOVERS_EXPECTED_FOR = Duration.ofSeconds(2);

  private final SchedulerEventLoop loop;
  private final SchedulerInputs<String> inputs;
  private final RequestValidator validator;
  private final PendingResponses<ClientConnection> pendingResponses;
  private final ClientResponder clients;
  private final ActiveRequests requests;
  private final MachineRegistry machines;
  private final RequestLog requestLog;
  private final Consumer<String> log;
  private Duration machineFailureTimeout;
  private boolean isReady;

  /** Handovers after this are logged. */
  private Duration handoversExpectedUntil = Duration.ZERO;

  private long invalidRequestCount;

  ClientRequestIntake(
      SchedulerEventLoop loop,
      SchedulerInputs<String> inputs,
      ServerSettings settings,
      PendingResponses<ClientConnection> pendingResponses,
      ClientResponder clients,
      ActiveRequests requests,
      MachineRegistry machines,
      Consumer<String> log) {
    this.loop = loop;
    this.inputs = inputs;
    this.pendingResponses = pendingResponses;
    this.clients = clients;
    this.requests = requests;
    this.machines = machines;
    requestLog = requests.log();
    this.log = log;
    validator = new RequestValidator(settings);
    machineFailureTimeout = settings.timeouts().failureTimeout();
  }

  /** Other settings hold from the next request on. */
  void setSettings(ServerSettings settings) {
    validator.setSettings(settings);
    machineFailureTimeout = settings.timeouts().failureTimeout();
  }

  /** The scheduler has started. */
  void markReady() {
    isReady = true;
    handoversExpectedUntil = loop.clock().plus(HANDOVERS_EXPECTED_FOR);
  }

  @Override
  public boolean isReady() {
    return isReady;
  }

  @Override
  public boolean isInUse(ClientConnection connection) {
    return pendingResponses.isInUse(connection);
  }

  @Override
  public void placementRequested(ClientConnection connection, ClientRequest request) {
    loop.enter(
        InputKind.CLIENT_REQUEST,
        () -> {
          try {
            receive(connection, request);
          } catch (InvalidRequestException e) {
            reject(connection, request.vmId(), e);
          }
        });
  }

  private void receive(ClientConnection connection, ClientRequest request)
      throws InvalidRequestException {
    Duration unread = loop.lag(loop.now()).plus(connection.unreadFor());
    Vm vm = validator.validate(request, loop.now(), unread);
    String runningAt = request.extra("at");
    if (runningAt != null) {
      adopt(connection, vm, runningAt);
      return;
    }
    switch (pendingResponses.requestReceived(vm.id, connection)) {
      case DUPLICATE ->
          throw new InvalidRequestException("ref", vm.id, "an id that is not pending or running");
      case OVER_CAPACITY -> {
        requestLog.overCapacity(vm);
        connection.sendRejected(vm.id, Duration.ZERO);
      }
      case ADMITTED -> place(vm, request);
    }
  }

  private void place(Vm vm, ClientRequest request) {
    clients.sendDeferredNotices(loop.now());
    requests.add(
        vm, new RequestPayload(request.key(), request.idempotencyKey(), request.description()));
    Duration timeLeft = vm.deadline.minus(loop.now());
    loop.enterAfter(
        timeLeft.plus(RequestValidator.RESPONSE_MARGIN.dividedBy(2)),
        InputKind.RESPONSE_DEADLINE,
        () -> failIfPending(vm));
    inputs.scheduler.vmRequested(vm);
  }

  /** Should the scheduler have failed on an input, its clients get a response all the same. */
  private void failIfPending(Vm vm) {
    if (pendingResponses.isAwaitingResponse(vm.id)) {
      log.accept("no decision in time: " + vm.id);
      requestLog.failed(vm, loop.clock());
      clients.fail(vm);
      // After its response nothing more is sent for it, whatever the scheduler would do.
      requests.abandon(vm, machines);
    }
  }

  /** Fails every pending request, whatever its attempts are doing. */
  void failPendingRequests() {
    fail(pendingResponses.pendingRequestIds());
  }

  /** What was received before is answered: it has been read, and its attempts may have run. */
  @Override
  public void malformedInputReceived(ClientConnection connection) {
    loop.enter(
        InputKind.CLIENT_REQUEST, () -> fail(pendingResponses.pendingRequestsOf(connection)));
  }

  private void fail(List<String> vmIds) {
    for (String vmId : vmIds) {
      Vm vm = requests.find(vmId);
      requestLog.failed(vm, loop.clock());
      clients.fail(vm);
      requests.abandon(vm, machines);
    }
  }

  /** A client reports a VM that runs already, placed by an earlier scheduler. */
  private void adopt(ClientConnection connection, Vm vm, String machineId) {
    Vm known = requests.find(vm.id);
    RequestLog.Handover result = registerHandover(connection, vm, machineId);
    requestLog.handoverReceived(vm, machineId, result);
    boolean isLate = loop.now().compareTo(handoversExpectedUntil) > 0;
    requestLog.vms().handedOver(vm.id, machineId, result.name(), isLate, connection.remotePort());
    if (result != RequestLog.Handover.ADOPTED) {
      return;
    }
    clients.sendDeferredNotices(loop.now());
    MachineHandle handle = machines.findOrAdd(machineId);
    if (known != null) {
      requests.supersede(known, handle, machines);
    }
    requests.addRunning(vm);
    Machine machine = handle.machine();
    inputs.scheduler.vmAdopted(vm, machine);
    handle.pool().adopt(vm.acceptedAttempt, loop.now());
    if (!machine.isListed || machine.lifecycle == Machine.Lifecycle.GONE) {
      // The list may name it yet.
      loop.enterAfter(
          machineFailureTimeout, InputKind.ADOPTION_CHECK, () -> loseIfMachineGone(vm, handle));
    }
  }

  private RequestLog.Handover registerHandover(
      ClientConnection connection, Vm vm, String machineId) {
    if (machineId.isEmpty()) {
      return RequestLog.Handover.WITHOUT_MACHINE;
    }
    return switch (pendingResponses.adoptRunning(vm.id, connection)) {
      case ADOPTED -> RequestLog.Handover.ADOPTED;
      case REBOUND -> RequestLog.Handover.REBOUND;
      case PENDING_HERE -> RequestLog.Handover.PENDING_HERE;
      case PENDING_ELSEWHERE -> {
        // Its client has left that connection: it would not claim the VM while it waits for it.
        clients.fail(vm);
        pendingResponses.adoptRunning(vm.id, connection);
        yield RequestLog.Handover.ADOPTED;
      }
    };
  }

  private void loseIfMachineGone(Vm vm, MachineHandle handle) {
    if (handle.machine().lifecycle == Machine.Lifecycle.GONE && vm.acceptedAttempt.isInFlight()) {
      handle.pool().machineListed(Machine.Lifecycle.GONE, loop.now());
      handle.pool().vmLost(vm.id);
    }
  }

  /**
   * Fails the request and all that are pending on its connection, and reads no more from it: a
   * client that does not keep to the protocol can't be understood further.
   */
  private void reject(ClientConnection connection, String vmId, InvalidRequestException reason) {
    if (invalidRequestCount++ < MAX_LOGGED_INVALID_REQUESTS) {
      log.accept("invalid request: " + vmId + ": " + reason.getMessage());
    }
    if (!pendingResponses.pendingRequestsOf(connection).contains(vmId)) {
      connection.sendTerminated(vmId, TerminationCause.FAILED);
    }
    fail(pendingResponses.pendingRequestsOf(connection));
    connection.closeAfterResponse(CloseReason.INVALID_REQUEST);
  }

  @Override
  public void terminationRequested(ClientConnection connection, String vmId) {
    loop.enter(
        InputKind.CLIENT_TERMINATION,
        () -> {
          Vm vm = requests.find(vmId);
          if (vm == null || !pendingResponses.endedByClient(vmId)) {
            return;
          }
          if (vm.acceptedAttempt == null) {
            requestLog.withdrawnByClient(vmId);
            requests.abandon(vm, machines);
            return;
          }
          PlacementAttempt running = vm.acceptedAttempt;
          requestLog.vms().endedByClient(running, machines.handleOf(running.machine).id());
          connection.sendTerminationAccepted(vmId);
          machines.poolOf(running).terminate(running, loop.now());
        });
  }

  @Override
  public void terminationAcknowledged(ClientConnection connection, String vmId) {
    loop.enter(
        InputKind.CLIENT_ACKNOWLEDGEMENT,
        () -> {
          if (pendingResponses.noticeAcknowledged(vmId, connection)) {
            requestLog.vms().noticeAcknowledged(vmId, connection.remotePort());
          }
        });
  }

  @Override
  public void connectionClosed(ClientConnection connection) {
    loop.enter(
        InputKind.CLIENT_CLOSED,
        () -> {
          int runningVms = pendingResponses.runningVmsOf(connection);
          if (runningVms > 0) {
            requestLog.clientLeft(connection.remotePort(), runningVms);
          }
          List<String> abandoned = pendingResponses.connectionClosed(connection);
          requestLog.abandoned(abandoned);
          for (String vmId : abandoned) {
            Vm vm = requests.find(vmId);
            if (vm != null && vm.acceptedAttempt == null) {
              requests.abandon(vm, machines);
            }
          }
          clients.sendDeferredNotices(loop.now());
        });
  }

  long invalidRequestCount() {
    return invalidRequestCount;
  }
}
