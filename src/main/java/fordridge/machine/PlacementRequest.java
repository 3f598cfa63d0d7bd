package fordridge.machine;

import fordridge.model.PlacementAttempt;
import java.time.Duration;

/** A placement request that is not answered yet. */
final class PlacementRequest {
  private final PlacementAttempt attempt;
  private final Duration answerDeadline;
  private boolean sent;
  private boolean reportedRunning;

  PlacementRequest(PlacementAttempt attempt, Duration answerDeadline) {
    this.attempt = attempt;
    this.answerDeadline = answerDeadline;
  }

  PlacementAttempt attempt() {
    return attempt;
  }

  /** The time by which the machine has to answer. */
  Duration answerDeadline() {
    return answerDeadline;
  }

  /** Whether the machine may have received it. */
  boolean isSent() {
    return sent;
  }

  void markSent() {
    sent = true;
  }

  /** What is known about its execution while it is unanswered. */
  ExecutionEvidence evidence() {
    if (!sent) {
      return ExecutionEvidence.NEVER_SENT;
    }
    return reportedRunning ? ExecutionEvidence.RUNNING : ExecutionEvidence.MAY_HAVE_RUN;
  }

  /** Whether the VM is known to run although the request is still unanswered. */
  boolean isKnownToRun() {
    return evidence() == ExecutionEvidence.RUNNING;
  }

  /**
   * Whether an earlier attempt of the VM on the same machine ended without a message of the
   * machine, so that its VM may still run.
   */
  boolean hasUnsettledPredecessor() {
    return attempt.vm.attempts.stream()
        .anyMatch(
            earlier ->
                earlier.number < attempt.number
                    && earlier.machine == attempt.machine
                    && earlier.mayStillRun);
  }

  /** Records that the machine has sent a message that it sends only for a running VM. */
  void markReportedRunning() {
    reportedRunning = true;
  }
}
