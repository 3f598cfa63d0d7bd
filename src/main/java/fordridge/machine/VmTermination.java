package fordridge.machine;

import fordridge.model.PlacementAttempt.Outcome;
import fordridge.model.PlacementAttempt.OutcomeReason;
import java.util.Optional;

/**
 * A machine's notice that a VM has ended. The outcome of the attempt depends on whether the VM's
 * placement request was still pending on that connection or the VM was running.
 *
 * @param vmId the VM's id
 * @param outcomeIfPending the outcome if the placement request was still unanswered
 * @param outcomeIfRunning the outcome if the VM was running; empty if the notice refers only to a
 *     placement request, so that it is outdated if the VM runs
 * @param reason why the VM ended
 */
public record VmTermination(
    String vmId,
    Outcome outcomeIfPending,
    Optional<Outcome> outcomeIfRunning,
    OutcomeReason reason) {
  /**
   * Whether the notice by itself proves that the VM ran. A machine rejects a VM that has to be
   * removed before it runs, so a VM that is evicted, preempted or drained without a rejection had
   * run, as had one that ran to completion or was cancelled while running. A reset without such a
   * reason proves nothing: it may have occurred before the VM ran.
   */
  boolean provesExecution() {
    return outcomeIfRunning
        .filter(outcome -> outcome != Outcome.RESET || reason.impliesVmHasRun())
        .isPresent();
  }
}
