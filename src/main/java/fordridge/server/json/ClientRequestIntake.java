package fordridge.server.json;

import fordridge.eventloop.EventLoopTimers.Timer;
import fordridge.json.ClientConnection;
import fordridge.json.ClientConnectionCloseReason;
import fordridge.json.ClientRequest;
import fordridge.json.ClientRequestHandler;
import fordridge.json.RequestPayload;
import fordridge.json.TerminationCode;
import fordridge.model.Machine;
import fordridge.model.PlacementAttempt;
import fordridge.model.Vm;
import fordridge.runtime.InputKind;
import fordridge.runtime.SchedulerInputs;
import fordridge.session.PendingResponses;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Handles clients' requests: validates them, limits the number that is pending, and submits them as
 * inputs of the scheduler. Confined to the event loop.
 */
final class ClientRequestIntake implements ClientRequestHandler {
  /** How many invalid requests are logged at most; a flood must not fill the log. */
  private static final int MAX_LOGGED_INVALID_REQUESTS = 20;

  /**
   * Clients hand over all their running VMs within this time after a start; handovers after it are
   * logged as late.
   */
  private static final Duration HANDOVER_WINDOW = Duration.ofSeconds(2);

  /**
   * The bytes that a pending request retains besides its payload: the VM, its attempts, its timers
   * and its entries in maps.
   */
  private static final long REQUEST_OVERHEAD_BYTES = 2048;

  /** A request with less time left has no effect: no machine can answer it in time. */
  private static final Duration MIN_TIME_TO_PLACE = Duration.ofMillis(5);

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

  /** Handovers after this time are logged as late. */
  private Duration handoverWindowEndsAt = Duration.ZERO;

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

  /** Replaces the settings, from the next request on. */
  void setSettings(ServerSettings settings) {
    validator.setSettings(settings);
    machineFailureTimeout = settings.timeouts().failureTimeout();
  }

  /** Called once the scheduler has started; the handover window begins. */
  void markReady() {
    isReady = true;
    handoverWindowEndsAt = loop.clock().plus(HANDOVER_WINDOW);
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
    loop.submit(
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
    Duration maxReadDelay = loop.lag(loop.now()).plus(connection.unreadFor());
    Vm vm = validator.validate(request, loop.now(), maxReadDelay);
    String machineId = request.extra("at");
    if (machineId != null) {
      adopt(connection, vm, machineId);
      return;
    }
    if (vm.deadline.minus(loop.now()).compareTo(MIN_TIME_TO_PLACE) < 0) {
      connection.countIneffectiveRequest();
    }
    RequestPayload payload =
        new RequestPayload(request.key(), request.idempotencyKey(), request.description());
    long bytes = REQUEST_OVERHEAD_BYTES + payload.retainedBytes();
    if (requests.isFull() && requests.find(vm.id) == null) {
      rejectForMemory(connection, vm, bytes);
      return;
    }
    switch (pendingResponses.requestReceived(vm.id, connection, bytes)) {
      case DUPLICATE ->
          throw new InvalidRequestException("ref", vm.id, "an id that is not pending or running");
      case OVER_CAPACITY -> {
        connection.countIneffectiveRequest();
        requestLog.overCapacity(vm);
        connection.sendRejected(vm.id, Duration.ZERO);
      }
      case OUT_OF_MEMORY -> rejectForMemory(connection, vm, bytes);
      case ADMITTED -> admit(connection, vm, payload);
    }
  }

  private void rejectForMemory(ClientConnection connection, Vm vm, long bytes) {
    connection.countIneffectiveRequest();
    requestLog.outOfMemory(vm, bytes, pendingResponses.describe());
    connection.sendRejected(vm.id, Duration.ZERO);
  }

  /**
   * Passes the request to the scheduler; holds it back while input of its client is left unread, as
   * the client may have left meanwhile.
   */
  private void admit(ClientConnection connection, Vm vm, RequestPayload payload) {
    clients.sendDeferredNotices(loop.now());
    Duration timeLeft = vm.deadline.minus(loop.now());
    Timer responseDeadline =
        loop.submitAfter(
            timeLeft.plus(RequestValidator.RESPONSE_MARGIN.dividedBy(2)),
            InputKind.RESPONSE_DEADLINE,
            () -> failIfPending(vm));
    requests.add(vm, payload, responseDeadline);
    if (connection.isInputDelayed()) {
      requests.hold(vm);
    } else {
      inputs.scheduler.vmRequested(vm);
    }
  }

  @Override
  public void delayedInputRead(ClientConnection connection) {
    loop.submit(
        InputKind.CLIENT_REQUEST,
        () -> {
          for (String vmId : pendingResponses.pendingRequestsOf(connection)) {
            requests.takeHeld(vmId).ifPresent(inputs.scheduler::vmRequested);
          }
        });
  }

  /**
   * Fails a request that is still pending after its deadline: its client gets a response even where
   * the scheduler has failed on an input.
   */
  private void failIfPending(Vm vm) {
    if (pendingResponses.isAwaitingResponse(vm.id)) {
      log.accept("no decision before the deadline: " + vm.id);
      requestLog.failed(vm, loop.clock());
      clients.sendFailed(vm);
      // No offer may be sent for the VM after its response, whatever the scheduler decides later.
      requests.abandon(vm, machines);
    }
  }

  /** Fails every pending request, whatever the state of its attempts. */
  void failPendingRequests() {
    fail(pendingResponses.pendingRequestIds());
  }

  /**
   * Fails the pending requests of the connection: they were read before the malformed input, and
   * their attempts may have run.
   */
  @Override
  public void malformedInputReceived(ClientConnection connection) {
    loop.submit(
        InputKind.CLIENT_REQUEST, () -> fail(pendingResponses.pendingRequestsOf(connection)));
  }

  private void fail(List<String> vmIds) {
    for (String vmId : vmIds) {
      Vm vm = requests.find(vmId);
      requestLog.failed(vm, loop.clock());
      clients.sendFailed(vm);
      requests.abandon(vm, machines);
    }
  }

  /** Handles the handover of a running VM that an earlier scheduler has placed. */
  private void adopt(ClientConnection connection, Vm vm, String machineId) {
    Vm previous = requests.find(vm.id);
    Optional<MachineHandle> machine =
        machineId.isEmpty() ? Optional.empty() : machines.findOrAddUnlisted(machineId);
    RequestLog.Handover result = registerHandover(connection, vm, machineId, machine);
    requestLog.handoverReceived(vm, machineId, result);
    boolean isLate = loop.now().compareTo(handoverWindowEndsAt) > 0;
    requestLog.vmLog().handedOver(vm.id, machineId, result.name(), isLate, connection.remotePort());
    if (result == RequestLog.Handover.REBOUND) {
      return;
    }
    if (result != RequestLog.Handover.ADOPTED) {
      connection.countIneffectiveMessage();
      return;
    }
    clients.sendDeferredNotices(loop.now());
    MachineHandle handle = machine.orElseThrow();
    if (previous != null) {
      requests.supersede(previous, handle, machines);
    }
    requests.addRunning(vm);
    inputs.scheduler.vmAdopted(vm, handle.machine());
    handle.pool().adopt(vm.acceptedAttempt, loop.now());
    if (!handle.machine().isListed || handle.machine().lifecycle == Machine.Lifecycle.GONE) {
      // The machine may still be listed.
      requests
          .attemptTimers()
          .add(
              vm.acceptedAttempt,
              loop.submitAfter(
                  machineFailureTimeout,
                  InputKind.ADOPTION_CHECK,
                  () -> markLostIfMachineGone(vm, handle)));
    }
  }

  private RequestLog.Handover registerHandover(
      ClientConnection connection, Vm vm, String machineId, Optional<MachineHandle> machine) {
    if (machineId.isEmpty()) {
      return RequestLog.Handover.WITHOUT_MACHINE;
    }
    if (machine.isEmpty()) {
      return RequestLog.Handover.UNKNOWN_MACHINE;
    }
    boolean isNew = requests.find(vm.id) == null;
    if (isNew && !requests.admitsHandover(pendingResponses.vmsOf(connection))) {
      return RequestLog.Handover.TOO_MANY_VMS;
    }
    return switch (pendingResponses.adoptRunning(vm.id, connection)) {
      case ADOPTED -> RequestLog.Handover.ADOPTED;
      case REBOUND -> RequestLog.Handover.REBOUND;
      case PENDING_HERE -> RequestLog.Handover.PENDING_HERE;
      case PENDING_ELSEWHERE -> {
        // The client has left the connection of the pending request: it would not hand the VM over
        // while it still waits for a response.
        clients.sendFailed(vm);
        pendingResponses.adoptRunning(vm.id, connection);
        yield RequestLog.Handover.ADOPTED;
      }
    };
  }

  private void markLostIfMachineGone(Vm vm, MachineHandle handle) {
    if (handle.machine().lifecycle == Machine.Lifecycle.GONE && vm.acceptedAttempt.isInFlight()) {
      handle.pool().machineListed(Machine.Lifecycle.GONE, loop.now());
      handle.pool().vmLost(vm.id);
    }
  }

  /**
   * Fails the request and all others that are pending on its connection, and stops reading from it:
   * the further input of a client that violates the protocol can't be relied on.
   */
  private void reject(ClientConnection connection, String vmId, InvalidRequestException reason) {
    if (invalidRequestCount++ < MAX_LOGGED_INVALID_REQUESTS) {
      log.accept("invalid request: " + vmId + ": " + reason.getMessage());
    }
    if (!pendingResponses.pendingRequestsOf(connection).contains(vmId)) {
      connection.sendTerminated(vmId, TerminationCode.FAILED);
    }
    fail(pendingResponses.pendingRequestsOf(connection));
    connection.closeAfterResponse(ClientConnectionCloseReason.INVALID_REQUEST);
  }

  @Override
  public void terminationRequested(ClientConnection connection, String vmId) {
    loop.submit(
        InputKind.CLIENT_TERMINATION,
        () -> {
          Vm vm = requests.find(vmId);
          if (vm == null || !pendingResponses.terminatedByClient(vmId)) {
            connection.countIneffectiveMessage();
            return;
          }
          if (vm.acceptedAttempt == null) {
            requestLog.withdrawnByClient(vmId);
            requests.abandon(vm, machines);
            return;
          }
          PlacementAttempt running = vm.acceptedAttempt;
          requestLog.vmLog().terminatedByClient(running, machines.handleOf(running.machine).id());
          connection.sendTerminationAccepted(vmId);
          machines.poolOf(running).terminate(running, loop.now());
        });
  }

  @Override
  public void terminationAcknowledged(ClientConnection connection, String vmId) {
    loop.submit(
        InputKind.CLIENT_ACKNOWLEDGEMENT,
        () -> {
          if (pendingResponses.noticeAcknowledged(vmId, connection)) {
            requestLog.vmLog().noticeAcknowledged(vmId, connection.remotePort());
          } else {
            connection.countIneffectiveMessage();
          }
        });
  }

  @Override
  public void connectionClosed(ClientConnection connection) {
    loop.submit(
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
