package fordridge.machine;

import fordridge.model.PlacementAttempt;
import java.time.Duration;

/** A placement request that has no answer yet. */
final class PlacementRequest {
  private final PlacementAttempt attempt;
  private final Duration answerBy;
  private boolean sent;
  private boolean reportedRunning;

  PlacementRequest(PlacementAttempt attempt, Duration answerBy) {
    this.attempt = attempt;
    this.answerBy = answerBy;
  }

  PlacementAttempt attempt() {
    return attempt;
  }

  /** The time by which the machine has to answer. */
  Duration answerBy() {
    return answerBy;
  }

  /** Whether its first byte was written. */
  boolean isSent() {
    return sent;
  }

  void markSent() {
    sent = true;
  }

  /** What is known of its execution while it has no answer. */
  ExecutionEvidence evidence() {
    return sent ? ExecutionEvidence.MAY_HAVE_RUN : ExecutionEvidence.NEVER_SENT;
  }

  /**
   * Whether the machine has sent something that it sends only for a VM that runs, although its
   * answer is still outstanding.
   */
  boolean isReportedRunning() {
    return reportedRunning;
  }

  void markReportedRunning() {
    reportedRunning = true;
  }
}
