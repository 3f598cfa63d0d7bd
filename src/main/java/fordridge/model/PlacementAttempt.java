package fordridge.model;

import java.time.Duration;

/**
 * One offer of a VM to a machine, from sending to outcome. Times are null until the event happens.
 */
public final class PlacementAttempt {
  /** How an attempt ended. */
  public enum Outcome {
    /** The VM ran and ended. */
    DONE("done"),
    /** The machine failed to start the VM, which may have run. */
    ERROR("error"),
    /** The machine rejected the VM, which never ran. */
    FULL("full"),
    /** No response within the attempt's timeout; the VM may run. */
    TIMEOUT("timeout"),
    /** No connection to the machine; the VM never ran. */
    UNREACHABLE("unreachable"),
    /** The connection or the VM was lost; the VM may have run. */
    RESET("reset"),
    /** Cancelled by the scheduler, or the VM was stopped by its client. */
    CANCELLED("cancelled"),
    /** The attempt ended before it was sent; the VM never ran. */
    NOT_SENT("moot");

    private final String metricTag;

    Outcome(String metricTag) {
      this.metricTag = metricTag;
    }

    /**
     * The value of the tag {@code kind} of the counter of outcomes, which is part of the metrics
     * interface.
     */
    public String metricTag() {
      return metricTag;
    }
  }

  /** The reason for an outcome, if the machine gives one. */
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
     * Whether this reason can only end a VM that has run; a VM that has not run yet is rejected
     * instead.
     */
    public boolean impliesVmHasRun() {
      return this == EVICTED || this == PREEMPTED || this == DRAINED;
    }
  }

  public final Vm vm;
  public final Machine machine;

  /** Index of this attempt among the VM's attempts. */
  public final int number;

  public final Duration sentAt;

  /** How long to wait for the response. */
  public Duration timeout = Duration.ZERO;

  /** When it was last counted against the slow-start quota of its machine, or null. */
  public Duration slowStartCountedAt;

  public Duration acceptedAt;

  /** When the VM was reported as running. */
  public Duration runningSince;

  /** Whether the machine hosted the VM's service, now or recently, when the attempt was sent. */
  public boolean isWarmStart;

  /**
   * Whether the scheduler ended the attempt without its machine's confirmation, so that the VM may
   * still run there.
   */
  public boolean mayStillRun;

  /** The outcome, null while the attempt is in flight or its VM runs. */
  public Outcome outcome;

  /** Creates an attempt that is sent now. */
  public PlacementAttempt(Vm vm, Machine machine, int number, Duration sentAt) {
    this.vm = vm;
    this.machine = machine;
    this.number = number;
    this.sentAt = sentAt;
  }

  /** Creates the attempt of a running VM that is adopted from an earlier scheduler. */
  public static PlacementAttempt adopted(Vm vm, Machine machine, Duration now) {
    PlacementAttempt attempt = new PlacementAttempt(vm, machine, 0, now);
    attempt.acceptedAt = now;
    attempt.runningSince = now;
    vm.attempts.add(attempt);
    vm.acceptedAttempt = attempt;
    return attempt;
  }

  /** Whether the outcome proves that this attempt never ran the VM. */
  public boolean hasNeverRun() {
    return outcome == Outcome.FULL || outcome == Outcome.UNREACHABLE || outcome == Outcome.NOT_SENT;
  }

  /** Whether the machine accepted the attempt. */
  public boolean wasAccepted() {
    return acceptedAt != null;
  }

  /** Whether the VM was reported as running before the given time. */
  public boolean ranBefore(Duration time) {
    return runningSince != null && runningSince.compareTo(time) < 0;
  }

  /** Whether the attempt has no outcome yet; also true while its VM runs. */
  public boolean isInFlight() {
    return outcome == null;
  }
}
