package fordridge.model;

/** A priority class with its settings of now and what was learned of its VMs. */
public final class PriorityClassState {
  /** The settings of now. */
  public PriorityClass settings;

  /** How long its VMs run, in seconds. */
  public final RunningMean lifetimeSeconds;

  /** Requests received, retries of clients among them. */
  public double requests;

  private final RunningMean warmStartSeconds;
  private final RunningMean coldStartSeconds;

  /** A class with guesses, which weigh as much as {@code window} samples. */
  public PriorityClassState(
      int window, double lifetimeSeconds, double warmStartSeconds, double coldStartSeconds) {
    this.lifetimeSeconds = RunningMean.ofPrior(lifetimeSeconds, window);
    this.warmStartSeconds = RunningMean.ofPrior(warmStartSeconds, window);
    this.coldStartSeconds = RunningMean.ofPrior(coldStartSeconds, window);
  }

  /**
   * How long a start takes, in seconds: a warm one where the machine has the program of the
   * service, a cold one where it must fetch it first.
   */
  public RunningMean startSeconds(boolean isWarm) {
    return isWarm ? warmStartSeconds : coldStartSeconds;
  }
}
