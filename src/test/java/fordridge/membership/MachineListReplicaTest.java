package fordridge.membership;

import static org.assertj.core.api.Assertions.assertThat;

import fordridge.membership.MachineListReplica.StoreRecord;
import fordridge.model.Machine.Lifecycle;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

class MachineListReplicaTest {
  private static final StoreKeys AT = new StoreKeys("/c");
  private static final Duration T = Duration.ZERO;

  private static StoreRecord machine(String name, long mod, long create, long incarnation) {
    return new StoreRecord(
        AT.machine(name),
        StoreRecord.Kind.MACHINE,
        name,
        mod,
        create,
        new MachineListReplica.Machine("h:1", "k", "", 0, 8, 16, 8, 16, incarnation, 0),
        null,
        "",
        null);
  }

  private static StoreRecord drain(String name, long mod, long create) {
    return new StoreRecord(
        AT.drain(name),
        StoreRecord.Kind.DRAIN,
        name,
        mod,
        create,
        null,
        new MachineListReplica.Drain(""),
        "",
        null);
  }

  private static StoreRecord gone(StoreRecord i, long mod) {
    return new StoreRecord(i.key(), i.kind(), i.name(), mod, 0, null, null, "", null);
  }

  private static void snapshot(MachineListReplica b, long revision, StoreRecord... items) {
    b.snapshotBegins(1, revision, T);
    b.snapshotPage(List.of(items), T);
    b.snapshotEnds(T);
  }

  private static MachineListReplica begun(StoreRecord... items) {
    MachineListReplica b = new MachineListReplica(Duration.ofSeconds(2));
    snapshot(b, 10, items);
    return b;
  }

  private static Map<String, Lifecycle> state(MachineListReplica b) {
    b.takeChanges(AT);
    Map<String, Lifecycle> m = new TreeMap<>();
    for (MachineListReplica.MachineUpdate l : b.all()) {
      if (l.lifecycle() != Lifecycle.GONE) {
        m.put(l.name(), l.lifecycle());
      }
    }
    return m;
  }

  @Example
  void aDeleteAndARemakeInTheGapIsAnotherMachine() {
    MachineListReplica b = begun(machine("a", 5, 5, 1), machine("b", 6, 6, 1));
    b.takeChanges(AT);
    b.cutOff();
    snapshot(b, 40, machine("a", 33, 33, 1));
    List<MachineListReplica.MachineUpdate> changes = b.takeChanges(AT);
    assertThat(changes).anyMatch(l -> l.name().equals("a") && l.anew());
    assertThat(changes).anyMatch(l -> l.name().equals("b") && l.lifecycle() == Lifecycle.GONE);
  }

  @Example
  void aDrainThatArrivesJustAsTheMachineReturnsColdHolds() {
    MachineListReplica b = begun(machine("a", 5, 5, 1));
    b.takeChanges(AT);
    b.event(drain("a", 12, 12), false, T);
    b.event(machine("a", 13, 5, 2), false, T);
    List<MachineListReplica.MachineUpdate> changes = b.takeChanges(AT);
    assertThat(changes.size()).isEqualTo(1);
    assertThat(changes.get(0).lifecycle()).isEqualTo(Lifecycle.DRAINING);
    assertThat(changes.get(0).anew()).isTrue();
  }

  @Example
  void drainUndrainDrainInOneBatchEndsDraining() {
    MachineListReplica b = begun(machine("a", 5, 5, 1));
    b.event(drain("a", 11, 11), false, T);
    b.event(gone(drain("a", 0, 0), 12), true, T);
    b.event(drain("a", 13, 13), false, T);
    assertThat(state(b)).containsEntry("a", Lifecycle.DRAINING);
  }

  @Example
  void anOlderWordNeverUndoesANewerOne() {
    MachineListReplica b = begun(machine("a", 5, 5, 1), drain("a", 9, 9));
    b.event(gone(drain("a", 0, 0), 8), true, T);
    assertThat(state(b)).containsEntry("a", Lifecycle.DRAINING);
    b.event(gone(drain("a", 0, 0), 14), true, T);
    b.event(drain("a", 13, 13), false, T);
    assertThat(state(b)).containsEntry("a", Lifecycle.LIVE);
  }

  @Example
  void aBadRecordIsSaidAndTheLastGoodOneStands() {
    MachineListReplica b = begun(machine("a", 5, 5, 1));
    b.event(
        new StoreRecord(
            AT.machine("a"), StoreRecord.Kind.MACHINE, "a", 12, 5, null, null, "", "no address"),
        false,
        T);
    assertThat(state(b)).containsEntry("a", Lifecycle.LIVE);
    assertThat(b.takeComplaints())
        .anyMatch(c -> c.contains("/c/machines/a") && c.contains("no address"));
    b.event(
        new StoreRecord(
            AT.drain("a"), StoreRecord.Kind.DRAIN, "a", 13, 13, null, null, "", "not JSON"),
        false,
        T);
    assertThat(state(b))
        .as("a drain that cannot be read is a drain")
        .containsEntry("a", Lifecycle.DRAINING);
  }

  @Example
  void aRestoredStoreIsSaidAndTakenAnew() {
    MachineListReplica b = begun(machine("a", 8, 8, 1), machine("b", 9, 9, 1));
    snapshot(b, 4, machine("a", 4, 4, 1));
    assertThat(b.takeComplaints()).anyMatch(c -> c.contains("went back from revision 10 to 4"));
    assertThat(state(b)).containsOnlyKeys("a");
    b.event(drain("a", 5, 5), false, T);
    assertThat(state(b)).containsEntry("a", Lifecycle.DRAINING);
  }

  @Example
  void silenceMakesItOldAndProofMakesItGood() {
    MachineListReplica b = begun();
    assertThat(b.silent(Duration.ofMillis(1900))).isFalse();
    assertThat(b.silent(Duration.ofMillis(2000))).isTrue();
    assertThat(b.footing()).isEqualTo(MachineListReplica.SyncState.OLD);
    b.progress(10, Duration.ofMillis(2100));
    assertThat(b.footing()).isEqualTo(MachineListReplica.SyncState.FOLLOWING);
  }

  /**
   * Two registrations that expire at once may both be of placers that live: no share rises before
   * they are out.
   */
  @Example
  void aShrinkingCountRaisesNoShareEarly() {
    SchedulerCount h = new SchedulerCount(1, Duration.ofSeconds(10));
    assertThat(h.heard(5, T)).isEqualTo(5);
    assertThat(h.heard(3, Duration.ofSeconds(1))).isEqualTo(5);
    assertThat(h.heard(5, Duration.ofSeconds(3))).isEqualTo(5);
    assertThat(h.heard(3, Duration.ofSeconds(4))).isEqualTo(5);
    assertThat(h.heard(3, Duration.ofSeconds(23))).isEqualTo(5);
    h.cutOff();
    assertThat(h.heard(2, Duration.ofSeconds(25))).isEqualTo(5);
    assertThat(h.heard(4, Duration.ofSeconds(30))).isEqualTo(5);
    assertThat(h.heard(3, Duration.ofSeconds(45))).as("the most seen while waiting").isEqualTo(4);
  }

  /**
   * Any legal run of events, repeats, gaps and snapshots ends equal to the store, and no drain is
   * forgotten.
   */
  @Property(tries = 500, seed = "321")
  void endsEqualToTheStore(@ForAll long seed) {
    Random r = new Random(seed);
    MachineListReplica b = new MachineListReplica(Duration.ofSeconds(2));
    Map<String, StoreRecord> store = new HashMap<>();
    List<StoreRecord> log = new ArrayList<>();
    List<Boolean> deleted = new ArrayList<>();
    long revision = 1;
    int sent = 0;
    boolean following = false;
    for (int i = 0; i < 150; i++) {
      String name = "m" + r.nextInt(5);
      if (r.nextInt(3) > 0) {
        revision++;
        boolean drain = r.nextBoolean();
        String key = drain ? AT.drain(name) : AT.machine(name);
        StoreRecord old = store.get(key);
        boolean delete = old != null && r.nextInt(3) == 0;
        long create = old == null ? revision : old.createRevision();
        StoreRecord it =
            drain
                ? drain(name, revision, create)
                : machine(name, revision, create, 1 + r.nextInt(2));
        if (delete) {
          store.remove(key);
        } else {
          store.put(key, it);
        }
        log.add(delete ? gone(it, revision) : it);
        deleted.add(delete);
      }
      if (!following || r.nextInt(25) == 0) {
        // A gap: what was not sent is never sent; a snapshot, perhaps with events after it sent
        // twice.
        b.cutOff();
        b.snapshotBegins(1, revision, T);
        b.snapshotPage(List.copyOf(store.values()), T);
        b.snapshotEnds(T);
        sent = Math.max(0, log.size() - r.nextInt(4));
        following = true;
      }
      int some = r.nextInt(4);
      for (int k = 0; k < some && sent < log.size(); k++) {
        b.event(log.get(sent), deleted.get(sent), T);
        sent++;
      }
      if (r.nextInt(4) == 0) {
        b.takeChanges(AT);
      }
    }
    while (sent < log.size()) {
      b.event(log.get(sent), deleted.get(sent), T);
      sent++;
    }
    Map<String, Lifecycle> expected = new TreeMap<>();
    store.values().stream()
        .filter(x -> x.kind() == StoreRecord.Kind.MACHINE)
        .forEach(
            x ->
                expected.put(
                    x.name(),
                    store.containsKey(AT.drain(x.name())) ? Lifecycle.DRAINING : Lifecycle.LIVE));
    assertThat(state(b)).isEqualTo(expected);
  }
}
