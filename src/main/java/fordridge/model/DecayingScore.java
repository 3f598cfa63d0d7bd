package fordridge.model;

import java.time.Duration;

/** A score that halves over each half-life; it starts at 0. */
public final class DecayingScore {
  private double value;
  private Duration updatedAt = Duration.ZERO;

  /** The score at a time, which must not be before the last addition. */
  public double at(Duration now, Duration halfLife) {
    if (value == 0) {
      return 0;
    }
    double age = Durations.toSeconds(now.minus(updatedAt));
    return value * Math.pow(2, -age / Durations.toSeconds(halfLife));
  }

  /** Adds to the score at a time, which must not be before the last addition. */
  public void add(double amount, Duration now, Duration halfLife) {
    value = at(now, halfLife) + amount;
    updatedAt = now;
  }

  /** Resets the score to 0. */
  public void clear() {
    value = 0;
  }
}
