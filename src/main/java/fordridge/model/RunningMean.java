package fordridge.model;

/**
 * A mean that follows its samples: plain over the first ones, exponentially weighted once a window
 * of them was seen.
 */
public final class RunningMean {
  private final int window;
  private double value;
  private int samples;

  private RunningMean(double value, int window, int samples) {
    this.value = value;
    this.window = window;
    this.samples = samples;
  }

  /** A mean whose first sample replaces the guess. */
  public static RunningMean ofGuess(double guess, int window) {
    return new RunningMean(guess, window, 0);
  }

  /** A mean whose guess weighs as much as a window of samples. */
  public static RunningMean ofPrior(double guess, int window) {
    return new RunningMean(guess, window, window);
  }

  /** The mean, or the guess before the first sample. */
  public double value() {
    return value;
  }

  /** Adds a sample; one that is not finite is passed over. */
  public void add(double sample) {
    if (Double.isFinite(sample)) {
      samples++;
      value += (sample - value) / Math.min(window, samples);
    }
  }
}
