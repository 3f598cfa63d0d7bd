package fordridge.machine;

import fordridge.model.Machine;
import fordridge.model.PlacementAttempt;
import fordridge.model.PlacementAttempt.Outcome;
import fordridge.model.PlacementAttempt.OutcomeReason;

/** Receives what is concluded from the connections to a machine. */
public interface MachineConnectionListener extends AttemptListener {
  /** The machine accepted the VM; the description is the one that the machine gave for it. */
  void attemptAccepted(PlacementAttempt attempt, String description);

  /** The machine said that a VM is over which is not known to run there. */
  void unknownVmEnded(VmTermination termination, Machine machine);

  /** The machine accepted a VM that is not requested from it, or no longer. */
  void unknownVmAccepted(String vmId, Machine machine);

  /**
   * The VM ran on the machine and is over there, and the answer to its placement request never
   * came: it must not be placed again, and its client has to be notified at once that it failed.
   */
  void attemptEndedUnanswered(PlacementAttempt attempt, Outcome outcome, OutcomeReason reason);

  /**
   * The withdrawal of an attempt was written.
   *
   * @param hasGoneOut whether it went to the network, and waits behind no earlier output
   */
  void attemptWithdrawn(PlacementAttempt attempt, boolean hasGoneOut);

  /** The machine is asked to release a VM that may run there and that nobody owns. */
  void releaseSent(String vmId, Machine machine);

  /** Nothing is left of a VM that the machine was asked to release: it has read or said so. */
  void releaseSettled(String vmId, Machine machine);

  /** Nothing runs on the machine any more, or it can't be told; so many VMs were known to run. */
  void machineFailed(Machine machine, MachineFailure failure, int runningVms);
}
