package fordridge.machine;

import fordridge.model.PlacementAttempt.Outcome;
import fordridge.model.PlacementAttempt.OutcomeReason;
import java.util.Optional;

/**
 * A machine's notice that a VM is over. What it means for the attempt depends on whether the VM's
 * placement request was still pending on that connection or the VM was running.
 *
 * @param outcomeIfPending the outcome of a placement request that had no answer yet
 * @param outcomeIfRunning the outcome of a running VM; empty if the notice is about a placement
 *     request alone, and thus late if the VM runs
 */
public record VmTermination(
    String vmId,
    Outcome outcomeIfPending,
    Optional<Outcome> outcomeIfRunning,
    OutcomeReason reason) {
  /**
   * Whether the notice by itself proves that the VM ran. One that has to go before it runs is
   * rejected, so what is evicted, preempted or drained without a rejection had run; so had what
   * came to its end or was cancelled as a VM. A bare reset may have broken on its way.
   */
  boolean provesExecution() {
    return outcomeIfRunning
        .filter(outcome -> outcome != Outcome.RESET || reason.isOfRunningVm())
        .isPresent();
  }
}
