package fordridge.machine;

import java.time.Duration;
import java.util.Optional;

/**
 * Decides whether a machine has failed, from the messages received from it and the results of
 * connection attempts. A machine is considered failed if it refuses two connections in a row while
 * none is established, or if two connection attempts in a row time out and no message has arrived
 * for the failure timeout. An established connection belongs to a process that runs, which may
 * refuse further ones. Not thread-safe.
 */
final class LivenessDetector {
  private static final int CONSECUTIVE_CONNECT_FAILURES = 2;

  private Duration lastHeardAt = Duration.ZERO;
  private Duration lastConnectStartedAt = Duration.ZERO;
  private int refusals;
  private int timeouts;

  /** A message of any kind arrived from the machine. */
  void messageReceived(Duration now) {
    lastHeardAt = now;
    refusals = 0;
    timeouts = 0;
  }

  /**
   * A VM that runs on the machine was adopted. If the machine was never heard from, its silence is
   * counted from now.
   */
  void vmAdopted(Duration now) {
    if (lastHeardAt.equals(Duration.ZERO)) {
      lastHeardAt = now;
    }
  }

  void connectStarted(Duration now) {
    lastConnectStartedAt = now;
  }

  /** An established connection has ended: only refusals after that show that nobody listens. */
  void connectionLost() {
    refusals = 0;
  }

  /** A connection attempt failed. */
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
   * Returns why the machine is considered failed, so that its VMs count as lost; empty if it is
   * not.
   *
   * @param hasEstablished whether any connection to the machine is established
   */
  Optional<MachineFailure> detectFailure(
      ConnectionTimeouts connectionTimeouts, boolean hasEstablished, Duration now) {
    if (refusals >= CONSECUTIVE_CONNECT_FAILURES && !hasEstablished) {
      return Optional.of(MachineFailure.REFUSES_CONNECTIONS);
    }
    boolean timesOut = timeouts >= CONSECUTIVE_CONNECT_FAILURES;
    return timesOut && isSilentFor(connectionTimeouts.failureTimeout(), now)
        ? Optional.of(MachineFailure.UNREACHABLE)
        : Optional.empty();
  }

  boolean isSilentFor(Duration span, Duration now) {
    return now.minus(lastHeardAt).compareTo(span) >= 0;
  }

  /** Whether the last connection attempt was started at least {@code span} ago. */
  boolean isLastConnectOlderThan(Duration span, Duration now) {
    return now.minus(lastConnectStartedAt).compareTo(span) >= 0;
  }

  Duration lastHeardAt() {
    return lastHeardAt;
  }

  Duration lastConnectStartedAt() {
    return lastConnectStartedAt;
  }
}
