package fordridge.emulator;

/** The faults in force at the emulated etcd. Guarded by the lock of {@link EtcdState}. */
final class EtcdFaults {
  private static final int DEFAULT_MAX_EVENTS_PER_FRAGMENT = 1000;

  /** Watches stay open and nothing is sent: no events, no progress. */
  boolean isSilent;

  /** Requests fail for want of a leader. */
  boolean isLeaderless;

  /** Watches that return are sent some events again that they have seen. */
  boolean repeatsEvents;

  long rangeDelayMillis;
  long eventDelayMillis;

  /** The most events in one response, where the watch allows fragments. */
  int maxEventsPerFragment = DEFAULT_MAX_EVENTS_PER_FRAGMENT;

  /** The first stream that has been sent so many responses with events is reset; 0 for none. */
  int fragmentsBeforeReset;
}
