package fordridge.faults;

/** What {@link ProtocolChecker} knows about the VM of a request on one machine. */
final class TrackedRun {
  /** The protocol's limit where the machine or the scheduler has no connection to send it on. */
  static final long NOTICE_LIMIT_UNCONNECTED_MILLIS = 8000 + 50 + 400;

  long endedAt = -1;
  long noticeDueAt;

  /** When the machine first wrote an answer or report on the running VM; negative if not yet. */
  long firstReportedAt = -1;

  /** Whether the scheduler has ended the VM. */
  boolean isEndedByScheduler;

  /** When the VM has to be released at its machine, as no client owns it; zero if one does. */
  long releaseDueAt;

  boolean awaitsRelease() {
    return releaseDueAt > 0 && endedAt < 0 && !isEndedByScheduler;
  }

  boolean wasReleasedTooLate(long at) {
    return releaseDueAt > 0 && !isEndedByScheduler && (endedAt < 0 ? at : endedAt) > releaseDueAt;
  }

  void requireRelease(long at) {
    if (releaseDueAt == 0) {
      releaseDueAt = at + NOTICE_LIMIT_UNCONNECTED_MILLIS;
    }
  }
}
