package fordridge.machine;

import fordridge.model.PlacementAttempt.Outcome;

/**
 * What is known of an attempt's execution when its connection or its machine fails. The outcome of
 * the attempt follows from it: only an attempt that provably never ran may be repeated freely.
 */
enum ExecutionEvidence {
  /**
   * The placement request was never written, for a reason that is not the machine's: the VM never
   * ran, and nothing is known of the machine.
   */
  NOT_ATTEMPTED(Outcome.NOT_SENT),
  /** The placement request was never written to a connection: the VM never ran. */
  NEVER_SENT(Outcome.UNREACHABLE),
  /** The placement request was written and has no answer: the VM may have run, or may run. */
  MAY_HAVE_RUN(Outcome.RESET),
  /** The machine has accepted the VM, or said otherwise that it runs: nothing places it again. */
  RUNNING(Outcome.RESET);

  private final Outcome outcomeOnFailure;

  ExecutionEvidence(Outcome outcomeOnFailure) {
    this.outcomeOnFailure = outcomeOnFailure;
  }

  /** The outcome of the attempt if nothing more will be heard of it. */
  Outcome outcomeOnFailure() {
    return outcomeOnFailure;
  }

  /** Whether its VM may run on although nothing more will be heard of it. */
  boolean mayStillRun() {
    return this == MAY_HAVE_RUN || this == RUNNING;
  }

  /** The outcome of the attempt if the scheduler cancels it for the given reason. */
  Outcome outcomeOnCancel(Outcome reason) {
    return this == NEVER_SENT || this == NOT_ATTEMPTED ? outcomeOnFailure : reason;
  }
}
