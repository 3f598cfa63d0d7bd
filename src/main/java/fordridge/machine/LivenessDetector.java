package fordridge.machine;

import java.time.Duration;
import java.util.Optional;

/**
 * Decides whether a machine has failed, from what came from it and from what became of the attempts
 * to connect to it. It takes a machine for failed if it refuses two connections in a row, or if it
 * is silent and lets two connections in a row time out. Not thread-safe.
 */
final class LivenessDetector {
  private static final int FAILED_CONNECTS_IN_A_ROW = 2;

  private Duration lastHeardAt = Duration.ZERO;
  private Duration lastConnectAt = Duration.ZERO;
  private int refusals;
  private int timeouts;

  /** Anything at all came from the machine. */
  void messageReceived(Duration now) {
    lastHeardAt = now;
    refusals = 0;
    timeouts = 0;
  }

  /** A VM is known to run there; the machine's silence counts from now if nothing came before. */
  void vmAdopted(Duration now) {
    if (lastHeardAt.equals(Duration.ZERO)) {
      lastHeardAt = now;
    }
  }

  void connectStarted(Duration now) {
    lastConnectAt = now;
  }

  /** A connection did not come up. */
  void connectFailed(ConnectFailure failure) {
    switch (failure) {
      case REFUSED -> refusals++;
      case UNREACHABLE -> {
        refusals = 0;
        timeouts++;
      }
      case LOCAL -> {}
    }
  }

  /**
   * Whether no process listens there any more, or nothing came up for long: what ran there is lost
   * with the process.
   */
  Optional<MachineFailure> failure(ConnectionTimeouts connectionTimeouts, Duration now) {
    if (refusals >= FAILED_CONNECTS_IN_A_ROW) {
      return Optional.of(MachineFailure.REFUSES_CONNECTIONS);
    }
    boolean timesOut = timeouts >= FAILED_CONNECTS_IN_A_ROW;
    return timesOut && isSilentFor(connectionTimeouts.failureTimeout(), now)
        ? Optional.of(MachineFailure.UNREACHABLE)
        : Optional.empty();
  }

  boolean isSilentFor(Duration span, Duration now) {
    return now.minus(lastHeardAt).compareTo(span) >= 0;
  }

  /** Whether the last attempt to connect was started at least so long ago. */
  boolean isUntriedFor(Duration span, Duration now) {
    return now.minus(lastConnectAt).compareTo(span) >= 0;
  }

  Duration lastHeardAt() {
    return lastHeardAt;
  }

  Duration lastConnectAt() {
    return lastConnectAt;
  }
}
