package fordridge.machine;

import fordridge.model.PlacementAttempt;
import java.time.Duration;

/**
 * An attempt on a machine's stream, from its offer until the machine is known to be done with it.
 */
final class StreamAttempt {
  /** How far the attempt has come, and what that proves of its execution. */
  enum Stage {
    /** Waits for the stream. */
    QUEUED(ExecutionEvidence.NEVER_SENT),
    /** The offer was written; no answer yet. */
    SENT(ExecutionEvidence.MAY_HAVE_RUN),
    /** The stream broke before the answer; it has a while to come back and tell. */
    UNCONFIRMED(ExecutionEvidence.MAY_HAVE_RUN),
    /** The machine has accepted or started the VM. */
    ACCEPTED(ExecutionEvidence.RUNNING),
    /** It has ended for the scheduler; the machine may still hold it. */
    CANCELLED(ExecutionEvidence.MAY_HAVE_RUN);

    private final ExecutionEvidence evidence;

    Stage(ExecutionEvidence evidence) {
      this.evidence = evidence;
    }

    ExecutionEvidence evidence() {
      return evidence;
    }
  }

  private final AttemptId id;
  private final PlacementAttempt attempt;
  private final boolean idempotent;
  private final Duration answerBy;
  private Stage stage;
  private Duration confirmBy;

  private StreamAttempt(
      AttemptId id, PlacementAttempt attempt, boolean idempotent, Duration answerBy, Stage stage) {
    this.id = id;
    this.attempt = attempt;
    this.idempotent = idempotent;
    this.answerBy = answerBy;
    this.stage = stage;
  }

  /** An attempt to be offered, which the machine has to answer by the given time. */
  static StreamAttempt queued(
      AttemptId id, PlacementAttempt attempt, boolean idempotent, Duration answerBy) {
    return new StreamAttempt(id, attempt, idempotent, answerBy, Stage.QUEUED);
  }

  /** An attempt of an earlier incarnation of the scheduler, which runs on the machine. */
  static StreamAttempt adopted(AttemptId id, PlacementAttempt attempt) {
    return new StreamAttempt(id, attempt, false, Duration.ZERO, Stage.ACCEPTED);
  }

  AttemptId id() {
    return id;
  }

  PlacementAttempt attempt() {
    return attempt;
  }

  /** Whether the VM may be placed again without harm, even if it may have run. */
  boolean isIdempotent() {
    return idempotent;
  }

  /** The time by which the machine has to answer the offer. */
  Duration answerBy() {
    return answerBy;
  }

  Stage stage() {
    return stage;
  }

  boolean isCancelled() {
    return stage == Stage.CANCELLED;
  }

  /** The time by which an unconfirmed attempt has to be confirmed. */
  Duration confirmBy() {
    return confirmBy;
  }

  boolean isConfirmationOverdue(Duration now) {
    return stage == Stage.UNCONFIRMED && now.compareTo(confirmBy) >= 0;
  }

  void sent() {
    stage = Stage.SENT;
  }

  void unconfirmed(Duration deadline) {
    stage = Stage.UNCONFIRMED;
    confirmBy = deadline;
  }

  void accepted() {
    stage = Stage.ACCEPTED;
  }

  void cancelled() {
    stage = Stage.CANCELLED;
  }
}
