package fordridge.membership;

import fordridge.model.SeededRandom;
import java.time.Duration;

/**
 * Which of several endpoints is tried next, and after what wait: each in turn, then longer and
 * longer rounds.
 */
public final class EndpointRotation {
  private static final Duration LEAST = Duration.ofMillis(100);
  private static final Duration MOST = Duration.ofSeconds(2);

  private final int count;
  private final SeededRandom chance;
  private int at;
  private int failures;

  public EndpointRotation(int count, SeededRandom chance) {
    this.count = count;
    this.chance = chance;
    at = (int) (chance.next() * count);
  }

  /** The one in use. */
  public int current() {
    return at;
  }

  /** It worked: the next failure begins with the shortest wait. */
  public void worked() {
    failures = 0;
  }

  /**
   * It failed: the next one is in use, after the wait given. The waits of the first round are
   * short, and none is nothing: hundreds of placers lose one endpoint in the same instant, and must
   * not all ask the next in another.
   */
  public Duration failed() {
    failures++;
    at = (at + 1) % count;
    double full =
        Math.min(
            MOST.toNanos(),
            LEAST.toNanos() * Math.pow(2, Math.min(30, Math.max(0, failures - count))));
    return Duration.ofNanos(
        (long) (full * (failures < count ? chance.next() : 0.5 + chance.next() / 2)));
  }
}
