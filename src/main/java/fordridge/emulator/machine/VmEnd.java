package fordridge.emulator.machine;

/** How a VM ended on a machine. */
public enum VmEnd {
  DONE("DONE"),
  FAILED("ERROR"),
  EVICTED("EVICTED"),
  PREEMPTED("PUSHED_OUT"),
  DRAINED("SENT_AWAY"),
  CANCELLED("CANCELLED");

  private final String text;

  VmEnd(String text) {
    this.text = text;
  }

  /** The value of the kind of end in a recording. */
  public String text() {
    return text;
  }
}
