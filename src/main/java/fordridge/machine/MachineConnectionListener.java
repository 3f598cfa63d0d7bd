package fordridge.machine;

import fordridge.model.Machine;
import fordridge.model.PlacementAttempt;
import fordridge.model.PlacementAttempt.Outcome;
import fordridge.model.PlacementAttempt.OutcomeReason;

/** Receives the events of the connections to a machine on the JSON lines protocol. */
public interface MachineConnectionListener extends AttemptListener {
  /** The machine accepted the VM; the description is the machine's own text for it. */
  void attemptAccepted(PlacementAttempt attempt, String description);

  /** The machine reported the end of a VM that is not known to run there. */
  void unknownVmTerminated(VmTermination termination, Machine machine);

  /** The machine accepted a VM that has no pending placement request there. */
  void unknownVmAccepted(String vmId, Machine machine);

  /**
   * The VM ran on the machine and ended or was lost before its placement request was answered. It
   * must not be placed again, and its client has to be notified at once that the request failed.
   */
  void attemptEndedUnanswered(PlacementAttempt attempt, Outcome outcome, OutcomeReason reason);

  /**
   * The withdrawal of an attempt was written.
   *
   * @param flushed whether the withdrawal was passed to the network, not queued behind earlier
   *     output
   */
  void attemptWithdrawn(PlacementAttempt attempt, boolean flushed);

  /** The machine was asked to release an orphaned VM that may run there. */
  void releaseSent(String vmId, Machine machine);

  /**
   * The release of an orphaned VM is complete: the machine has read the request or has reported
   * that the VM ended.
   */
  void releaseSettled(String vmId, Machine machine);

  /**
   * The machine is considered failed.
   *
   * @param runningVms number of VMs that were known to run on it
   */
  void machineFailed(Machine machine, MachineFailure failure, int runningVms);
}
