package fordridge.membership;

import fordridge.model.SeededRandom;
import java.time.Duration;

/**
 * Selects the next of several endpoints after a failure, and the delay before connecting to it.
 *
 * <p>Endpoints are tried round-robin, with exponential backoff and jitter from the second round on.
 * Confined to one thread.
 */
public final class EndpointRotation {
  private static final Duration MIN_DELAY = Duration.ofMillis(100);
  private static final Duration MAX_DELAY = Duration.ofSeconds(2);

  private static final int MAX_TIMEOUT_FACTOR = 16;

  /** Prevents overflow of the backoff factor, a power of two. */
  private static final int MAX_BACKOFF_EXPONENT = 30;

  private final int endpointCount;
  private final SeededRandom random;
  private int current;
  private int consecutiveFailures;

  /** Creates a rotation that starts at a random endpoint. */
  public EndpointRotation(int endpointCount, SeededRandom random) {
    this.endpointCount = endpointCount;
    this.random = random;
    current = (int) (random.nextDouble() * endpointCount);
  }

  /**
   * By how much timeouts are to be extended: doubled with each round of failures up to {@link
   * #MAX_TIMEOUT_FACTOR}, so that endpoints that are all slow are heard at last.
   */
  public int timeoutFactor() {
    int rounds = consecutiveFailures / endpointCount;
    int factor = 1;
    for (int i = 0; i < rounds && factor < MAX_TIMEOUT_FACTOR; i++) {
      factor *= 2;
    }
    return factor;
  }

  /** The index of the current endpoint. */
  public int current() {
    return current;
  }

  /** Resets the backoff after the current endpoint has worked. */
  public void succeeded() {
    consecutiveFailures = 0;
  }

  /**
   * Moves on to the next endpoint after a failure, and returns the delay before connecting to it.
   *
   * <p>The delays of the first round are short, but random as well: hundreds of schedulers lose an
   * endpoint at the same time, and must not all connect to the next one simultaneously.
   */
  public Duration failed() {
    consecutiveFailures++;
    current = (current + 1) % endpointCount;
    double jitter =
        consecutiveFailures < endpointCount ? random.nextDouble() : 0.5 + random.nextDouble() / 2;
    return Duration.ofNanos((long) (backoffNanos() * jitter));
  }

  private double backoffNanos() {
    int exponent = Math.min(MAX_BACKOFF_EXPONENT, Math.max(0, consecutiveFailures - endpointCount));
    return Math.min((double) MAX_DELAY.toNanos(), MIN_DELAY.toNanos() * Math.pow(2, exponent));
  }
}
