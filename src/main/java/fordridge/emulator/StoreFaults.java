package fordridge.emulator;

/** Faults of the emulated etcd. */
final class StoreFaults {
  private static final long RESTORED_REVISIONS_BACK = 50;
  private static final long MIN_RESTORED_REVISION = 2;

  private final ScenarioPeers peers;
  private final FaultTimeline timeline;

  StoreFaults(ScenarioPeers peers, FaultTimeline timeline) {
    this.peers = peers;
    this.timeline = timeline;
  }

  void begin(FaultPlan fault) {
    EmulatedEtcd etcd =
        peers
            .etcd()
            .orElseThrow(
                () ->
                    new IllegalStateException(
                        "fault " + fault.kind().text() + " needs registry.in = etcd"));
    switch (fault.kind()) {
      case ETCD_COMPACT -> etcd.compactNow();
      case ETCD_CUT -> cut(etcd, fault);
      case ETCD_SILENCE -> {
        etcd.silence(true);
        timeline.after(fault.length(), () -> etcd.silence(false));
      }
      case ETCD_DELAY -> {
        etcd.delay((long) fault.size());
        timeline.after(fault.length(), () -> etcd.delay(0));
      }
      case ETCD_RESTORE ->
          etcd.restore(
              Math.max(MIN_RESTORED_REVISION, etcd.revision() - RESTORED_REVISIONS_BACK), false);
      case ETCD_LEASES -> etcd.revokeAll();
      default -> throw new IllegalArgumentException("not a fault of the store: " + fault.kind());
    }
  }

  /** Without a leader for a while, and compacted when it has one again. */
  private void cut(EmulatedEtcd etcd, FaultPlan fault) {
    etcd.leaderless(true);
    timeline.after(
        fault.length(),
        () -> {
          etcd.compactNow();
          etcd.leaderless(false);
        });
  }
}
