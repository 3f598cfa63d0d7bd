package fordridge.membership;

import fordridge.model.SeededRandom;
import java.time.Duration;

/**
 * Chooses the next of several endpoints after a failure, and the delay before it is tried: each in
 * turn, with exponential backoff and jitter from the second round on. Confined to one thread.
 */
public final class EndpointRotation {
  private static final Duration MIN_DELAY = Duration.ofMillis(100);
  private static final Duration MAX_DELAY = Duration.ofSeconds(2);

  /** Keeps the power of two within range. */
  private static final int MAX_BACKOFF_EXPONENT = 30;

  private final int endpointCount;
  private final SeededRandom random;
  private int current;
  private int consecutiveFailures;

  /** Starts at an endpoint drawn at random. */
  public EndpointRotation(int endpointCount, SeededRandom random) {
    this.endpointCount = endpointCount;
    this.random = random;
    current = (int) (random.next() * endpointCount);
  }

  /** Index of the endpoint in use. */
  public int current() {
    return current;
  }

  /** The endpoint works: the next failure starts with the shortest delay. */
  public void succeeded() {
    consecutiveFailures = 0;
  }

  /**
   * The endpoint failed: the next one is in use, after the delay returned.
   *
   * <p>The delays of the first round are short but never nothing: hundreds of schedulers lose one
   * endpoint at the same instant, and must not all connect to the next at another.
   */
  public Duration failed() {
    consecutiveFailures++;
    current = (current + 1) % endpointCount;
    double jitter = consecutiveFailures < endpointCount ? random.next() : 0.5 + random.next() / 2;
    return Duration.ofNanos((long) (backoffNanos() * jitter));
  }

  private double backoffNanos() {
    int exponent = Math.min(MAX_BACKOFF_EXPONENT, Math.max(0, consecutiveFailures - endpointCount));
    return Math.min(MAX_DELAY.toNanos(), MIN_DELAY.toNanos() * Math.pow(2, exponent));
  }
}
