package fordridge.model;

/** A running mean: plain over the first values, then over about as many as its user says. */
public final class RunningMean {
  public double value;
  private int heard;

  public RunningMean(double guess) {
    value = guess;
  }

  public void hear(double x, int over) {
    if (Double.isFinite(x)) {
      heard++;
      value += (x - value) / Math.min(over, heard);
    }
  }
}
