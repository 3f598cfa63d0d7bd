package fordridge.machine;

import fordridge.model.Durations;
import fordridge.model.SeededRandom;
import java.time.Duration;

/**
 * Pauses between attempts to connect: they double with each failure in a row up to a bound, and are
 * drawn from the upper half of that span. Not thread-safe.
 */
final class ExponentialBackoff {
  /** Doublings after which the bound is reached in any case; keeps the power finite. */
  private static final int MAX_DOUBLINGS = 30;

  private final double minSeconds;
  private final double maxSeconds;
  private final SeededRandom random;
  private int failures;

  ExponentialBackoff(Duration min, Duration max, SeededRandom random) {
    this.minSeconds = Durations.toSeconds(min);
    this.maxSeconds = Durations.toSeconds(max);
    this.random = random;
  }

  /** Records a failure and returns the pause before the next attempt. */
  Duration nextPause() {
    int doublings = Math.min(failures, MAX_DOUBLINGS);
    failures++;
    double bound = Math.min(maxSeconds, minSeconds * Math.pow(2, doublings));
    return Durations.ofSeconds(bound * (0.5 + random.next() / 2));
  }

  /** Failures in a row. */
  int failures() {
    return failures;
  }

  void reset() {
    failures = 0;
  }
}
