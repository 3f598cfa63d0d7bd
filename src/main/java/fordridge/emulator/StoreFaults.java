package fordridge.emulator;

/** Injects faults into the emulated etcd. */
final class StoreFaults {
  private static final long REVISIONS_LOST_BY_RESTORE = 50;
  private static final long MIN_RESTORED_REVISION = 2;

  private final ScenarioPeers peers;
  private final FaultTimeline timeline;

  StoreFaults(ScenarioPeers peers, FaultTimeline timeline) {
    this.peers = peers;
    this.timeline = timeline;
  }

  void begin(ScenarioFault fault) {
    EmulatedEtcd etcd =
        peers
            .etcd()
            .orElseThrow(
                () ->
                    new IllegalStateException(
                        "fault "
                            + fault.kind().text()
                            + " needs registry.in = etcd, but the scenario has registry.in = file"));
    switch (fault.kind()) {
      case ETCD_COMPACT -> etcd.compactToLatestRevision();
      case ETCD_CUT -> loseLeader(etcd, fault);
      case ETCD_SILENCE -> {
        etcd.setSilent(true);
        timeline.runAfter(fault.length(), () -> etcd.setSilent(false));
      }
      case ETCD_DELAY -> {
        etcd.setEventDelayMillis((long) fault.size());
        timeline.runAfter(fault.length(), () -> etcd.setEventDelayMillis(0));
      }
      case ETCD_RESTORE ->
          etcd.restore(
              Math.max(MIN_RESTORED_REVISION, etcd.revision() - REVISIONS_LOST_BY_RESTORE), false);
      case ETCD_LEASES -> etcd.revokeAll();
      default ->
          throw new IllegalArgumentException(
              "fault kind "
                  + fault.kind()
                  + " does not apply to etcd; valid kinds are ETCD_COMPACT, ETCD_SILENCE, ETCD_CUT,"
                  + " ETCD_DELAY, ETCD_RESTORE and ETCD_LEASES");
    }
  }

  /**
   * Removes the leader for the fault's length, then compacts the history and restores the leader.
   */
  private void loseLeader(EmulatedEtcd etcd, ScenarioFault fault) {
    etcd.setLeaderless(true);
    timeline.runAfter(
        fault.length(),
        () -> {
          etcd.compactToLatestRevision();
          etcd.setLeaderless(false);
        });
  }
}
