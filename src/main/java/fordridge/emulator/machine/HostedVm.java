package fordridge.emulator.machine;

import java.time.Duration;

/** A VM that was offered to a machine, until the machine forgets it. */
public final class HostedVm {
  /** Where it is in its life on the machine. */
  public enum State {
    QUEUED,
    STARTING,
    RUNNING,
    ENDED,
    REFUSED
  }

  static final double MAX_CORES_SHARE = 2.5;
  static final double MAX_MEMORY_SHARE = 1.6;

  private static final double INITIAL_MEMORY_SHARE = 0.4;
  private static final double MEMORY_GROWTH_MILLIS = 5000;

  private final VmOffer offer;
  private final Duration deadline;
  private State state = State.QUEUED;
  private Duration runningSince;
  private Duration endedAt;
  private double coresShare;
  private double memoryShare;
  private double swing = 1;

  /**
   * A VM that was just offered.
   *
   * @param deadline when its scheduler gives it up, in the machine's time
   */
  public HostedVm(VmOffer offer, Duration deadline) {
    this.offer = offer;
    this.deadline = deadline;
  }

  /** What the scheduler offered. */
  public VmOffer offer() {
    return offer;
  }

  /** Where it is in its life on the machine. */
  public State state() {
    return state;
  }

  double requestedCores() {
    return offer.requested().cores();
  }

  double requestedMemory() {
    return offer.requested().memory();
  }

  boolean isRunning() {
    return state == State.RUNNING;
  }

  /** Whether its requested resources are taken. */
  boolean isReserved() {
    return state == State.RUNNING || state == State.STARTING;
  }

  boolean isPastDeadline(Duration now) {
    return now.compareTo(deadline) >= 0;
  }

  void accepted() {
    state = State.STARTING;
  }

  /** It runs from now on, with these shares of what it requested at full use. */
  void running(Duration now, double usedCoresShare, double usedMemoryShare) {
    state = State.RUNNING;
    runningSince = now;
    coresShare = Math.min(MAX_CORES_SHARE, usedCoresShare);
    memoryShare = Math.min(MAX_MEMORY_SHARE, usedMemoryShare);
  }

  void over(State finalState, Duration now) {
    state = finalState;
    endedAt = now;
  }

  Duration runningSince() {
    return runningSince;
  }

  Duration endedAt() {
    return endedAt;
  }

  double memoryShare() {
    return memoryShare;
  }

  /** Its use of cores varies by this factor from now on. */
  void swingTo(double factor) {
    swing = factor;
  }

  /** Cores that it would use if the machine had them. */
  double coresDemand(double useFactor) {
    return requestedCores() * coresShare * swing * useFactor;
  }

  double usedCores(double useFactor) {
    return requestedCores() * Math.min(MAX_CORES_SHARE, coresShare * swing * useFactor);
  }

  /** Memory that it uses once it has grown to its full size. */
  double memoryDemand(double useFactor) {
    return requestedMemory() * Math.min(MAX_MEMORY_SHARE, memoryShare * useFactor);
  }

  /** Memory that it uses now. */
  double usedMemory(Duration now, double useFactor) {
    long ageMillis = now.minus(runningSince).toMillis();
    double grown =
        Math.min(
            1,
            INITIAL_MEMORY_SHARE + (1 - INITIAL_MEMORY_SHARE) * ageMillis / MEMORY_GROWTH_MILLIS);
    return memoryDemand(useFactor) * grown;
  }
}
