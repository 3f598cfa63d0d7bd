package fordridge.machine;

/** How an attempt came to be given up while its VM may run at the machine. */
public enum UnsettledReason {
  /** Its connection ended before the machine's answer. */
  CONNECTION_LOST,
  /** It was withdrawn, for its client, its time or a handover elsewhere. */
  WITHDRAWN,
  /** The VM was to be terminated, and the machine has not confirmed it in time. */
  TERMINATION_UNCONFIRMED,
  /** The machine could not be reached, and its VMs were told as lost. */
  UNREACHABLE,
  /** The machine accepted a VM that is not requested from it, or no longer. */
  ACCEPTED_UNASKED
}
