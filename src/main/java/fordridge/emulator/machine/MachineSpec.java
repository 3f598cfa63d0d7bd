package fordridge.emulator.machine;

import java.time.Duration;

/**
 * The fixed properties of a machine.
 *
 * @param sampleInterval how often usage is sampled and reported
 * @param drainPolicy how the machine treats its running VMs when it drains
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

  /** The kind of the machine and its place in the topology. */
  public record Labels(String kind, String zone, int cell) {}

  /**
   * The machine's resources.
   *
   * @param memory the memory, in the unit of the deployment's requests
   * @param coresOvercommit requested cores are accepted up to this multiple of the cores
   * @param memoryOvercommit requested memory is accepted up to this multiple of the memory
   */
  public record Capacity(
      double cores, double memory, double coresOvercommit, double memoryOvercommit) {}

  /**
   * How offers are examined.
   *
   * @param queueLimit an offer is refused if at least this many offers and probes wait to be
   *     examined
   * @param time the time to examine one offer
   * @param preempts whether running VMs of lower priority are preempted for an offer
   */
  public record Admission(int queueLimit, Duration time, boolean preempts) {}

  /**
   * How VMs start.
   *
   * @param parallelStarts the maximum number of VMs that start at the same time
   * @param work the time that a start takes with a cached program at speed 1
   * @param speed the speed of the machine, by which the work is divided
   * @param cachedPrograms the capacity of the program cache, in services
   * @param uncachedFactor the factor by which the work grows if the program is not cached
   */
  public record StartUp(
      int parallelStarts, Duration work, double speed, int cachedPrograms, double uncachedFactor) {

    /** The number of starts per second once the machine has warmed up. */
    public double startsPerSecond() {
      return parallelStarts * speed / (work.toNanos() / 1e9);
    }
  }

  /**
   * How the machine warms up after a restart.
   *
   * @param initialSpeedShare the share of its full speed right after the restart
   * @param warmUp the time until it has its full speed; the speed grows linearly
   * @param overloadMultiple it crashes if it gets more offers than this multiple of the VMs that it
   *     can start
   * @param overloadSpan the length of the sliding window over which the offers are counted
   * @param minOffers the number of offers within the span that never overload it, however slow it
   *     is
   */
  public record SlowStart(
      double initialSpeedShare,
      Duration warmUp,
      double overloadMultiple,
      Duration overloadSpan,
      double minOffers) {}
}
