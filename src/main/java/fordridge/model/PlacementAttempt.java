package fordridge.model;

import java.time.Duration;

/** One offer of a VM to a machine, from its sending to its outcome; null times mean not yet. */
public final class PlacementAttempt {
  /** How an attempt ended. */
  public enum Outcome {
    /** The VM ran to its end. */
    DONE("done"),
    /** The machine failed to start it; it may have run. */
    ERROR("error"),
    /** The machine rejected it; it never ran. */
    FULL("full"),
    /** No response within the attempt's timeout; it may run. */
    TIMEOUT("timeout"),
    /** No connection to the machine; it never ran. */
    UNREACHABLE("unreachable"),
    /** The connection or the VM was lost; it may have run. */
    RESET("reset"),
    /** Cancelled by the scheduler or stopped by its client. */
    CANCELLED("cancelled"),
    /** Ended before it was sent; it never ran. */
    NOT_SENT("moot");

    private final String metricTag;

    Outcome(String metricTag) {
      this.metricTag = metricTag;
    }

    /** The value of the tag {@code kind} of the counter of outcomes, which stays as it is. */
    public String metricTag() {
      return metricTag;
    }
  }

  /** Why an attempt ended so, where the machine says. */
  public enum OutcomeReason {
    UNSPECIFIED,
    INSUFFICIENT_CORES,
    INSUFFICIENT_MEMORY,
    QUEUE_FULL,
    NOT_ELIGIBLE,
    EVICTED,
    PREEMPTED,
    DRAINED;

    /**
     * Whether only a VM that has run ends for this reason: one that has to go before is rejected.
     */
    public boolean isOfRunningVm() {
      return this == EVICTED || this == PREEMPTED || this == DRAINED;
    }
  }

  public final Vm vm;
  public final Machine machine;

  /** Its index among the VM's attempts. */
  public final int number;

  public final Duration sentAt;

  /** How long its response is waited for. */
  public Duration timeout = Duration.ZERO;

  /** When it was last counted against the quota of a machine in slow start, or null. */
  public Duration slowStartCountedAt;

  public Duration acceptedAt;

  /** When the VM was reported to run. */
  public Duration runningSince;

  /** Whether the machine had the program of the VM's service when it was sent. */
  public boolean isWarmStart;

  /**
   * Whether it ended by a conclusion of this scheduler, without a word of its machine: its VM may
   * run there all the same.
   */
  public boolean mayStillRun;

  /** Null while in flight or running. */
  public Outcome outcome;

  /** An attempt that is sent now. */
  public PlacementAttempt(Vm vm, Machine machine, int number, Duration sentAt) {
    this.vm = vm;
    this.machine = machine;
    this.number = number;
    this.sentAt = sentAt;
  }

  /** The attempt by which a VM runs that some earlier scheduler placed. */
  public static PlacementAttempt adopted(Vm vm, Machine machine, Duration now) {
    PlacementAttempt attempt = new PlacementAttempt(vm, machine, 0, now);
    attempt.acceptedAt = now;
    attempt.runningSince = now;
    vm.attempts.add(attempt);
    vm.acceptedAttempt = attempt;
    return attempt;
  }

  /** Whether its outcome proves that the VM never ran by it. */
  public boolean hasNeverRun() {
    return outcome == Outcome.FULL || outcome == Outcome.UNREACHABLE || outcome == Outcome.NOT_SENT;
  }

  /** Whether the machine accepted it. */
  public boolean wasAccepted() {
    return acceptedAt != null;
  }

  /** Whether its VM was reported to run before that time. */
  public boolean ranBefore(Duration time) {
    return runningSince != null && runningSince.compareTo(time) < 0;
  }

  /** Whether it has no outcome yet. */
  public boolean isInFlight() {
    return outcome == null;
  }
}
