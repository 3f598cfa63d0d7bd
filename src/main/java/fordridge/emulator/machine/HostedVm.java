package fordridge.emulator.machine;

import java.time.Duration;

/** A VM that was offered to a machine, kept until some time after its end. */
public final class HostedVm {
  /** The state of a VM on its machine. */
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
  private double coresVariation = 1;

  /**
   * Creates a VM in the state {@link State#QUEUED}.
   *
   * @param deadline when its scheduler abandons the offer, in the machine's virtual time
   */
  public HostedVm(VmOffer offer, Duration deadline) {
    this.offer = offer;
    this.deadline = deadline;
  }

  /** The offer from the scheduler. */
  public VmOffer offer() {
    return offer;
  }

  /** The state of the VM on its machine. */
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

  /** Whether its requested resources are reserved on the machine. */
  boolean isReserved() {
    return state == State.RUNNING || state == State.STARTING;
  }

  boolean isPastDeadline(Duration now) {
    return now.compareTo(deadline) >= 0;
  }

  void markAccepted() {
    state = State.STARTING;
  }

  /**
   * Marks it as running; it uses these shares of the requested resources, up to the maximum shares.
   */
  void markRunning(Duration now, double usedCoresShare, double usedMemoryShare) {
    state = State.RUNNING;
    runningSince = now;
    coresShare = Math.min(MAX_CORES_SHARE, usedCoresShare);
    memoryShare = Math.min(MAX_MEMORY_SHARE, usedMemoryShare);
  }

  void markCompleted(State finalState, Duration now) {
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

  /** Multiplies its use of cores by this factor from now on. */
  void setCoresVariation(double factor) {
    coresVariation = factor;
  }

  /** The cores that it would use if the machine had enough of them. */
  double coresDemand(double useFactor) {
    return requestedCores() * coresShare * coresVariation * useFactor;
  }

  double usedCores(double useFactor) {
    return requestedCores() * Math.min(MAX_CORES_SHARE, coresShare * coresVariation * useFactor);
  }

  /** The memory that it uses once it has grown to its full size. */
  double memoryDemand(double useFactor) {
    return requestedMemory() * Math.min(MAX_MEMORY_SHARE, memoryShare * useFactor);
  }

  /** The memory that it uses now; it grows from an initial share to its full size. */
  double usedMemory(Duration now, double useFactor) {
    long ageMillis = now.minus(runningSince).toMillis();
    double grown =
        Math.min(
            1,
            INITIAL_MEMORY_SHARE + (1 - INITIAL_MEMORY_SHARE) * ageMillis / MEMORY_GROWTH_MILLIS);
    return memoryDemand(useFactor) * grown;
  }
}
