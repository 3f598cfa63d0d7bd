package fordridge.machine;

/** Why an attempt was given up although its VM may still run on the machine. */
public enum UnsettledReason {
  /** The connection that carried the request was lost before the machine answered. */
  CONNECTION_LOST,
  /**
   * The request was withdrawn because its client abandoned it, its timeout passed or the VM was
   * handed over on another machine.
   */
  WITHDRAWN,
  /** The machine did not confirm the termination of the VM in time. */
  TERMINATION_UNCONFIRMED,
  /** The machine was unreachable, and its VMs were reported as lost. */
  UNREACHABLE,
  /** The machine accepted a VM that had no pending placement request there. */
  ACCEPTED_UNASKED
}
