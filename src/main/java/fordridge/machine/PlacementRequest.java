package fordridge.machine;

import fordridge.model.PlacementAttempt;
import java.time.Duration;

/** A placement request that has no answer yet. */
final class PlacementRequest {
  private final PlacementAttempt attempt;
  private final Duration answerBy;
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
