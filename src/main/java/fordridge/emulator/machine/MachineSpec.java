package fordridge.emulator.machine;

import java.time.Duration;

/**
 * What does not change about a machine.
 *
 * @param sampleInterval how often usage is sampled and reported
 * @param drainPolicy what becomes of running VMs when the machine drains
 */
public record MachineSpec(
    String name,
    Labels labels,
    Capacity capacity,
    Admission admission,
    StartUp startUp,
    SlowStart slowStart,
    Duration sampleInterval,
    DrainPolicy drainPolicy) {

  /** Where the machine stands in the fleet. */
  public record Labels(String kind, String zone, int cell) {}

  /**
   * The machine's resources.
   *
   * @param memory in the unit of the deployment's requests
   * @param coresOvercommit requested cores are accepted up to this multiple of the cores
   * @param memoryOvercommit requested memory is accepted up to this multiple of the memory
   */
  public record Capacity(
      double cores, double memory, double coresOvercommit, double memoryOvercommit) {}

  /**
   * How offers are examined.
   *
   * @param queueLimit the most offers and probes that wait to be examined
   * @param time what examining one offer takes
   * @param preempts whether running VMs of lower priority give way
   */
  public record Admission(int queueLimit, Duration time, boolean preempts) {}

  /**
   * How VMs start.
   *
   * @param parallelStarts the most VMs that start at the same time
   * @param work what a start takes with a cached program at speed 1
   * @param speed divides the work
   * @param cachedPrograms how many programs stay cached after their VMs ended
   * @param uncachedFactor multiplies the work where the program is not cached
   */
  public record StartUp(
      int parallelStarts, Duration work, double speed, int cachedPrograms, double uncachedFactor) {

    /** Starts a second when the machine is warm. */
    public double startsPerSecond() {
      return parallelStarts * speed / (work.toNanos() / 1e9);
    }
  }

  /**
   * How the machine warms up after a restart.
   *
   * @param initialPace the share of its speed at which it comes up
   * @param warmUp when it has its full speed, on a straight line
   * @param overloadMultiple it goes down under more offers than this multiple of what it can start
   * @param overloadSpan the span over which offers are counted
   * @param minOffers it withstands so many in the span however slow it is
   */
  public record SlowStart(
      double initialPace,
      Duration warmUp,
      double overloadMultiple,
      Duration overloadSpan,
      double minOffers) {}
}
