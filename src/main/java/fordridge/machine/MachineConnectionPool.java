package fordridge.machine;

import fordridge.model.Machine;
import fordridge.model.PlacementAttempt;
import fordridge.model.PlacementAttempt.Outcome;
import java.time.Duration;
import java.util.Optional;

/**
 * The connections of one scheduler to one machine on the JSON lines protocol. The pool derives the
 * outcomes of the attempts on that machine from their events. A placement request is bound to the
 * connection that carries it; a running VM is not bound to a connection.
 *
 * <p>Free of I/O, threads and clocks: the time is a parameter, and the pool acts through {@link
 * MachineTransport} and {@link MachineConnectionListener}. Confined to one event loop.
 *
 * <p>{@link ExecutionEvidence} defines what a failure proves. A connection carries one placement
 * request at a time while more can be opened, so that a lost connection affects one attempt only.
 *
 * <p>{@link MachineConnection} has the states of a single connection. The pool itself follows the
 * machine's life cycle in the machine list:
 *
 * <pre>
 * life cycle  new attempt   unsent requests    sent requests      running VMs
 * LIVE        is sent       stay queued        stay pending       unaffected
 * DRAINING    NOT_SENT      NOT_SENT           stay pending       unaffected
 * GONE        NOT_SENT      NOT_SENT           RESET              RESET
 * failed      is sent       UNREACHABLE        RESET              RESET
 * </pre>
 */
public final class MachineConnectionPool {
  /** Maximum time without a connection to a machine with VMs while the connection limit is hit. */
  private static final Duration MAX_TIME_UNCONNECTED = Duration.ofSeconds(4);

  private final Machine machine;
  private final MachineTransport transport;
  private final MachineConnectionListener listener;
  private final ConnectionSet connections = new ConnectionSet();
  private final VmExecutions executions;
  private final RunningVms runningVms;
  private final LivenessDetector liveness = new LivenessDetector();
  private final ConnectionOpener opener;
  private final OrphanedVmReleaser releaser;
  private final LostNoticeRecovery recovery;
  private final PlacementRequestSender requestSender;
  private final ConnectionHealthChecker healthChecker;
  private final ProcessIncarnations incarnations = new ProcessIncarnations(connections);
  private final ProcessEndHandler endHandler;
  private final ConnectFailureHandler connectFailures;
  private ConnectionTimeouts timeouts;
  private Machine.Lifecycle lifecycle = Machine.Lifecycle.LIVE;
  private boolean needsConnection;

  /**
   * Creates a pool without connections for a machine that is live.
   *
   * @param offers the quota, and {@code retained} the counts, that the pools of all machines share
   */
  public MachineConnectionPool(
      Machine machine,
      ConnectionTimeouts timeouts,
      OfferConnectionQuota offers,
      RetainedEntries retained,
      MachineTransport transport,
      MachineConnectionListener listener) {
    this.machine = machine;
    this.timeouts = timeouts;
    this.transport = transport;
    this.listener = listener;
    executions = new VmExecutions(machine, connections, retained, listener);
    runningVms = executions.runningVms();
    recovery = new LostNoticeRecovery(runningVms, connections, timeouts);
    opener = new ConnectionOpener(timeouts, offers, transport, connections, liveness, recovery);
    healthChecker = new ConnectionHealthChecker(machine, connections, transport, listener);
    endHandler =
        new ProcessEndHandler(
            machine, connections, executions, incarnations, listener, healthChecker, this::close);
    requestSender = new PlacementRequestSender(executions, transport, listener);
    releaser = new OrphanedVmReleaser(machine, executions, connections, transport, listener);
    connectFailures =
        new ConnectFailureHandler(
            timeouts,
            connections,
            transport,
            liveness,
            recovery,
            executions,
            healthChecker,
            releaser);
  }

  /** Replaces the timeouts; deadlines that were already set stay as they are. */
  public void setTimeouts(ConnectionTimeouts newTimeouts) {
    timeouts = newTimeouts;
    opener.setTimeouts(newTimeouts);
    recovery.setTimeouts(newTimeouts);
    connectFailures.setTimeouts(newTimeouts);
  }

  /** Returns the running attempt of the VM, if it runs on this machine. */
  public Optional<PlacementAttempt> findRunningAttempt(String vmId) {
    return runningVms.find(vmId);
  }

  int runningVmCount() {
    return runningVms.size();
  }

  /** Whether the machine is gone and has neither connections nor running VMs left. */
  boolean isRetired() {
    return isGone() && isUnconnected() && runningVms.isEmpty() && !connectFailures.hasLate();
  }

  /**
   * Sends an attempt at once or when its connection is established. It ends as {@link
   * Outcome#NOT_SENT} if no connection is available or the machine accepts no new VMs.
   *
   * @param timeLeft time within which the machine has to answer
   * @param idempotent whether the VM can safely be placed again if the connection turns out broken
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
    requestSender.sendPending(connection.get(), now);
  }

  /**
   * Cancels an attempt whose answer the scheduler no longer waits for. It ends with the given
   * outcome if its request was written, else with one that shows that it never ran.
   */
  public void cancel(PlacementAttempt attempt, Outcome outcome, Duration now) {
    Optional<MachineConnection> connection = connections.findRequestConnection(attempt);
    if (connection.isPresent()) {
      cancelOn(connection.get(), attempt, outcome, now);
    } else if (attempt.isInFlight() && attempt.acceptedAt == null) {
      executions.end(attempt, Outcome.NOT_SENT);
    }
  }

  /** Whether the machine has reported that the VM of an unanswered attempt runs. */
  public boolean isKnownToRun(PlacementAttempt attempt) {
    return connections
        .findRequestConnection(attempt)
        .flatMap(connection -> connection.find(attempt.vm.id))
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

  /** Starts a health check; it fails at once if no connection is available. */
  public void probe(Duration now) {
    healthChecker.probe(isGone() ? Optional.empty() : opener.acquireForHealthCheck(now), now);
  }

  /**
   * A client hands over a VM, which replaces any attempt of that VM here: one that is running,
   * being terminated or unanswered ends as cancelled, and nothing is sent to the machine.
   */
  public void supersede(String vmId) {
    executions.supersede(vmId);
  }

  /** Adopts a VM that runs on the machine according to a client. */
  public void adopt(PlacementAttempt attempt, Duration now) {
    liveness.vmAdopted(now);
    executions.adopt(attempt, now);
  }

  /** The machine list shows the machine in this life-cycle state. */
  public void machineListed(Machine.Lifecycle listedLifecycle, Duration now) {
    boolean wasGone = isGone();
    lifecycle = listedLifecycle;
    if (lifecycle != Machine.Lifecycle.LIVE) {
      connections.all().forEach(executions::withdrawUnsent);
    }
    if (isGone() && !wasGone) {
      connectFailures.closeLate(now);
      endHandler.listedGone(now);
    }
  }

  /**
   * The machine list names another machine at its address: this machine's process has ended. VMs
   * that the other machine's process runs are kept, see {@link #processEnd}.
   */
  public void addressReassigned(Duration now) {
    connectFailures.closeLate(now);
    endHandler.addressTaken(now);
  }

  /** What is kept for another machine whose process listens at the address by now. */
  public ProcessEndHandler processEnd() {
    return endHandler;
  }

  /** The machine restarted at that time: VMs that it accepted earlier are lost. */
  public void machineRestarted(Duration startedAt) {
    executions.vmsLostBefore(startedAt);
  }

  /** The VM is considered lost, though the machine sent no notice of its end. */
  public void vmLost(String vmId) {
    executions.vmLost(vmId);
  }

  /** The connection was established. */
  public void connectionEstablished(MachineConnection connection, Duration now) {
    if (!connection.isOpening()) {
      return;
    }
    connectFailures.connectionEstablishing(connection);
    messageReceived(now);
    incarnations.connectionEstablishing(connection);
    connection.established(now);
    recovery.connectionEstablished(connection);
    requestSender.sendPending(connection, now);
    // Terminations may be lost with a connection, or had none; the machine ignores duplicates.
    runningVms.terminating().forEach(vmId -> transport.terminate(connection, vmId));
    healthChecker.connectionEstablished(connection);
    releaser.releaseIfDue(now);
  }

  /** All earlier output of the connection was passed to the network. */
  public void connectionWritable(MachineConnection connection, Duration now) {
    requestSender.sendPending(connection, now);
  }

  /** A message of any kind arrived from the machine. */
  public void messageReceived(Duration now) {
    liveness.messageReceived(now);
  }

  /** The connection attempt failed. The requests queued on the connection never ran. */
  public void connectionFailed(MachineConnection connection, ConnectFailure failure, Duration now) {
    connectFailures
        .connectionFailed(connection, failure, now)
        .ifPresent(reason -> endHandler.machineFailed(reason, now));
  }

  /** The connection broke, was closed by the machine, or received malformed input. */
  public void connectionLost(MachineConnection connection, Duration now) {
    if (!connections.remove(connection)) {
      return;
    }
    connection.closed();
    liveness.connectionLost();
    executions.requestsLost(connection, now);
    recovery.connectionLost(connection, now);
    healthChecker.failProbes(connection, now);
    releaser.releaseIfDue(now);
  }

  /**
   * A connection that the pool has closed has ended.
   *
   * @param isReadToEnd whether all that the machine wrote to it was received
   */
  public void connectionClosed(MachineConnection connection, boolean isReadToEnd, Duration now) {
    if (isReadToEnd) {
      recovery.connectionClosed(connection, now);
    } else {
      recovery.connectionLost(connection, now);
    }
  }

  /** The machine accepted a VM, on any connection; one that is unknown here is released. */
  public void vmAccepted(
      MachineConnection connection, String vmId, String description, Duration now) {
    executions
        .accepted(connection, vmId, description, now)
        .ifPresent(sentOn -> requestEnded(sentOn, connection, now));
    releaser.releaseIfDue(now);
  }

  /** The machine sent a report on a VM, which it does only for a running VM. */
  public void vmReported(MachineConnection connection, String vmId) {
    executions.reported(connection, vmId);
    recovery.vmReported(connection, vmId);
  }

  /**
   * The machine ended the placement request that this connection carries, or a running VM; a notice
   * for the latter may arrive on any connection. One for an unknown VM is kept for its adoption.
   */
  public void vmTerminated(MachineConnection connection, VmTermination termination, Duration now) {
    executions
        .terminated(connection, termination, now)
        .ifPresent(sentOn -> requestEnded(sentOn, connection, now));
  }

  private void requestEnded(MachineConnection sentOn, MachineConnection receivedOn, Duration now) {
    receivedOn.markUsed(now);
    closeIfRetired(sentOn);
  }

  /** The machine acknowledged a termination request, and so has stopped the VM. */
  public void terminationAcknowledged(String vmId) {
    executions.terminationAcknowledged(vmId);
  }

  /** Whether a termination notice for a VM that is not known to run here is kept. */
  public boolean hasUnclaimedTermination(String vmId, Duration now) {
    return runningVms.hasUnclaimedTermination(vmId, now);
  }

  /** The given-up attempts on this machine whose VMs may still run. */
  public UnsettledAttempts unsettled() {
    return executions.unsettled();
  }

  /** Number of notices for unknown VMs that were displaced by later ones since the start. */
  public long displacedTerminationCount() {
    return runningVms.displacedTerminationCount();
  }

  /** The machine answered a health check. */
  public void probeAnswered(
      MachineConnection connection, boolean healthy, boolean withLoadReport, Duration now) {
    Optional<Duration> roundTrip = connection.healthCheckAnswered(now);
    executions.healthCheckAnswered(connection);
    if (connections.contains(connection)) {
      endHandler.healthCheckAnswered();
    }
    if (roundTrip.isPresent()) {
      connection.markUsed(now);
      listener.probeCompleted(machine, healthy, withLoadReport, roundTrip.get());
    }
    closeIfRetired(connection);
  }

  /**
   * Applies the timeouts. Call it several times per connect timeout; call {@link
   * ConnectionBudget#rebalance} after the ticks of all pools.
   */
  public void tick(Duration now) {
    applyConnectionTimeouts(now);
    connectFailures.closeOverdue(now);
    executions.endUnconfirmedTerminations(now);
    if (endHandler.isEnded(isGone())) {
      endHandler.checkSuccessor(now);
      if (liveness.isSilentFor(timeouts.silenceTimeout(), now)) {
        healthChecker.checkEstablished(now);
      }
    }
    releaser.releaseIfDue(now);
    needsConnection = isConnectionNeeded(now);
  }

  /** Returns the number of connections that carry placement requests. */
  int busyConnectionCount() {
    return connections.busyCount();
  }

  boolean isUnconnected() {
    return connections.isEmpty();
  }

  /** Whether the machine has several connections, at least one of them idle. */
  boolean hasSurplusIdle() {
    return connections.size() > 1 && connections.longestIdle().isPresent();
  }

  /** Whether the machine may run VMs and so may have notices to send. */
  boolean needsMonitoring() {
    return !isGone() && !(runningVms.isEmpty() && executions.releasable().isEmpty());
  }

  /** Whether the last tick found that a connection is needed for the VMs on the machine. */
  boolean needsConnection() {
    return needsConnection;
  }

  Duration lastConnectAttemptAt() {
    return liveness.lastConnectStartedAt();
  }

  /** Opens a connection if the limit allows one more. */
  void reconnect(Duration now) {
    if (transport.canOpen()) {
      needsConnection = false;
      opener.open(now);
    }
  }

  /** Closes a connection that is late, to free it for another machine. */
  void closeLateConnection(Duration now) {
    connectFailures.closeLate(now);
  }

  /** When the connection that has been idle longest was last used; empty if none is idle. */
  Optional<Duration> idleSince() {
    return isGone() && !runningVms.isEmpty()
        ? Optional.empty()
        : connections.longestIdle().map(MachineConnection::lastUsedAt);
  }

  /** Closes the connection that has been idle longest, to free it for another machine. */
  void closeIdleConnection(Duration now) {
    connections
        .longestIdle()
        .ifPresent(
            connection -> {
              close(connection, MachineConnectionCloseReason.YIELDED, now);
              opener.connectionReclaimed();
            });
  }

  private void applyConnectionTimeouts(Duration now) {
    boolean idleConnectionKept = false;
    for (MachineConnection connection : connections.all()) {
      if (connection.hasConnectTimedOut(now) && !transport.isConnected(connection)) {
        connectFailures
            .connectTimedOut(connection, needsMonitoring(), now)
            .ifPresent(reason -> endHandler.machineFailed(reason, now));
      } else if (connection.hasHealthCheckTimedOut(timeouts.connectTimeout(), now)) {
        healthChecker.failProbes(connection, now);
        releaser.healthCheckTimedOut(connection, now.plus(timeouts.idleTimeout()));
        connection.retire();
        closeIfRetired(connection);
      } else if (connection.isIdle()) {
        // One idle connection is kept for termination notices; others are closed when unused.
        if (idleConnectionKept && connection.isUnusedFor(timeouts.idleTimeout(), now)) {
          close(connection, MachineConnectionCloseReason.IDLE, now);
        }
        idleConnectionKept = true;
      }
    }
  }

  private boolean isConnectionNeeded(Duration now) {
    return !isGone()
        && (isNeededForRunningVms(now)
            || releaser.needsConnection(now)
            || recovery.isConnectionDue(now))
        && liveness.isLastConnectOlderThan(timeouts.connectTimeout(), now);
  }

  private boolean isNeededForRunningVms(Duration now) {
    boolean unconnected =
        connections.isEmpty()
            && (!opener.isLastConnectionReclaimed()
                || liveness.isLastConnectOlderThan(MAX_TIME_UNCONNECTED, now));
    boolean silent =
        liveness.isSilentFor(timeouts.silenceTimeout(), now) && !connections.hasOpening();
    return !runningVms.isEmpty() && (unconnected || silent);
  }

  private boolean isGone() {
    return lifecycle == Machine.Lifecycle.GONE;
  }

  private void cancelOn(
      MachineConnection connection, PlacementAttempt attempt, Outcome outcome, Duration now) {
    PlacementRequest request = connection.remove(attempt.vm.id).orElseThrow();
    if (request.isSent()) {
      transport.cancel(connection, attempt.vm.id);
      connection.markWithdrawn(attempt.vm.id);
      // The machine may start the VM until the withdrawal was passed to the network.
      attempt.mayStillRun = !transport.isWritable(connection);
      listener.attemptWithdrawn(attempt, !attempt.mayStillRun);
      releaser.withdrawn(connection, attempt.vm.id, now);
      connection.retire();
    }
    closeIfRetired(connection);
    executions.end(attempt, request.evidence().outcomeOnCancel(outcome));
  }

  private void closeIfRetired(MachineConnection connection) {
    if (connection.isRetired() && connections.remove(connection)) {
      connection.closed();
      recovery.connectionClosing(connection);
      transport.close(connection, MachineConnectionCloseReason.RETIRED);
    }
  }

  private void close(
      MachineConnection connection, MachineConnectionCloseReason reason, Duration now) {
    if (connections.remove(connection)) {
      connection.closed();
      recovery.connectionClosing(connection);
      healthChecker.failProbes(connection, now);
      transport.close(connection, reason);
    }
  }
}
