package fordridge.emulator.machine;

/** What becomes of the running VMs of a machine that drains. */
public enum DrainPolicy {
  /** They run on until the machine goes down. */
  NONE,
  /** They are all stopped at once. */
  AT_ONCE,
  /** They are stopped one after another over the notice. */
  PACED
}
