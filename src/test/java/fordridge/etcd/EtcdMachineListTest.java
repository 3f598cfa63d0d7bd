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
 * The list against a stand-in that speaks the watch protocol, with its hard cases brought about.
 */
class EtcdMachineListTest {
  private static DeploymentSettings settings(String ports, String more)
      throws InvalidSettingsException {
    return DeploymentSettings.read(
        ConfigFactory.parseString(
            "kinds = [{ name = k, cores = 8, memory = 16 }]\n"
                + "flavours = [{ name = f, effect = rebuildable }]\nmachines.source = etcd\n"
                + "etcd { endpoints = ["
                + ports
                + "], prefix = \"/c\", silence = 400ms, start_within = 5s, lease = 1s }\n"
                + more),
        new File("."));
  }

  private static EtcdMachineList open(EmulatedEtcd etcd, String more) throws Exception {
    return new EtcdMachineList(settings("\"127.0.0.1:" + etcd.port() + "\"", more), "p", 1);
  }

  private static String machine(int port, int incarnation) {
    return "{\"v\":2,\"address\":\"127.0.0.1:"
        + port
        + "\",\"kind\":\"k\",\"cores\":8,\"memory\":16,\"incarnation\":"
        + incarnation
        + ",\"later_field\":7}";
  }

  private static Entry entry(EtcdMachineList l, String name) {
    return l.latest().entries().stream()
        .filter(e -> e.name().equals(name))
        .findFirst()
        .orElse(null);
  }

  private static Lifecycle state(EtcdMachineList l, String name) {
    Entry e = entry(l, name);
    return e == null ? null : e.lifecycle();
  }

  private static void until(Callable<Boolean> what) {
    await().atMost(Duration.ofSeconds(20)).pollInterval(Duration.ofMillis(5)).until(what);
  }

  private static void fill(EmulatedEtcd etcd, int n) {
    Map<String, String> all = new LinkedHashMap<>();
    for (int i = 0; i < n; i++) {
      all.put(String.format("/c/machines/m%05d", i), machine(1000 + i % 60000, 1));
    }
    etcd.putAll(all);
  }

  @Example
  void itFollowsMachinesAndDrains() throws Exception {
    try (EmulatedEtcd etcd = new EmulatedEtcd()) {
      fill(etcd, 7);
      try (EtcdMachineList l = open(etcd, "etcd.page = 3")) {
        assertThat(l.latest().entries().size()).isEqualTo(7);
        etcd.put("/c/drains/m00002", "{\"v\":2,\"reason\":\"kernel\"}");
        until(() -> state(l, "m00002") == Lifecycle.DRAINING);
        etcd.delete("/c/drains/m00002");
        until(() -> state(l, "m00002") == Lifecycle.LIVE);
        etcd.delete("/c/machines/m00003");
        until(() -> entry(l, "m00003") == null);
        assertThat(l.snapshotCount()).isEqualTo(1);
      }
    }
  }

  @Example
  void compactionBetweenTheSnapshotsPagesBeginsItAnew() throws Exception {
    try (EmulatedEtcd etcd = new EmulatedEtcd()) {
      fill(etcd, 40);
      etcd.slowRanges(30);
      Thread compactor =
          new Thread(
              () -> {
                until(() -> etcd.ranges() >= 2);
                etcd.put("/c/machines/m00001", machine(2, 2));
                etcd.compactNow();
                etcd.slowRanges(0);
              });
      compactor.start();
      try (EtcdMachineList l = open(etcd, "etcd.page = 2")) {
        compactor.join();
        until(() -> entry(l, "m00001").address().getPort() == 2);
        assertThat(l.latest().entries().size()).isEqualTo(40);
        assertThat(l.snapshotCount()).isGreaterThan(1);
      }
    }
  }

  @Example
  void compactedWhileAwayWithADeleteAndARemakeInTheGap() throws Exception {
    try (EmulatedEtcd etcd = new EmulatedEtcd()) {
      fill(etcd, 5);
      try (EtcdMachineList l = open(etcd, "")) {
        until(() -> etcd.watchers() == 1);
        etcd.leaderless(true);
        etcd.delete("/c/machines/m00001");
        etcd.delete("/c/machines/m00002");
        etcd.put("/c/machines/m00002", machine(77, 1));
        etcd.put("/c/drains/m00003", "{}");
        etcd.compactNow();
        etcd.leaderless(false);
        until(() -> entry(l, "m00001") == null);
        assertThat(entry(l, "m00002").address().getPort()).isEqualTo(77);
        assertThat(entry(l, "m00002").startedAt())
            .as("another machine under the name is cold")
            .isNotNull();
        assertThat(state(l, "m00003")).isEqualTo(Lifecycle.DRAINING);
      }
    }
  }

  @Example
  void aBrokenStreamResumesWhereItStoodAndRepeatsDoNoHarm() throws Exception {
    try (EmulatedEtcd etcd = new EmulatedEtcd()) {
      fill(etcd, 5);
      try (EtcdMachineList l = open(etcd, "")) {
        etcd.repeat(true);
        etcd.put("/c/drains/m00001", "{}");
        etcd.delete("/c/drains/m00001");
        etcd.put("/c/drains/m00001", "{}");
        until(() -> state(l, "m00001") == Lifecycle.DRAINING);
        List<Update> heard = new CopyOnWriteArrayList<>();
        l.watch(heard::add);
        until(() -> heard.size() == 1);
        etcd.cut();
        etcd.put("/c/machines/m00009", machine(9, 1));
        until(() -> entry(l, "m00009") != null);
        assertThat(l.snapshotCount()).isEqualTo(1);
        assertThat(heard)
            .noneMatch(
                u ->
                    u.entries().stream()
                        .anyMatch(
                            e -> e.name().equals("m00001") && e.lifecycle() == Lifecycle.LIVE));
        assertThat(heard).anyMatch(Update::isStale);
      }
    }
  }

  @Example
  void aSilentStreamCountsAsOldAndAnotherEndpointIsTried() throws Exception {
    try (EmulatedEtcd quiet = new EmulatedEtcd();
        EmulatedEtcd other = new EmulatedEtcd()) {
      fill(quiet, 3);
      fill(other, 3);
      String both = "\"127.0.0.1:" + quiet.port() + "\", \"127.0.0.1:" + other.port() + "\"";
      try (EtcdMachineList l = new EtcdMachineList(settings(both, ""), "p", 1)) {
        until(() -> quiet.watchers() + other.watchers() == 1);
        EmulatedEtcd used = quiet.watchers() == 1 ? quiet : other;
        EmulatedEtcd free = used == quiet ? other : quiet;
        used.silence(true);
        long from = System.nanoTime();
        until(() -> free.watchers() == 1);
        assertThat(Duration.ofNanos(System.nanoTime() - from)).isLessThan(Duration.ofSeconds(4));
        free.put("/c/drains/m00001", "{}");
        until(() -> state(l, "m00001") == Lifecycle.DRAINING);
      }
    }
  }

  @Example
  void aResetInTheMiddleOfAFragmentedChangeLosesNothing() throws Exception {
    try (EmulatedEtcd etcd = new EmulatedEtcd()) {
      fill(etcd, 3);
      try (EtcdMachineList l = open(etcd, "")) {
        until(() -> etcd.watchers() == 1);
        etcd.fragments(5, 2);
        fill(etcd, 60);
        until(() -> l.latest().entries().size() == 60);
      }
    }
  }

  @Example
  void aDrainThatArrivesJustAsTheMachineReturnsColdUnderItsKey() throws Exception {
    try (EmulatedEtcd etcd = new EmulatedEtcd()) {
      fill(etcd, 3);
      try (EtcdMachineList l = open(etcd, "")) {
        Map<String, String> both = new LinkedHashMap<>();
        both.put("/c/machines/m00001", machine(1001, 2));
        both.put("/c/drains/m00001", "{}");
        etcd.putAll(both);
        until(() -> state(l, "m00001") == Lifecycle.DRAINING);
        assertThat(entry(l, "m00001").startedAt()).isNotNull();
      }
    }
  }

  @Example
  void aRestoredStoreIsTakenAnew() throws Exception {
    try (EmulatedEtcd etcd = new EmulatedEtcd()) {
      fill(etcd, 3);
      for (int i = 0; i < 20; i++) {
        etcd.put("/c/machines/m00001", machine(1001, 1));
      }
      try (EtcdMachineList l = open(etcd, "")) {
        etcd.restore(5, false);
        until(() -> l.snapshotCount() >= 2);
        etcd.put("/c/drains/m00002", "{}");
        until(() -> state(l, "m00002") == Lifecycle.DRAINING);
      }
    }
  }

  @Example
  void fiveThousandMachinesReplacedAtOnce() throws Exception {
    try (EmulatedEtcd etcd = new EmulatedEtcd()) {
      fill(etcd, 5000);
      try (EtcdMachineList l = open(etcd, "")) {
        Map<String, String> all = new LinkedHashMap<>();
        for (int i = 0; i < 5000; i++) {
          all.put(String.format("/c/machines/m%05d", i), null);
          all.put(String.format("/c/machines/n%05d", i), machine(1000 + i, 1));
        }
        etcd.putAll(all);
        until(() -> entry(l, "n04999") != null && l.latest().entries().size() == 5000);
      }
    }
  }

  @Example
  void badRecordsAreRefusedOneByOne() throws Exception {
    try (EmulatedEtcd etcd = new EmulatedEtcd()) {
      fill(etcd, 3);
      etcd.put("/c/machines/old", "{\"address\":\"127.0.0.1:5\",\"kind\":\"k\",\"zone\":\"z\"}");
      etcd.put("/c/machines/newer", "{\"v\":9,\"address\":\"127.0.0.1:5\",\"kind\":\"k\"}");
      etcd.put("/c/machines/odd", ByteString.copyFrom(new byte[] {(byte) 0xff, (byte) 0xfe}), 0);
      etcd.put("/c/machines/large", "x".repeat(70_000));
      etcd.put("/c/machines/port", "{\"address\":\"127.0.0.1:70000\",\"kind\":\"k\"}");
      etcd.put("/c/machines/here", "{\"address\":\"here\",\"kind\":\"k\"}");
      try (EtcdMachineList l = open(etcd, "")) {
        assertThat(l.latest().entries())
            .extracting(Entry::name)
            .containsExactlyInAnyOrder("m00000", "m00001", "m00002", "old");
        etcd.put("/c/machines/m00001", "{");
        etcd.put("/c/machines/m00002", machine(8, 1));
        until(() -> entry(l, "m00002").address().getPort() == 8);
        assertThat(entry(l, "m00001")).isNotNull();
      }
    }
  }

  @Example
  void placersAreCountedAndOneWhoseLeaseWentComesBack() throws Exception {
    try (EmulatedEtcd etcd = new EmulatedEtcd()) {
      fill(etcd, 1);
      try (EtcdMachineList a =
              new EtcdMachineList(settings("\"127.0.0.1:" + etcd.port() + "\"", ""), "a", 1);
          EtcdMachineList b =
              new EtcdMachineList(settings("\"127.0.0.1:" + etcd.port() + "\"", ""), "b", 2)) {
        until(() -> a.schedulerCount() == 2 && b.schedulerCount() == 2);
        long before = etcd.revision();
        etcd.revokeAll();
        assertThat(a.schedulerCount()).as("no share rises on an expired lease").isEqualTo(2);
        until(() -> etcd.revision() >= before + 3);
        until(() -> a.schedulerCount() == 2);
      }
    }
  }

  @Example
  void leaseLostAfterACompactionIsRegisteredAnew() throws Exception {
    try (EmulatedEtcd etcd = new EmulatedEtcd()) {
      fill(etcd, 3);
      try (EtcdMachineList list = open(etcd, "")) {
        until(() -> etcd.watchers() == 1);
        etcd.leaderless(true);
        etcd.put("/c/drains/m00001", "{}");
        etcd.compactNow();
        etcd.leaderless(false);
        until(() -> list.snapshotCount() == 2 && etcd.watchers() == 1);
        etcd.revokeAll();
        long revisionWithoutRegistration = etcd.revision();
        until(() -> etcd.revision() > revisionWithoutRegistration);
      }
    }
  }

  /** A taker slower than the changes: the latest state wins, and no drain is dropped on the way. */
  @Example
  void fallingBehindEndsAtTheLatestStateWithEveryDrain() throws Exception {
    try (EmulatedEtcd etcd = new EmulatedEtcd()) {
      fill(etcd, 50);
      try (EtcdMachineList l = open(etcd, "etcd.silence = 10s")) {
        List<String> drained = new CopyOnWriteArrayList<>();
        l.watch(
            u -> {
              u.entries().stream()
                  .filter(e -> e.lifecycle() == Lifecycle.DRAINING)
                  .forEach(e -> drained.add(e.name()));
              java.util.concurrent.locks.LockSupport.parkNanos(3_000_000);
            });
        for (int i = 0; i < 600; i++) {
          fill(etcd, 50);
          if (i % 100 == 50) {
            etcd.put("/c/drains/m0000" + i / 100, "{}");
          }
        }
        etcd.put("/c/machines/m00049", machine(7, 3));
        until(() -> entry(l, "m00049").address().getPort() == 7);
        assertThat(drained).contains("m00000", "m00001", "m00002", "m00003", "m00004", "m00005");
        assertThat(l.snapshotCount()).isEqualTo(1);
      }
    }
  }

  @Example
  void aRefusedTokenIsSaidAtStartAndAGoodOneServes() throws Exception {
    try (EmulatedEtcd etcd = new EmulatedEtcd()) {
      fill(etcd, 1);
      etcd.requireToken("secret");
      assertThatThrownBy(() -> open(etcd, "etcd { start_within = 300ms, token = wrong }"))
          .isInstanceOf(IOException.class)
          .hasMessageContaining("UNAUTHENTICATED")
          .hasMessageContaining("invalid auth token");
      try (EtcdMachineList l = open(etcd, "etcd.token = secret")) {
        assertThat(l.latest().entries().size()).isEqualTo(1);
      }
    }
  }

  @Example
  void aWrongPrefixIsAnEmptyListThatFillsOnceMachinesCome() throws Exception {
    try (EmulatedEtcd etcd = new EmulatedEtcd()) {
      etcd.put("/elsewhere/machines/a", machine(1, 1));
      try (EtcdMachineList l = open(etcd, "")) {
        assertThat(l.latest().entries()).isEmpty();
        etcd.put("/c/machines/a", machine(1, 1));
        until(() -> entry(l, "a") != null);
      }
    }
  }

  @Example
  void whatCannotBeReachedIsSaidAtStart() throws Exception {
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
