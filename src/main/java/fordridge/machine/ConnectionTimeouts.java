package fordridge.machine;

import java.time.Duration;

/**
 * How long a {@link MachineConnectionPool} waits before it concludes something.
 *
 * @param connectTimeout bound on the time in which a connection comes up or a health check is
 *     answered
 * @param detectionTimeout time in which a machine's failure has to be detected; the other timeouts
 *     are fractions of it
 */
public record ConnectionTimeouts(Duration connectTimeout, Duration detectionTimeout) {
  /**
   * Bound on the silence after which a machine with VMs is checked. The protocol grants 8 s from a
   * VM's end to its termination notice; half of that is spent before the check.
   */
  private static final Duration MAX_SILENCE = Duration.ofSeconds(4);

  /**
   * How long a surplus connection is kept unused, and how long the machine has to confirm a
   * termination.
   */
  Duration idleTimeout() {
    return detectionTimeout.dividedBy(2);
  }

  /** Silence after which a machine with VMs is checked by opening a new connection to it. */
  Duration silenceTimeout() {
    return detectionTimeout.compareTo(MAX_SILENCE) < 0 ? detectionTimeout : MAX_SILENCE;
  }

  /** Silence, with no connection coming up, after which the machine is taken to have failed. */
  public Duration failureTimeout() {
    return silenceTimeout().multipliedBy(3).dividedBy(2);
  }

  /** A connection used so recently is taken to be good. */
  Duration provenFor() {
    return detectionTimeout.dividedBy(12);
  }
}
