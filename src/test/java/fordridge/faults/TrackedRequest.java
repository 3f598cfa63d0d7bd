package fordridge.faults;

import java.util.HashMap;
import java.util.Map;

/** What {@link ProtocolChecker} knows about one request. Guarded by the checker. */
final class TrackedRequest {
  long sentAt;
  long deadline;
  boolean isAnswered;
  boolean isAccepted;
  long clientLeftAt = -1;
  boolean isRepeatable;

  /** The machine that the accepting response names. */
  String machine;

  boolean noticeReceived;

  /** Whether the request reached the scheduler. */
  boolean isDelivered;

  /** Whether no response or release is required, as the scheduler or connection was lost. */
  boolean isExempt;

  boolean isWithdrawn;

  /** Whether a machine reset a connection between an offer of the VM and its answer. */
  boolean wasAnswerLost;

  /** The run of the VM on each machine that accepted it. */
  final Map<String, TrackedRun> runs = new HashMap<>();

  /**
   * Whether the scheduler had to reject the request: the VM may run already and may not be placed
   * again.
   */
  boolean isInDoubt() {
    return !isRepeatable && wasAnswerLost;
  }

  boolean awaitsResponse() {
    return isDelivered && !isAnswered && clientLeftAt < 0 && !isExempt;
  }

  boolean awaitsNotice() {
    return isAccepted && !run().isEndedByScheduler && !noticeReceived && run().endedAt >= 0;
  }

  /** Whether the VM was accepted on another machine though the scheduler could know of this run. */
  boolean wasPlacedAgainAfter(String runMachine) {
    TrackedRun run = runs.get(runMachine);
    boolean isOtherRun = isAccepted && !runMachine.equals(machine);
    return isOtherRun
        && run.firstReportedAt >= 0
        && run.endedAt >= 0
        && !run.isEndedByScheduler
        && !isExempt;
  }

  TrackedRun run() {
    return runs.getOrDefault(machine, new TrackedRun());
  }
}
