package fordridge.machine;

import fordridge.model.Durations;
import fordridge.model.SeededRandom;
import java.time.Duration;

/**
 * Exponential backoff with jitter between connection attempts. The bound on the delay doubles with
 * each consecutive failure up to a maximum; the delay is drawn at random from its upper half. Not
 * thread-safe.
 */
final class ExponentialBackoff {
  /** Cap on the exponent, beyond any that reaches the maximum, so that the power stays finite. */
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

  /** Records a failure and returns the delay before the next attempt. */
  Duration nextDelay() {
    int doublings = Math.min(failures, MAX_DOUBLINGS);
    failures++;
    double bound = Math.min(maxSeconds, minSeconds * Math.pow(2, doublings));
    return Durations.ofSeconds(bound * (0.5 + random.nextDouble() / 2));
  }

  /** Returns the number of consecutive failures. */
  int failures() {
    return failures;
  }

  void reset() {
    failures = 0;
  }
}
