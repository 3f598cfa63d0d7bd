package fordridge.model;

import java.time.Duration;

/**
 * Arithmetic on durations in double precision.
 *
 * <p>The multiplication and division of {@link Duration} use {@code BigDecimal}, which is too slow
 * for computations per machine of a fleet.
 */
public final class Durations {
  private static final double NANOS_PER_SECOND = 1e9;

  private Durations() {}

  /** The length in seconds. */
  public static double toSeconds(Duration duration) {
    return duration.toNanos() / NANOS_PER_SECOND;
  }

  /** A duration of the given number of seconds, truncated to whole nanoseconds. */
  public static Duration ofSeconds(double seconds) {
    return Duration.ofNanos((long) (seconds * NANOS_PER_SECOND));
  }

  /** The duration times a factor, truncated to whole nanoseconds. */
  public static Duration scale(Duration duration, double factor) {
    return Duration.ofNanos((long) (duration.toNanos() * factor));
  }

  /** The shorter of two. */
  public static Duration min(Duration first, Duration second) {
    return first.compareTo(second) <= 0 ? first : second;
  }

  /** The longer of two. */
  public static Duration max(Duration first, Duration second) {
    return first.compareTo(second) >= 0 ? first : second;
  }
}
