package fordridge.machine;

import java.time.Duration;
import java.util.Optional;

/**
 * Handles connection attempts that fail or take too long: ends the requests and probes that wait
 * for them, keeps one connection that is late, and decides whether the machine has failed. Not
 * thread-safe.
 */
final class ConnectFailureHandler {
  private final ConnectionSet connections;
  private final LateConnection lateConnection;
  private final MachineTransport transport;
  private final LivenessDetector liveness;
  private final LostNoticeRecovery recovery;
  private final VmExecutions executions;
  private final ConnectionHealthChecker healthChecker;
  private final OrphanedVmReleaser releaser;
  private ConnectionTimeouts timeouts;

  ConnectFailureHandler(
      ConnectionTimeouts timeouts,
      ConnectionSet connections,
      MachineTransport transport,
      LivenessDetector liveness,
      LostNoticeRecovery recovery,
      VmExecutions executions,
      ConnectionHealthChecker healthChecker,
      OrphanedVmReleaser releaser) {
    this.timeouts = timeouts;
    this.connections = connections;
    lateConnection = new LateConnection(transport);
    this.transport = transport;
    this.liveness = liveness;
    this.recovery = recovery;
    this.executions = executions;
    this.healthChecker = healthChecker;
    this.releaser = releaser;
  }

  void setTimeouts(ConnectionTimeouts newTimeouts) {
    timeouts = newTimeouts;
  }

  /** Whether a late connection is kept. */
  boolean hasLate() {
    return !lateConnection.isEmpty();
  }

  /** A connection is about to be established; one that was late is like any other from now on. */
  void connectionEstablishing(MachineConnection connection) {
    if (lateConnection.remove(connection)) {
      connections.add(connection);
    }
  }

  /**
   * The connection attempt failed. The requests queued on the connection never ran.
   *
   * @return why the machine is considered failed by now; empty if it is not
   */
  Optional<MachineFailure> connectionFailed(
      MachineConnection connection, ConnectFailure failure, Duration now) {
    if (lateConnection.remove(connection)) {
      return lateConnectionFailed(connection, failure, now);
    }
    if (!connections.remove(connection)) {
      return Optional.empty();
    }
    connection.closed();
    recovery.connectionFailed(connection, failure, now);
    return attemptFailed(connection, failure, now);
  }

  /** That it was not established in time has been counted before. */
  private Optional<MachineFailure> lateConnectionFailed(
      MachineConnection connection, ConnectFailure failure, Duration now) {
    connection.closed();
    recovery.connectionFailed(connection, failure, now);
    if (failure != ConnectFailure.REFUSED) {
      return Optional.empty();
    }
    liveness.connectFailed(failure);
    return detectFailure(now);
  }

  /**
   * The connection was not established within the connect timeout.
   *
   * @param mayKeep whether it may be kept in case the machine accepts it late
   * @return why the machine is considered failed by now; empty if it is not
   */
  Optional<MachineFailure> connectTimedOut(
      MachineConnection connection, boolean mayKeep, Duration now) {
    boolean isLocal = transport.failedLocally(connection);
    if (!isLocal && mayKeep && transport.canOpen() && lateConnection.keep(connection)) {
      connections.remove(connection);
      recovery.connectionDelayed(connection, now);
      return attemptFailed(connection, ConnectFailure.UNREACHABLE, now);
    }
    transport.close(connection, MachineConnectionCloseReason.CONNECT_TIMED_OUT);
    return connectionFailed(
        connection, isLocal ? ConnectFailure.LOCAL : ConnectFailure.UNREACHABLE, now);
  }

  /** Closes a late connection whose time is over. */
  void closeOverdue(Duration now) {
    lateConnection.closeIfOverdue(now).ifPresent(late -> lateConnectionClosed(late, now));
  }

  /** Closes a late connection, if there is one. */
  void closeLate(Duration now) {
    lateConnection.close().ifPresent(late -> lateConnectionClosed(late, now));
  }

  private void lateConnectionClosed(MachineConnection connection, Duration now) {
    recovery.connectionFailed(connection, ConnectFailure.UNREACHABLE, now);
  }

  private Optional<MachineFailure> attemptFailed(
      MachineConnection connection, ConnectFailure failure, Duration now) {
    liveness.connectFailed(failure);
    if (failure == ConnectFailure.UNREACHABLE) {
      releaser.waitUntil(now.plus(timeouts.silenceTimeout()));
    }
    if (failure == ConnectFailure.LOCAL) {
      executions.withdrawUnsent(connection);
    } else {
      healthChecker.checkEstablished(now);
    }
    executions.requestsLost(connection, now);
    healthChecker.failProbes(connection, now);
    return detectFailure(now);
  }

  private Optional<MachineFailure> detectFailure(Duration now) {
    Optional<MachineFailure> failure =
        liveness.detectFailure(timeouts, connections.hasEstablished(), now);
    if (failure.isPresent()) {
      lateConnection.close();
    }
    return failure;
  }
}
