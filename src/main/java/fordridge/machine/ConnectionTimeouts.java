package fordridge.machine;

import java.time.Duration;

/**
 * Timeouts of a {@link MachineConnectionPool}.
 *
 * @param connectTimeout maximum time that requests and health checks wait for a connection, or a
 *     health check for its answer
 * @param detectionTimeout time within which a machine's failure has to be detected; the other
 *     timeouts are derived from it
 */
public record ConnectionTimeouts(Duration connectTimeout, Duration detectionTimeout) {
  /**
   * How long a connection that was not established within the connect timeout is kept after it was
   * opened, in case the machine accepts it late; a lost SYN is repeated after one second.
   */
  public static final Duration MAX_CONNECT_TIME = Duration.ofSeconds(2);

  /**
   * Maximum time without a message before a machine with VMs is checked. The protocol allows 8 s
   * from a VM's end to its termination notice; half of that may pass before the check.
   */
  private static final Duration MAX_SILENCE = Duration.ofSeconds(4);

  /**
   * How long an unused connection is kept if the machine has another, and how long the machine has
   * to confirm a termination.
   */
  Duration idleTimeout() {
    return detectionTimeout.dividedBy(2);
  }

  /**
   * Time without a message after which a machine with VMs is checked by opening a new connection.
   */
  Duration silenceTimeout() {
    return detectionTimeout.compareTo(MAX_SILENCE) < 0 ? detectionTimeout : MAX_SILENCE;
  }

  /**
   * Time without a message, while connection attempts time out, after which the machine is
   * considered failed.
   */
  public Duration failureTimeout() {
    return silenceTimeout().multipliedBy(3).dividedBy(2);
  }

  /** Time after its last use during which a connection is assumed to work. */
  Duration recentUseWindow() {
    return detectionTimeout.dividedBy(12);
  }
}
