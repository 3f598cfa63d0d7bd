package fordridge.machine;

import fordridge.model.Machine;
import fordridge.model.PlacementAttempt;
import fordridge.model.PlacementAttempt.Outcome;
import java.time.Duration;
import java.util.Optional;

/**
 * The connections of one scheduler to one machine on the JSON lines protocol, and what may be
 * concluded from them about the attempts on that machine. Here a placement request is bound to the
 * connection that carries it, and a running VM to none.
 *
 * <p>Free of I/O, threads and clocks: the time is a parameter, and it acts through {@link
 * MachineTransport} and {@link MachineConnectionListener}. Not thread-safe; all methods belong on
 * one event loop.
 *
 * <p>What a failure proves is in {@link ExecutionEvidence}. A connection carries one placement
 * request at a time while more can be opened: a broken one takes no other attempt with it.
 *
 * <p>The states and transitions of a single connection are in {@link MachineConnection}. The pool
 * itself follows the machine's life cycle in the machine list:
 *
 * <pre>
 * life cycle  new attempt   unsent requests    sent requests      running VMs
 * LIVE        is sent       wait               wait               run on
 * DRAINING    NOT_SENT      NOT_SENT           wait               run on
 * GONE        NOT_SENT      NOT_SENT           RESET              RESET
 * failed      is sent       UNREACHABLE        RESET              RESET
 * </pre>
 */
public final class MachineConnectionPool {
  /** How long a machine with VMs may go without a connection while descriptors are short. */
  private static final Duration MAX_TIME_UNCONNECTED = Duration.ofSeconds(4);

  private final Machine machine;
  private final MachineTransport transport;
  private final MachineConnectionListener listener;
  private final ConnectionSet connections = new ConnectionSet();
  private final VmExecutions executions;
  private final RunningVms runningVms;
  private final LivenessDetector liveness = new LivenessDetector();
  private final ConnectionOpener opener;
  private final UnownedVmReleaser releaser;
  private ConnectionTimeouts timeouts;
  private Machine.Lifecycle lifecycle = Machine.Lifecycle.LIVE;

  private boolean needsConnection;

  /**
   * Creates a pool without connections for a machine that is live.
   *
   * @param offers shared by the pools of all machines
   */
  public MachineConnectionPool(
      Machine machine,
      ConnectionTimeouts timeouts,
      OfferAllowance offers,
      MachineTransport transport,
      MachineConnectionListener listener) {
    this.machine = machine;
    this.timeouts = timeouts;
    this.transport = transport;
    this.listener = listener;
    executions = new VmExecutions(machine, connections, listener);
    runningVms = executions.runningVms();
    opener = new ConnectionOpener(timeouts, offers, transport, connections, liveness);
    releaser = new UnownedVmReleaser(machine, executions, connections, transport, listener);
  }

  /** Replaces the timeouts, for all that starts from now on. */
  public void setTimeouts(ConnectionTimeouts newTimeouts) {
    timeouts = newTimeouts;
    opener.setTimeouts(newTimeouts);
  }

  /** The running attempt of the VM, if it runs on this machine. */
  public Optional<PlacementAttempt> findRunningAttempt(String vmId) {
    return runningVms.find(vmId);
  }

  int runningVmCount() {
    return runningVms.size();
  }

  /** Whether the machine is gone and nothing is left of it. */
  boolean isRetired() {
    return isGone() && connections.isEmpty() && runningVms.isEmpty();
  }

  /**
   * Sends an attempt on a connection that can carry it, at once or when it comes up. Ends as {@link
   * Outcome#NOT_SENT} if there is none to be had or the machine takes no new VMs.
   *
   * @param timeLeft time in which the machine has to answer
   * @param idempotent whether the VM may be placed again without harm should the connection be dead
   */
  public void offer(PlacementAttempt attempt, Duration timeLeft, boolean idempotent, Duration now) {
    Optional<MachineConnection> connection =
        lifecycle == Machine.Lifecycle.LIVE
            ? opener.acquireForOffer(idempotent, now)
            : Optional.empty();
    if (connection.isEmpty()) {
      executions.end(attempt, Outcome.NOT_SENT);
      return;
    }
    connection.get().add(new PlacementRequest(attempt, now.plus(timeLeft)));
    sendWaiting(connection.get(), now);
  }

  /**
   * Ends an attempt that the scheduler waits for no longer: with the given outcome if a connection
   * has carried it, else as one that never ran.
   */
  public void cancel(PlacementAttempt attempt, Outcome outcome, Duration now) {
    Optional<MachineConnection> carrier = connections.findCarrier(attempt);
    if (carrier.isPresent()) {
      cancelOn(carrier.get(), attempt, outcome, now);
    } else if (attempt.isInFlight() && attempt.acceptedAt == null) {
      executions.end(attempt, Outcome.NOT_SENT);
    }
  }

  /** Whether the machine has shown that the VM of an attempt without an answer runs. */
  public boolean isKnownToRun(PlacementAttempt attempt) {
    return connections
        .findCarrier(attempt)
        .flatMap(carrier -> carrier.find(attempt.vm.id))
        .filter(PlacementRequest::isKnownToRun)
        .isPresent();
  }

  /** Terminates a running VM; the attempt ends with the machine's confirmation or a timeout. */
  public void terminate(PlacementAttempt attempt, Duration now) {
    if (runningVms.startTermination(attempt, now.plus(timeouts.idleTimeout()))) {
      connections
          .newestWritable()
          .ifPresent(connection -> transport.terminate(connection, attempt.vm.id));
    }
  }

  /** Starts a health check; it fails at once if no connection is to be had. */
  public void probe(Duration now) {
    Optional<MachineConnection> connection =
        isGone() ? Optional.empty() : opener.acquireForHealthCheck(now);
    if (connection.isEmpty()) {
      listener.probeCompleted(machine, false, false, Duration.ZERO);
      return;
    }
    connection.get().probeRequested(now);
    if (connection.get().isOpen()) {
      transport.probe(connection.get());
    }
  }

  /**
   * A client that hands a VM over takes the place of whoever had it here before: an attempt that is
   * running, being terminated or unanswered ends as cancelled, and the machine is not told.
   */
  public void supersede(String vmId) {
    executions.supersede(vmId);
  }

  /** Takes over a VM that a client says runs on the machine. */
  public void adopt(PlacementAttempt attempt, Duration now) {
    liveness.vmAdopted(now);
    executions.adopt(attempt, now);
  }

  /** The machine list shows the machine in that state. */
  public void machineListed(Machine.Lifecycle listedLifecycle, Duration now) {
    boolean wasGone = isGone();
    lifecycle = listedLifecycle;
    if (lifecycle != Machine.Lifecycle.LIVE) {
      withdrawUnsentRequests();
    }
    if (isGone() && !wasGone) {
      machineFailed(MachineFailure.LISTED_GONE, now);
    }
  }

  /** The machine list names another machine at its address: this one's process is gone. */
  public void addressTaken(Duration now) {
    machineFailed(MachineFailure.ADDRESS_TAKEN, now);
  }

  /** The machine started anew at that time: VMs that were accepted before are lost. */
  public void machineRestarted(Duration startedAt) {
    executions.vmsLostBefore(startedAt);
  }

  /** The VM is known to run no longer, by other means than the machine's own notice. */
  public void vmLost(String vmId) {
    executions.vmLost(vmId);
  }

  /** The connection came up. */
  public void connectionEstablished(MachineConnection connection, Duration now) {
    if (!connection.isOpening()) {
      return;
    }
    messageReceived(now);
    connection.established(now);
    sendWaiting(connection, now);
    // Repeats what was said on a connection that broke, or on none; the machine ignores it if it
    // knows.
    runningVms.terminating().forEach(vmId -> transport.terminate(connection, vmId));
    if (connection.isProbing()) {
      transport.probe(connection);
    }
    releaser.releaseWhereDue(now);
  }

  /** What was written to the connection has gone out. */
  public void connectionWritable(MachineConnection connection, Duration now) {
    sendWaiting(connection, now);
  }

  /** Anything at all came from the machine, whatever it says. */
  public void messageReceived(Duration now) {
    liveness.messageReceived(now);
  }

  /** The connection did not come up. What it was to carry never ran. */
  public void connectionFailed(MachineConnection connection, ConnectFailure failure, Duration now) {
    if (!connections.remove(connection)) {
      return;
    }
    connection.closed();
    liveness.connectFailed(failure);
    if (failure == ConnectFailure.UNREACHABLE) {
      releaser.waitUntil(now.plus(timeouts.silenceTimeout()));
    }
    if (failure == ConnectFailure.LOCAL) {
      withdrawUnsentRequests(connection);
    }
    executions.requestsLost(connection, now);
    failProbe(connection, now);
    liveness.failure(timeouts, now).ifPresent(reason -> machineFailed(reason, now));
  }

  /** The connection broke, was closed by the machine, or received something malformed. */
  public void connectionLost(MachineConnection connection, Duration now) {
    if (!connections.remove(connection)) {
      return;
    }
    connection.closed();
    executions.requestsLost(connection, now);
    failProbe(connection, now);
    releaser.releaseWhereDue(now);
  }

  /** The machine accepted a VM, on whichever connection; ignored if it is not requested here. */
  public void vmAccepted(
      MachineConnection connection, String vmId, String description, Duration now) {
    executions
        .accepted(connection, vmId, description, now)
        .ifPresent(carrier -> requestEnded(carrier, connection, now));
    releaser.releaseWhereDue(now);
  }

  /** The machine reported on a VM, as it does only for one that runs. */
  public void vmReported(MachineConnection connection, String vmId) {
    executions.reported(connection, vmId);
  }

  /**
   * The machine ended the placement request that this connection carries, or a VM that runs, on
   * whichever connection. That of an unknown VM is kept for a client that hands it over.
   */
  public void vmTerminated(MachineConnection connection, VmTermination termination, Duration now) {
    executions
        .terminated(connection, termination, now)
        .ifPresent(carrier -> requestEnded(carrier, connection, now));
  }

  private void requestEnded(MachineConnection carrier, MachineConnection heardOn, Duration now) {
    heardOn.used(now);
    closeIfRetired(carrier);
  }

  /** The machine heard that a VM is to be terminated, and so has cut it. */
  public void terminationAcknowledged(String vmId) {
    executions.terminationAcknowledged(vmId);
  }

  /** Whether the end of a VM that is not known to run here was notified and is kept. */
  public boolean isEndKept(String vmId, Duration now) {
    return runningVms.isEndKept(vmId, now);
  }

  /** VMs that may run there and that nobody owns. */
  public UnsettledAttempts unsettled() {
    return executions.unsettled();
  }

  /** Ends of unknown VMs that gave way to later ones since the start. */
  public long displacedEndCount() {
    return runningVms.displacedEndCount();
  }

  /** The machine answered a health check. */
  public void probeAnswered(
      MachineConnection connection, boolean healthy, boolean withLoadReport, Duration now) {
    Optional<Duration> roundTrip = connection.healthCheckAnswered(now);
    executions.readByMachine(connection);
    if (roundTrip.isPresent()) {
      connection.used(now);
      listener.probeCompleted(machine, healthy, withLoadReport, roundTrip.get());
    }
    closeIfRetired(connection);
  }

  /**
   * Applies the timeouts. To be called several times within the connect timeout; {@link
   * ConnectionBudget#rebalance} follows the ticks of all pools.
   */
  public void tick(Duration now) {
    applyConnectionTimeouts(now);
    executions.endUnconfirmed(now);
    releaser.releaseWhereDue(now);
    needsConnection = isConnectionNeeded(now);
  }

  /** How many of its connections carry placement requests. */
  int carrierCount() {
    return connections.carrierCount();
  }

  boolean isUnconnected() {
    return connections.isEmpty();
  }

  /** Whether it has an idle connection that is not its only one. */
  boolean hasSurplusIdle() {
    return connections.size() > 1 && connections.longestIdle().isPresent();
  }

  /** Whether the machine may have something to say of VMs that run there. */
  boolean hasToHear() {
    return !isGone() && !(runningVms.isEmpty() && executions.releasable().isEmpty());
  }

  /** Whether the last tick found that a connection is needed to hear of running VMs. */
  boolean needsConnection() {
    return needsConnection;
  }

  Duration lastConnectAttemptAt() {
    return liveness.lastConnectAt();
  }

  /** Opens a connection if one more may be opened. */
  void reconnect(Duration now) {
    if (transport.canOpen()) {
      needsConnection = false;
      opener.open(now);
    }
  }

  /** Since when the connection that is idle for longest has been so; empty if none is idle. */
  Optional<Duration> idleSince() {
    return connections.longestIdle().map(MachineConnection::lastUsedAt);
  }

  /** Closes the connection that is idle for longest, in favour of another machine. */
  void closeIdleConnection(Duration now) {
    connections
        .longestIdle()
        .ifPresent(
            connection -> {
              close(connection, MachineCloseReason.YIELDED, now);
              opener.connectionYielded();
            });
  }

  private void applyConnectionTimeouts(Duration now) {
    boolean idleConnectionKept = false;
    for (MachineConnection connection : connections.all()) {
      if (connection.hasConnectTimedOut(now) && !transport.isConnected(connection)) {
        boolean isLocal = transport.failedLocally(connection);
        transport.close(connection, MachineCloseReason.CONNECT_TIMED_OUT);
        connectionFailed(
            connection, isLocal ? ConnectFailure.LOCAL : ConnectFailure.UNREACHABLE, now);
      } else if (connection.hasHealthCheckTimedOut(timeouts.connectTimeout(), now)) {
        failProbe(connection, now);
        releaser.checkTimedOut(connection, now.plus(timeouts.idleTimeout()));
        connection.retire();
        closeIfRetired(connection);
      } else if (connection.isIdle()) {
        // One is kept for termination notices; the others are closed once they are unused.
        if (idleConnectionKept && connection.isUnusedFor(timeouts.idleTimeout(), now)) {
          close(connection, MachineCloseReason.IDLE, now);
        }
        idleConnectionKept = true;
      }
    }
  }

  private boolean isConnectionNeeded(Duration now) {
    return !isGone()
        && (isNeededForRunningVms(now) || releaser.needsConnection(now))
        && liveness.isUntriedFor(timeouts.connectTimeout(), now);
  }

  private boolean isNeededForRunningVms(Duration now) {
    boolean unconnected =
        connections.isEmpty()
            && (!opener.hasYielded() || liveness.isUntriedFor(MAX_TIME_UNCONNECTED, now));
    boolean silent =
        liveness.isSilentFor(timeouts.silenceTimeout(), now) && !connections.hasOpening();
    return !runningVms.isEmpty() && (unconnected || silent);
  }

  private boolean isGone() {
    return lifecycle == Machine.Lifecycle.GONE;
  }

  /** The process is gone or can't be reached: nothing that it held is waited for. */
  private void machineFailed(MachineFailure failure, Duration now) {
    listener.machineFailed(machine, failure, runningVms.size());
    for (MachineConnection connection : connections.all()) {
      executions.requestsLost(connection, now);
      close(connection, MachineCloseReason.MACHINE_FAILED, now);
    }
    executions.allVmsLost(failure, now);
  }

  private void withdrawUnsentRequests() {
    connections.all().forEach(this::withdrawUnsentRequests);
  }

  private void withdrawUnsentRequests(MachineConnection connection) {
    for (PlacementRequest request : connection.unsentRequests()) {
      withdraw(connection, request);
    }
  }

  private void withdraw(MachineConnection connection, PlacementRequest request) {
    connection.remove(request.attempt().vm.id);
    executions.end(request.attempt(), ExecutionEvidence.NOT_ATTEMPTED.outcomeOnFailure());
  }

  /** Sends what waits and may still go: an offer can't be taken back. */
  private void sendWaiting(MachineConnection connection, Duration now) {
    for (PlacementRequest request : connection.unsentRequests()) {
      if (!connection.isOpen() || !transport.isWritable(connection)) {
        return;
      }
      if (listener.confirmSend(request.attempt())) {
        send(connection, request, now);
      } else {
        withdraw(connection, request);
      }
    }
  }

  private void send(MachineConnection connection, PlacementRequest request, Duration now) {
    connection.used(now);
    request.markSent();
    transport.requestPlacement(connection, request.attempt(), request.answerBy().minus(now));
  }

  private void cancelOn(
      MachineConnection carrier, PlacementAttempt attempt, Outcome outcome, Duration now) {
    PlacementRequest request = carrier.remove(attempt.vm.id).orElseThrow();
    if (request.isSent()) {
      transport.cancel(carrier, attempt.vm.id);
      carrier.markWithdrawn(attempt.vm.id);
      // Until its withdrawal has gone out the machine may start it.
      attempt.mayStillRun = !transport.isWritable(carrier);
      listener.attemptWithdrawn(attempt, !attempt.mayStillRun);
      releaser.withdrawn(carrier, attempt.vm.id, now);
      carrier.retire();
    }
    closeIfRetired(carrier);
    executions.end(attempt, request.evidence().outcomeOnCancel(outcome));
  }

  private void failProbe(MachineConnection connection, Duration now) {
    for (Duration roundTrip : connection.takeProbes(now)) {
      listener.probeCompleted(machine, false, false, roundTrip);
    }
  }

  private void closeIfRetired(MachineConnection connection) {
    if (connection.isRetired() && connections.remove(connection)) {
      connection.closed();
      transport.close(connection, MachineCloseReason.RETIRED);
    }
  }

  private void close(MachineConnection connection, MachineCloseReason reason, Duration now) {
    if (connections.remove(connection)) {
      connection.closed();
      failProbe(connection, now);
      transport.close(connection, reason);
    }
  }
}
