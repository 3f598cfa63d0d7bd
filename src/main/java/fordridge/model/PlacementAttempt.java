package fordridge.model;

import java.time.Duration;

/** One offer of a VM to a machine, from its sending to its outcome. */
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

  /** Why it ended so, where the machine says. */
  public enum OutcomeReason {
    UNSPECIFIED,
    INSUFFICIENT_CORES,
    INSUFFICIENT_MEMORY,
    QUEUE_FULL,
    NOT_ELIGIBLE,
    EVICTED,
    PREEMPTED,
    DRAINED
  }

  public final Vm vm;
  public final Machine machine;
  public final int number;
  public final Duration sentAt;
  public Duration timeout = Duration.ZERO;
  public Duration acceptedAt;

  /** When it was told to run, null before. */
  public Duration runningSince;

  public boolean isWarmStart;
  public Outcome outcome;

  public PlacementAttempt(Vm vm, Machine machine, int number, Duration sentAt) {
    this.vm = vm;
    this.machine = machine;
    this.number = number;
    this.sentAt = sentAt;
  }

  /** Its outcome proves that it never ran. */
  public boolean hasNeverRun() {
    return outcome == Outcome.FULL || outcome == Outcome.UNREACHABLE || outcome == Outcome.NOT_SENT;
  }

  public boolean isInFlight() {
    return outcome == null;
  }
}
