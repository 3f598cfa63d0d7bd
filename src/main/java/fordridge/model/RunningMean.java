package fordridge.model;

/**
 * A running mean: the arithmetic mean of the samples up to the window's length, exponentially
 * weighted after that.
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

  /** Creates a mean whose first sample replaces the initial value. */
  public static RunningMean withInitialValue(double initialValue, int window) {
    return new RunningMean(initialValue, window, 0);
  }

  /** Creates a mean whose prior weighs as much as a window of samples. */
  public static RunningMean withPrior(double prior, int window) {
    return new RunningMean(prior, window, window);
  }

  /** The mean; before the first sample, the initial value. */
  public double value() {
    return value;
  }

  /** Adds a sample; one that is not finite is ignored. */
  public void add(double sample) {
    if (Double.isFinite(sample)) {
      samples++;
      value += (sample - value) / Math.min(window, samples);
    }
  }
}
