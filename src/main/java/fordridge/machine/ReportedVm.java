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
  /** What the machine did with the attempt so far. */
  public enum State {
    /** Accepted, and waiting for capacity on the machine. */
    QUEUED,
    RUNNING,
    /** It ran and is over. */
    ENDED,
    /** It never ran. */
    REJECTED
  }
}
