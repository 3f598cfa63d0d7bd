package fordridge.etcd;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.awaitility.Awaitility.await;

import com.google.protobuf.ByteString;
import com.typesafe.config.ConfigFactory;
import fordridge.discovery.MachineListSource.Entry;
import fordridge.discovery.MachineListSource.Update;
import fordridge.emulator.EmulatedEtcd;
import fordridge.model.Machine.Lifecycle;
import fordridge.settings.DeploymentSettings;
import fordridge.settings.InvalidSettingsException;
import java.io.File;
import java.io.IOException;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.CopyOnWriteArrayList;
import net.jqwik.api.Example;

/**
 * Tests the machine list against an emulated etcd that injects failures: compaction, broken or
 * silent watches, fragmented responses, and restores.
 */
class EtcdMachineListTest {
  /** Longer than a resumed watch may take to confirm progress. */
  private static final Duration OUTAGE = Duration.ofMillis(1200);

  private static DeploymentSettings settings(String quotedEndpoints, String extraSettings)
      throws InvalidSettingsException {
    return DeploymentSettings.read(
        ConfigFactory.parseString(
            "kinds = [{ name = k, cores = 8, memory = 16 }]\n"
                + "flavours = [{ name = f, effect = rebuildable }]\nmachines.source = etcd\n"
                + "etcd { endpoints = ["
                + quotedEndpoints
                + "], prefix = \"/c\", silence = 400ms, start_within = 5s, lease = 1s }\n"
                + extraSettings),
        new File("."));
  }

  private static EtcdMachineList openList(EmulatedEtcd etcd, String extraSettings)
      throws Exception {
    return new EtcdMachineList(
        settings("\"127.0.0.1:" + etcd.port() + "\"", extraSettings), "p", 1);
  }

  private static String machine(int port, int incarnation) {
    return "{\"v\":2,\"address\":\"127.0.0.1:"
        + port
        + "\",\"kind\":\"k\",\"cores\":8,\"memory\":16,\"incarnation\":"
        + incarnation
        + ",\"later_field\":7}";
  }

  private static Entry entry(EtcdMachineList list, String name) {
    return list.latest().entries().stream()
        .filter(e -> e.name().equals(name))
        .findFirst()
        .orElse(null);
  }

  private static Lifecycle lifecycle(EtcdMachineList list, String name) {
    Entry entry = entry(list, name);
    return entry == null ? null : entry.lifecycle();
  }

  private static void awaitUntil(Callable<Boolean> condition) {
    await().atMost(Duration.ofSeconds(20)).pollInterval(Duration.ofMillis(5)).until(condition);
  }

  private static void putMachines(EmulatedEtcd etcd, int count) {
    Map<String, String> records = new LinkedHashMap<>();
    for (int i = 0; i < count; i++) {
      records.put(String.format("/c/machines/m%05d", i), machine(1000 + i % 60000, 1));
    }
    etcd.putAll(records);
  }

  @Example
  void listFollowsMachinesAndDrains() throws Exception {
    try (EmulatedEtcd etcd = new EmulatedEtcd()) {
      putMachines(etcd, 7);
      try (EtcdMachineList list = openList(etcd, "etcd.page = 3")) {
        assertThat(list.latest().entries().size()).isEqualTo(7);
        etcd.put("/c/drains/m00002", "{\"v\":2,\"reason\":\"kernel\"}");
        awaitUntil(() -> lifecycle(list, "m00002") == Lifecycle.DRAINING);
        etcd.delete("/c/drains/m00002");
        awaitUntil(() -> lifecycle(list, "m00002") == Lifecycle.LIVE);
        etcd.delete("/c/machines/m00003");
        awaitUntil(() -> entry(list, "m00003") == null);
        assertThat(list.snapshotCount()).isEqualTo(1);
      }
    }
  }

  @Example
  void compactionBetweenPagesRestartsTheSnapshot() throws Exception {
    try (EmulatedEtcd etcd = new EmulatedEtcd()) {
      putMachines(etcd, 40);
      etcd.setRangeDelayMillis(30);
      Thread compactor =
          new Thread(
              () -> {
                awaitUntil(() -> etcd.rangeRequestCount() >= 2);
                etcd.put("/c/machines/m00001", machine(2, 2));
                etcd.compactToLatestRevision();
                etcd.setRangeDelayMillis(0);
              });
      compactor.start();
      try (EtcdMachineList list = openList(etcd, "etcd.page = 2")) {
        compactor.join();
        awaitUntil(() -> entry(list, "m00001").address().getPort() == 2);
        assertThat(list.latest().entries().size()).isEqualTo(40);
        assertThat(list.snapshotCount()).isGreaterThan(1);
      }
    }
  }

  @Example
  void deletionAndRecreationBeforeACompactionAreFound() throws Exception {
    try (EmulatedEtcd etcd = new EmulatedEtcd()) {
      putMachines(etcd, 5);
      try (EtcdMachineList list = openList(etcd, "")) {
        awaitUntil(() -> etcd.watchCount() == 1);
        etcd.setLeaderless(true);
        etcd.delete("/c/machines/m00001");
        etcd.delete("/c/machines/m00002");
        etcd.put("/c/machines/m00002", machine(77, 1));
        etcd.put("/c/drains/m00003", "{}");
        etcd.compactToLatestRevision();
        etcd.setLeaderless(false);
        awaitUntil(() -> entry(list, "m00001") == null);
        assertThat(entry(list, "m00002").address().getPort()).isEqualTo(77);
        assertThat(entry(list, "m00002").startedAt())
            .as("another machine under a known name is in slow start")
            .isNotNull();
        assertThat(lifecycle(list, "m00003")).isEqualTo(Lifecycle.DRAINING);
      }
    }
  }

  @Example
  void brokenWatchResumesAndDuplicateEventsAreIgnored() throws Exception {
    try (EmulatedEtcd etcd = new EmulatedEtcd()) {
      putMachines(etcd, 5);
      try (EtcdMachineList list = openList(etcd, "")) {
        etcd.setRepeatsEvents(true);
        etcd.put("/c/drains/m00001", "{}");
        etcd.delete("/c/drains/m00001");
        etcd.put("/c/drains/m00001", "{}");
        // Events are applied in order: once this machine is known, so are the three before it.
        etcd.put("/c/machines/m00008", machine(8, 1));
        awaitUntil(() -> entry(list, "m00008") != null);
        assertThat(lifecycle(list, "m00001")).isEqualTo(Lifecycle.DRAINING);
        List<Update> updates = new CopyOnWriteArrayList<>();
        list.watch(updates::add);
        awaitUntil(() -> updates.size() == 1);
        etcd.endWatchStreams();
        etcd.put("/c/machines/m00009", machine(9, 1));
        awaitUntil(() -> entry(list, "m00009") != null);
        assertThat(list.snapshotCount()).isEqualTo(1);
        assertThat(updates)
            .noneMatch(
                u ->
                    u.entries().stream()
                        .anyMatch(
                            e -> e.name().equals("m00001") && e.lifecycle() == Lifecycle.LIVE));
        assertThat(updates).anyMatch(Update::isStale);
      }
    }
  }

  @Example
  void silentWatchIsReplacedByOneAtAnotherEndpoint() throws Exception {
    try (EmulatedEtcd first = new EmulatedEtcd();
        EmulatedEtcd second = new EmulatedEtcd()) {
      putMachines(first, 3);
      putMachines(second, 3);
      String quotedEndpoints =
          "\"127.0.0.1:" + first.port() + "\", \"127.0.0.1:" + second.port() + "\"";
      try (EtcdMachineList list = new EtcdMachineList(settings(quotedEndpoints, ""), "p", 1)) {
        awaitUntil(() -> first.watchCount() + second.watchCount() == 1);
        EmulatedEtcd silent = first.watchCount() == 1 ? first : second;
        EmulatedEtcd healthy = silent == first ? second : first;
        silent.setSilent(true);
        long silentSinceNanos = System.nanoTime();
        awaitUntil(() -> healthy.watchCount() == 1);
        assertThat(Duration.ofNanos(System.nanoTime() - silentSinceNanos))
            .isLessThan(Duration.ofSeconds(4));
        healthy.put("/c/drains/m00001", "{}");
        awaitUntil(() -> lifecycle(list, "m00001") == Lifecycle.DRAINING);
      }
    }
  }

  /**
   * Guards against a store that is slower than the call timeout and was cut off after the same time
   * again and again.
   */
  @Example
  void storeThatIsSlowerThanTheCallTimeoutIsReadAtLast() throws Exception {
    try (EmulatedEtcd etcd = new EmulatedEtcd()) {
      putMachines(etcd, 3);
      etcd.setRangeDelayMillis(900);

      try (EtcdMachineList list = openList(etcd, "etcd { call = 300ms, start_within = 10s }")) {
        assertThat(list.latest().entries().size()).isEqualTo(3);
        assertThat(list.snapshotCount()).isBetween(2, 4);
      }
    }
  }

  /**
   * Guards against a store whose first response to a resumed watch takes longer than the timeout:
   * each watch was given up after the same time.
   */
  @Example
  void storeThatIsSlowerThanTheResumeTimeoutIsHeardAtLast() throws Exception {
    try (EmulatedEtcd etcd = new EmulatedEtcd()) {
      putMachines(etcd, 3);
      try (EtcdMachineList list = openList(etcd, "")) {
        awaitUntil(() -> etcd.watchCount() == 1);
        etcd.setEventDelayMillis(1500);
        etcd.endWatchStreams();
        etcd.put("/c/drains/m00001", "{}");
        awaitUntil(() -> lifecycle(list, "m00001") == Lifecycle.DRAINING);
        assertThat(list.snapshotCount()).isEqualTo(1);
      }
    }
  }

  /** The time without a store does not count as time that the resumed watch has had. */
  @Example
  void resumedWatchHasItsWholeTimeAfterAnOutage() throws Exception {
    try (EmulatedEtcd etcd = new EmulatedEtcd()) {
      putMachines(etcd, 3);
      try (EtcdMachineList list = openList(etcd, "")) {
        awaitUntil(() -> etcd.watchCount() == 1);
        etcd.setEventDelayMillis(500);
        etcd.setLeaderless(true);
        etcd.put("/c/drains/m00001", "{}");
        long outageNanos = System.nanoTime();
        awaitUntil(() -> System.nanoTime() - outageNanos > OUTAGE.toNanos());
        etcd.setLeaderless(false);
        awaitUntil(() -> lifecycle(list, "m00001") == Lifecycle.DRAINING);
      }
    }
  }

  @Example
  void resetWithinAFragmentedResponseLosesNoChange() throws Exception {
    try (EmulatedEtcd etcd = new EmulatedEtcd()) {
      putMachines(etcd, 3);
      try (EtcdMachineList list = openList(etcd, "")) {
        awaitUntil(() -> etcd.watchCount() == 1);
        etcd.setFragmentation(5, 2);
        putMachines(etcd, 60);
        awaitUntil(() -> list.latest().entries().size() == 60);
      }
    }
  }

  @Example
  void drainInTheRevisionOfARestartApplies() throws Exception {
    try (EmulatedEtcd etcd = new EmulatedEtcd()) {
      putMachines(etcd, 3);
      try (EtcdMachineList list = openList(etcd, "")) {
        Map<String, String> records = new LinkedHashMap<>();
        records.put("/c/machines/m00001", machine(1001, 2));
        records.put("/c/drains/m00001", "{}");
        etcd.putAll(records);
        awaitUntil(() -> lifecycle(list, "m00001") == Lifecycle.DRAINING);
        assertThat(entry(list, "m00001").startedAt()).isNotNull();
      }
    }
  }

  @Example
  void restoredStoreCausesANewSnapshot() throws Exception {
    try (EmulatedEtcd etcd = new EmulatedEtcd()) {
      putMachines(etcd, 3);
      for (int i = 0; i < 20; i++) {
        etcd.put("/c/machines/m00001", machine(1001, 1));
      }
      try (EtcdMachineList list = openList(etcd, "")) {
        etcd.restore(5, false);
        awaitUntil(() -> list.snapshotCount() >= 2);
        etcd.put("/c/drains/m00002", "{}");
        awaitUntil(() -> lifecycle(list, "m00002") == Lifecycle.DRAINING);
      }
    }
  }

  @Example
  void fiveThousandMachinesAreReplacedInOneRevision() throws Exception {
    try (EmulatedEtcd etcd = new EmulatedEtcd()) {
      putMachines(etcd, 5000);
      try (EtcdMachineList list = openList(etcd, "")) {
        Map<String, String> records = new LinkedHashMap<>();
        for (int i = 0; i < 5000; i++) {
          records.put(String.format("/c/machines/m%05d", i), null);
          records.put(String.format("/c/machines/n%05d", i), machine(1000 + i, 1));
        }
        etcd.putAll(records);
        awaitUntil(() -> entry(list, "n04999") != null && list.latest().entries().size() == 5000);
      }
    }
  }

  @Example
  void unreadableRecordsAreSkippedIndividually() throws Exception {
    try (EmulatedEtcd etcd = new EmulatedEtcd()) {
      putMachines(etcd, 3);
      etcd.put("/c/machines/old", "{\"address\":\"127.0.0.1:5\",\"kind\":\"k\",\"zone\":\"z\"}");
      etcd.put("/c/machines/newer", "{\"v\":9,\"address\":\"127.0.0.1:5\",\"kind\":\"k\"}");
      etcd.put("/c/machines/odd", ByteString.copyFrom(new byte[] {(byte) 0xff, (byte) 0xfe}), 0);
      etcd.put("/c/machines/large", "x".repeat(70_000));
      etcd.put("/c/machines/port", "{\"address\":\"127.0.0.1:70000\",\"kind\":\"k\"}");
      etcd.put("/c/machines/here", "{\"address\":\"here\",\"kind\":\"k\"}");
      try (EtcdMachineList list = openList(etcd, "")) {
        assertThat(list.latest().entries())
            .extracting(Entry::name)
            .containsExactlyInAnyOrder("m00000", "m00001", "m00002", "old");
        etcd.put("/c/machines/m00001", "{");
        etcd.put("/c/machines/m00002", machine(8, 1));
        awaitUntil(() -> entry(list, "m00002").address().getPort() == 8);
        assertThat(entry(list, "m00001")).isNotNull();
      }
    }
  }

  @Example
  void expiredRegistrationsAreRenewedAndKeepTheSchedulerCount() throws Exception {
    try (EmulatedEtcd etcd = new EmulatedEtcd()) {
      putMachines(etcd, 1);
      try (EtcdMachineList first =
              new EtcdMachineList(settings("\"127.0.0.1:" + etcd.port() + "\"", ""), "a", 1);
          EtcdMachineList second =
              new EtcdMachineList(settings("\"127.0.0.1:" + etcd.port() + "\"", ""), "b", 2)) {
        awaitUntil(() -> first.schedulerCount() == 2 && second.schedulerCount() == 2);
        long revisionBefore = etcd.revision();
        etcd.revokeAll();
        assertThat(first.schedulerCount())
            .as("an expired lease does not raise the share of the others")
            .isEqualTo(2);
        awaitUntil(() -> etcd.revision() >= revisionBefore + 3);
        awaitUntil(() -> first.schedulerCount() == 2);
      }
    }
  }

  @Example
  void leaseLostAfterACompactionIsGrantedAgain() throws Exception {
    try (EmulatedEtcd etcd = new EmulatedEtcd()) {
      putMachines(etcd, 3);
      try (EtcdMachineList list = openList(etcd, "")) {
        awaitUntil(() -> etcd.watchCount() == 1);
        etcd.setLeaderless(true);
        etcd.put("/c/drains/m00001", "{}");
        etcd.compactToLatestRevision();
        etcd.setLeaderless(false);
        awaitUntil(() -> list.snapshotCount() == 2 && etcd.watchCount() == 1);
        etcd.revokeAll();
        long revisionWithoutRegistration = etcd.revision();
        awaitUntil(() -> etcd.revision() > revisionWithoutRegistration);
      }
    }
  }

  /** A listener that is slower than the changes gets the latest state and misses no drain. */
  @Example
  void slowListenerGetsTheLatestStateAndEveryDrain() throws Exception {
    try (EmulatedEtcd etcd = new EmulatedEtcd()) {
      putMachines(etcd, 50);
      try (EtcdMachineList list = openList(etcd, "etcd.silence = 10s")) {
        List<String> drained = new CopyOnWriteArrayList<>();
        list.watch(
            u -> {
              u.entries().stream()
                  .filter(e -> e.lifecycle() == Lifecycle.DRAINING)
                  .forEach(e -> drained.add(e.name()));
              java.util.concurrent.locks.LockSupport.parkNanos(3_000_000);
            });
        for (int i = 0; i < 600; i++) {
          putMachines(etcd, 50);
          if (i % 100 == 50) {
            etcd.put("/c/drains/m0000" + i / 100, "{}");
          }
        }
        etcd.put("/c/machines/m00049", machine(7, 3));
        awaitUntil(() -> entry(list, "m00049").address().getPort() == 7);
        assertThat(drained).contains("m00000", "m00001", "m00002", "m00003", "m00004", "m00005");
        assertThat(list.snapshotCount()).isEqualTo(1);
      }
    }
  }

  @Example
  void rejectedTokenFailsTheStartAndAValidOneConnects() throws Exception {
    try (EmulatedEtcd etcd = new EmulatedEtcd()) {
      putMachines(etcd, 1);
      etcd.requireToken("secret");
      assertThatThrownBy(() -> openList(etcd, "etcd { start_within = 300ms, token = wrong }"))
          .isInstanceOf(IOException.class)
          .hasMessageContaining("UNAUTHENTICATED")
          .hasMessageContaining("invalid auth token");
      try (EtcdMachineList list = openList(etcd, "etcd.token = secret")) {
        assertThat(list.latest().entries().size()).isEqualTo(1);
      }
    }
  }

  @Example
  void emptyPrefixYieldsAnEmptyListUntilMachinesRegister() throws Exception {
    try (EmulatedEtcd etcd = new EmulatedEtcd()) {
      etcd.put("/elsewhere/machines/a", machine(1, 1));
      try (EtcdMachineList list = openList(etcd, "")) {
        assertThat(list.latest().entries()).isEmpty();
        etcd.put("/c/machines/a", machine(1, 1));
        awaitUntil(() -> entry(list, "a") != null);
      }
    }
  }

  @Example
  void unreachableEndpointFailsTheStart() throws Exception {
    EmulatedEtcd etcd = new EmulatedEtcd();
    int port = etcd.port();
    etcd.close();
    assertThatThrownBy(
            () ->
                new EtcdMachineList(
                    settings("\"127.0.0.1:" + port + "\"", "etcd.start_within = 500ms"), "p", 1))
        .isInstanceOf(IOException.class)
        .hasMessageContaining("127.0.0.1:" + port)
        .hasMessageContaining("UNAVAILABLE");
  }
}
