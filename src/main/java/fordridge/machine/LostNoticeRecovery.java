package fordridge.machine;

import fordridge.model.Durations;
import java.time.Duration;
import java.util.HashSet;
import java.util.Set;

/**
 * Decides when a connection to a machine has to be opened to fetch termination notices that may
 * have been lost with an earlier one. A machine sends a notice on one open connection, and again
 * only on the next connection that is opened; the other open connections don't bring it.
 *
 * <ul>
 *   <li>After the loss of a connection, a connection that was opened later has to be established.
 *       One is enough for any number of losses.
 *   <li>The machine may notice the loss only when it next writes to that connection. Until it has
 *       sent a message on a VM whose connection was lost, a connection is opened periodically.
 *   <li>If the scheduler closed the connection and read it to its end, a notice is lost only if it
 *       crossed the close, so that any connection of the next seconds will do.
 * </ul>
 *
 * <p>Attempts after connections that failed or were lost soon are delayed exponentially. Nothing is
 * needed while no VM runs on the machine. Not thread-safe.
 */
final class LostNoticeRecovery {
  private final RunningVms runningVms;
  private final ConnectionSet connections;
  private ConnectionTimeouts timeouts;

  /** When a connection has to be opened because of a loss; null if none has to. */
  private Duration dueAt;

  /** The connections opened since the last loss; tracked only while one has to be opened. */
  private final Set<MachineConnection> openedSinceLoss = new HashSet<>();

  /** A connection that is late and was opened since the last loss; null if there is none. */
  private MachineConnection delayed;

  /** VMs whose notices the machine may still write to a connection that was lost. */
  private final Set<String> unheardVmIds = new HashSet<>();

  /** When the newest of the connections that were established was opened. */
  private Duration lastEstablishedOpenedAt = Duration.ZERO;

  private Duration lastFailureAt = Duration.ZERO;
  private Duration backoff = Duration.ZERO;

  LostNoticeRecovery(
      RunningVms runningVms, ConnectionSet connections, ConnectionTimeouts timeouts) {
    this.runningVms = runningVms;
    this.connections = connections;
    this.timeouts = timeouts;
  }

  void setTimeouts(ConnectionTimeouts newTimeouts) {
    timeouts = newTimeouts;
  }

  /** A connection is being opened, for whatever purpose. */
  void connectionOpened(MachineConnection connection) {
    if (dueAt != null) {
      openedSinceLoss.add(connection);
    }
  }

  /** A connection was established: the machine repeats lost notices on it. */
  void connectionEstablished(MachineConnection connection) {
    lastEstablishedOpenedAt = Durations.max(lastEstablishedOpenedAt, connection.openedAt());
    if (openedSinceLoss.contains(connection) || connection == delayed) {
      dueAt = null;
      delayed = null;
      openedSinceLoss.clear();
    }
  }

  /** A connection attempt is late: another one may be made beside it. */
  void connectionDelayed(MachineConnection connection, Duration now) {
    if (openedSinceLoss.remove(connection)) {
      delayed = connection;
    }
    delayNextAttempt(connection, now);
  }

  /** A connection attempt failed; the connection was removed from the set. */
  void connectionFailed(MachineConnection connection, ConnectFailure failure, Duration now) {
    openedSinceLoss.remove(connection);
    delayed = connection == delayed ? null : delayed;
    delayNextAttempt(connection, now);
    if (failure == ConnectFailure.UNREACHABLE) {
      // The machine may have accepted the connection late, and written to it.
      noticesLost(now);
    }
  }

  /** A connection broke or was closed by the machine; it was removed from the set. */
  void connectionLost(MachineConnection connection, Duration now) {
    openedSinceLoss.remove(connection);
    delayNextAttempt(connection, now);
    noticesLost(now);
    for (String vmId : runningVms.ids()) {
      if (!isSetUpConnectionOpen(vmId)) {
        unheardVmIds.add(vmId);
      }
    }
  }

  /** The scheduler closed the connection, and has read all that the machine wrote to it. */
  void connectionClosed(MachineConnection connection, Duration now) {
    if (dueAt == null && runningVms.isAnySetUpOn(connection)) {
      noticesLost(now.plus(timeouts.silenceTimeout()));
    }
  }

  /** The machine sent a message on the VM: it writes about it on that connection, if it is open. */
  void vmReported(MachineConnection connection, String vmId) {
    if (connections.contains(connection)) {
      unheardVmIds.remove(vmId);
      if (!isSetUpConnectionOpen(vmId)) {
        runningVms.setConnection(vmId, connection);
      }
    }
  }

  /** The scheduler closes the connection. */
  void connectionClosing(MachineConnection connection) {
    openedSinceLoss.remove(connection);
  }

  /** Whether a connection has to be opened now. */
  boolean isConnectionDue(Duration now) {
    if (runningVms.isEmpty()) {
      dueAt = null;
      delayed = null;
      openedSinceLoss.clear();
      unheardVmIds.clear();
      return false;
    }
    unheardVmIds.removeIf(vmId -> runningVms.find(vmId).isEmpty());
    return (isLossDue(now) || isRecheckDue(now)) && !isDelayed(now);
  }

  private boolean isLossDue(Duration now) {
    return dueAt != null && now.compareTo(dueAt) >= 0 && openedSinceLoss.isEmpty();
  }

  private boolean isRecheckDue(Duration now) {
    Duration since = now.minus(lastEstablishedOpenedAt);
    return !unheardVmIds.isEmpty()
        && since.compareTo(timeouts.silenceTimeout()) >= 0
        && !connections.hasOpening();
  }

  private boolean isDelayed(Duration now) {
    return now.minus(lastFailureAt).compareTo(backoff) < 0;
  }

  private void noticesLost(Duration newDueAt) {
    if (runningVms.isEmpty()) {
      return;
    }
    delayed = null;
    dueAt = dueAt == null || newDueAt.compareTo(dueAt) < 0 ? newDueAt : dueAt;
    openedSinceLoss.clear();
  }

  private boolean isSetUpConnectionOpen(String vmId) {
    return runningVms.setUpConnection(vmId).filter(connections::contains).isPresent();
  }

  /** Counts at most one failure for the connections that were opened before it. */
  private void delayNextAttempt(MachineConnection ended, Duration now) {
    if (ended.openedAt().compareTo(lastFailureAt) < 0) {
      return;
    }
    Duration maxBackoff = timeouts.silenceTimeout();
    boolean isShortLived = now.minus(ended.openedAt()).compareTo(maxBackoff) < 0;
    boolean isRepeated = now.minus(lastFailureAt).compareTo(maxBackoff.multipliedBy(2)) < 0;
    Duration previous = isRepeated ? backoff : Duration.ZERO;
    Duration next = Durations.max(timeouts.connectTimeout(), previous.multipliedBy(2));
    backoff = isShortLived ? Durations.min(next, maxBackoff) : Duration.ZERO;
    lastFailureAt = now;
  }
}
