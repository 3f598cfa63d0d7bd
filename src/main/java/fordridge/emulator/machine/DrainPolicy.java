package fordridge.emulator.machine;

/** How a draining machine treats its running VMs. */
public enum DrainPolicy {
  /** They keep running until the machine shuts down. */
  NONE,
  /** They are all stopped at once. */
  AT_ONCE,
  /** They are stopped one after another, spread evenly over the notice period. */
  PACED
}
