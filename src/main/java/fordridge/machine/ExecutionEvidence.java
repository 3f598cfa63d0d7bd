package fordridge.machine;

import fordridge.model.PlacementAttempt.Outcome;

/**
 * What is known about an attempt's execution when its connection or its machine fails. It
 * determines the outcome of the attempt: only an attempt that provably never ran may be retried in
 * all cases.
 */
enum ExecutionEvidence {
  /**
   * The placement request was withdrawn before it was written, for a reason that says nothing about
   * the machine's health: the VM never ran.
   */
  WITHDRAWN_BEFORE_SEND(Outcome.NOT_SENT),
  /**
   * The placement request was not written, because the connection failed or was not ready in time:
   * the VM never ran.
   */
  NEVER_SENT(Outcome.UNREACHABLE),
  /** The placement request was written and not answered: the VM may have run or be running. */
  MAY_HAVE_RUN(Outcome.RESET),
  /** The machine accepted the VM or otherwise reported that it runs: it is not placed again. */
  RUNNING(Outcome.RESET);

  private final Outcome outcomeOnFailure;

  ExecutionEvidence(Outcome outcomeOnFailure) {
    this.outcomeOnFailure = outcomeOnFailure;
  }

  /** The outcome of the attempt if no further message about it can arrive. */
  Outcome outcomeOnFailure() {
    return outcomeOnFailure;
  }

  /** Whether the VM may still run although no further message about it can arrive. */
  boolean mayStillRun() {
    return this == MAY_HAVE_RUN || this == RUNNING;
  }

  /** The outcome of the attempt if the scheduler cancels it for the given reason. */
  Outcome outcomeOnCancel(Outcome reason) {
    return this == NEVER_SENT || this == WITHDRAWN_BEFORE_SEND ? outcomeOnFailure : reason;
  }
}
