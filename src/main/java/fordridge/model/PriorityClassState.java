package fordridge.model;

/** A priority class with its current settings and values learned from its VMs. */
public final class PriorityClassState {
  /** The current settings. */
  public PriorityClass settings;

  /** How long its VMs run, in seconds. */
  public final RunningMean lifetimeSeconds;

  /** Number of requests received, including retries by clients. */
  public double requestCount;

  private final RunningMean warmStartSeconds;
  private final RunningMean coldStartSeconds;

  /** Creates a class with initial estimates, which weigh as much as {@code window} samples. */
  public PriorityClassState(
      int window, double lifetimeSeconds, double warmStartSeconds, double coldStartSeconds) {
    this.lifetimeSeconds = RunningMean.withPrior(lifetimeSeconds, window);
    this.warmStartSeconds = RunningMean.withPrior(warmStartSeconds, window);
    this.coldStartSeconds = RunningMean.withPrior(coldStartSeconds, window);
  }

  /**
   * The mean duration of a start in seconds: a warm one on a machine that has the service's
   * program, or a cold one on a machine that has to fetch the program first.
   */
  public RunningMean startSeconds(boolean isWarm) {
    return isWarm ? warmStartSeconds : coldStartSeconds;
  }
}
