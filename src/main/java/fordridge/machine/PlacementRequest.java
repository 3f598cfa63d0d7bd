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
    if (!sent) {
      return ExecutionEvidence.NEVER_SENT;
    }
    return reportedRunning ? ExecutionEvidence.RUNNING : ExecutionEvidence.MAY_HAVE_RUN;
  }

  /** Whether the VM is known to run although its answer is still outstanding. */
  boolean isKnownToRun() {
    return evidence() == ExecutionEvidence.RUNNING;
  }

  /** Whether an earlier attempt of the VM on the same machine ended without the machine's word. */
  boolean hasUnsettledPredecessor() {
    return attempt.vm.attempts.stream()
        .anyMatch(
            earlier ->
                earlier.number < attempt.number
                    && earlier.machine == attempt.machine
                    && earlier.mayStillRun);
  }

  /** The machine has sent something that it sends only for a VM that runs. */
  void markReportedRunning() {
    reportedRunning = true;
  }
}
