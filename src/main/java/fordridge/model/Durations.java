package fordridge.model;

import java.time.Duration;

/**
 * Arithmetic on spans of time in double precision.
 *
 * <p>{@link Duration}'s own products and quotients go through big decimals, which is too slow where
 * each machine of a fleet is looked at.
 */
public final class Durations {
  private static final double NANOS_PER_SECOND = 1e9;

  private Durations() {}

  /** The length in seconds. */
  public static double toSeconds(Duration duration) {
    return duration.toNanos() / NANOS_PER_SECOND;
  }

  /** A span of so many seconds, cut to whole nanoseconds. */
  public static Duration ofSeconds(double seconds) {
    return Duration.ofNanos((long) (seconds * NANOS_PER_SECOND));
  }

  /** The span times a factor, cut to whole nanoseconds. */
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
