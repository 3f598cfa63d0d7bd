package fordridge.machine;

import fordridge.model.PlacementAttempt;
import java.time.Duration;

/**
 * An attempt on a machine's stream, from its offer until it is known to have ended on the machine.
 */
final class StreamAttempt {
  /** The stage of the attempt, and what it proves about the VM's execution. */
  enum Stage {
    /** Queued until the stream can take it. */
    QUEUED(ExecutionEvidence.NEVER_SENT),
    /** The offer was written and is unanswered. */
    SENT(ExecutionEvidence.MAY_HAVE_RUN),
    /** The stream broke before the answer; the next stream's inventory may confirm the attempt. */
    UNCONFIRMED(ExecutionEvidence.MAY_HAVE_RUN),
    /** The machine has accepted or started the VM. */
    ACCEPTED(ExecutionEvidence.RUNNING),
    /** The attempt has ended for the scheduler; the machine may still run or queue it. */
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
  private final Duration answerDeadline;
  private Stage stage;
  private Duration confirmationDeadline;

  private StreamAttempt(
      AttemptId id,
      PlacementAttempt attempt,
      boolean idempotent,
      Duration answerDeadline,
      Stage stage) {
    this.id = id;
    this.attempt = attempt;
    this.idempotent = idempotent;
    this.answerDeadline = answerDeadline;
    this.stage = stage;
  }

  /** Creates an attempt to be offered, which the machine has to answer by the given time. */
  static StreamAttempt queued(
      AttemptId id, PlacementAttempt attempt, boolean idempotent, Duration answerDeadline) {
    return new StreamAttempt(id, attempt, idempotent, answerDeadline, Stage.QUEUED);
  }

  /** Creates an attempt of an earlier incarnation of the scheduler whose VM runs on the machine. */
  static StreamAttempt adopted(AttemptId id, PlacementAttempt attempt) {
    return new StreamAttempt(id, attempt, false, Duration.ZERO, Stage.ACCEPTED);
  }

  AttemptId id() {
    return id;
  }

  PlacementAttempt attempt() {
    return attempt;
  }

  /** Whether the VM can safely be placed again even if it may have run. */
  boolean isIdempotent() {
    return idempotent;
  }

  /** The time by which the machine has to answer the offer. */
  Duration answerDeadline() {
    return answerDeadline;
  }

  Stage stage() {
    return stage;
  }

  boolean isCancelled() {
    return stage == Stage.CANCELLED;
  }

  /** The time by which an unconfirmed attempt has to be confirmed. */
  Duration confirmationDeadline() {
    return confirmationDeadline;
  }

  boolean isConfirmationOverdue(Duration now) {
    return stage == Stage.UNCONFIRMED && now.compareTo(confirmationDeadline) >= 0;
  }

  void sent() {
    stage = Stage.SENT;
  }

  void unconfirmed(Duration deadline) {
    stage = Stage.UNCONFIRMED;
    confirmationDeadline = deadline;
  }

  void accepted() {
    stage = Stage.ACCEPTED;
  }

  void cancelled() {
    stage = Stage.CANCELLED;
  }
}
