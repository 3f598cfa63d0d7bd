package fordridge.emulator;

/** The active faults of the emulated etcd. Guarded by the lock of {@link EtcdState}. */
final class EtcdFaults {
  private static final int DEFAULT_MAX_EVENTS_PER_FRAGMENT = 1000;

  /** Watches stay open, but no events and no progress notifications are sent. */
  boolean isSilent;

  /** Requests fail with "no leader". */
  boolean isLeaderless;

  /** Watches that are created with a start revision are sent some earlier events again. */
  boolean repeatsEvents;

  long rangeDelayMillis;
  long eventDelayMillis;

  /** The most events in one response, for watches that allow fragments. */
  int maxEventsPerFragment = DEFAULT_MAX_EVENTS_PER_FRAGMENT;

  /**
   * The number of responses with events after which a stream is reset; only the first stream to
   * reach it is reset. 0 for none.
   */
  int fragmentsBeforeReset;
}
