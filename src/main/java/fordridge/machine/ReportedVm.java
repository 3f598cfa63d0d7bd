package fordridge.machine;

/** One VM in the inventory that a machine sends at the start of a stream. */
public record ReportedVm(
    AttemptId attemptId,
    State state,
    String priorityClass,
    long service,
    String tenant,
    double cores,
    double memory,
    String client) {
  /** The state of the attempt on the machine. */
  public enum State {
    /** The machine accepted the attempt; it is queued for capacity there. */
    QUEUED,
    RUNNING,
    /** The VM ran and has ended. */
    ENDED,
    /** The machine rejected the attempt; the VM never ran. */
    REJECTED
  }
}
