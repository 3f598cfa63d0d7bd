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
  private final PlacementRequestSender requestSender;
  private final ConnectionHealthChecker healthChecker;
  private final OrphanedVmReleaser releaser;
  private final ProcessEndHandler endHandler;
  private ConnectionTimeouts timeouts;

  ConnectFailureHandler(
      ConnectionTimeouts timeouts,
      ConnectionSet connections,
      MachineTransport transport,
      LivenessDetector liveness,
      LostNoticeRecovery recovery,
      VmExecutions executions,
      PlacementRequestSender requestSender,
      ConnectionHealthChecker healthChecker,
      OrphanedVmReleaser releaser,
      ProcessEndHandler endHandler) {
    this.timeouts = timeouts;
    this.connections = connections;
    lateConnection = new LateConnection(transport);
    this.transport = transport;
    this.liveness = liveness;
    this.recovery = recovery;
    this.executions = executions;
    this.requestSender = requestSender;
    this.healthChecker = healthChecker;
    this.releaser = releaser;
    this.endHandler = endHandler;
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

  /** The connection attempt failed. The requests queued on the connection never ran. */
  void connectionFailed(MachineConnection connection, ConnectFailure failure, Duration now) {
    if (lateConnection.remove(connection)) {
      lateConnectionFailed(connection, failure, now);
    } else if (connections.remove(connection)) {
      connection.closed();
      recovery.connectionFailed(connection, failure, now);
      attemptFailed(connection, failure, now);
    }
  }

  /** That it was not established in time has been counted before. */
  private void lateConnectionFailed(
      MachineConnection connection, ConnectFailure failure, Duration now) {
    connection.closed();
    recovery.connectionFailed(connection, failure, now);
    if (failure == ConnectFailure.REFUSED) {
      liveness.connectFailed(failure);
      endIfFailed(now);
    }
  }

  /**
   * The connection was not established within the connect timeout.
   *
   * @param mayKeep whether it may be kept in case the machine accepts it late
   */
  void connectTimedOut(MachineConnection connection, boolean mayKeep, Duration now) {
    if (transport.failedLocally(connection)) {
      transport.close(connection, MachineConnectionCloseReason.CONNECT_TIMED_OUT);
      connectionFailed(connection, ConnectFailure.LOCAL, now);
    } else if (mayKeep && transport.canOpen() && lateConnection.keep(connection)) {
      connections.remove(connection);
      recovery.connectionDelayed(connection, now);
      attemptFailed(connection, ConnectFailure.UNREACHABLE, now);
    } else {
      transport.close(connection, MachineConnectionCloseReason.CONNECT_TIMED_OUT);
      connectionFailed(connection, ConnectFailure.UNREACHABLE, now);
    }
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

  private void attemptFailed(MachineConnection connection, ConnectFailure failure, Duration now) {
    liveness.connectFailed(failure);
    if (failure == ConnectFailure.UNREACHABLE) {
      releaser.waitUntil(now.plus(timeouts.silenceTimeout()));
    }
    if (failure == ConnectFailure.LOCAL) {
      requestSender.withdrawUnsent(connection);
    } else {
      healthChecker.checkEstablished(now);
    }
    executions.requestsLost(connection, now);
    healthChecker.failProbes(connection, now);
    endIfFailed(now);
  }

  private void endIfFailed(Duration now) {
    Optional<MachineFailure> failure =
        liveness.detectFailure(timeouts, connections.hasEstablished(), now);
    if (failure.isPresent()) {
      lateConnection.close();
      endHandler.machineFailed(failure.get(), now);
    }
  }
}
