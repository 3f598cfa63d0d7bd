package fordridge.model;

import java.time.Duration;

/** One offer of a VM to a machine, from its sending to its outcome. */
public final class PlacementAttempt {
  /** How a claim ended. */
  public enum Outcome {
    DONE,
    ERROR,
    FULL,
    TIMEOUT,
    UNREACHABLE,
    RESET,
    CANCELLED,
    MOOT
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
    return outcome == Outcome.FULL || outcome == Outcome.UNREACHABLE || outcome == Outcome.MOOT;
  }

  public boolean isInFlight() {
    return outcome == null;
  }
}
