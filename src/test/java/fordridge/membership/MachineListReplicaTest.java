package fordridge.membership;

import static org.assertj.core.api.Assertions.assertThat;

import fordridge.membership.MachineListReplica.SyncState;
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
  private static final StoreKeys KEYS = new StoreKeys("/c");
  private static final Duration START = Duration.ZERO;
  private static final Duration SILENCE_TIMEOUT = Duration.ofSeconds(2);
  private static final long CLUSTER = 1;
  private static final long SNAPSHOT_REVISION = 10;

  private static StoreRecord machine(
      String name, long modRevision, long createRevision, long incarnation) {
    return new StoreRecord(
        KEYS.machine(name),
        RecordKind.MACHINE,
        name,
        modRevision,
        createRevision,
        new MachineRecord("h:1", "k", "", 0, 8, 16, 8, 16, incarnation, 0));
  }

  private static StoreRecord withFreeCores(StoreRecord record, double freeCores) {
    MachineRecord machine = (MachineRecord) record.value();
    return new StoreRecord(
        record.key(),
        record.kind(),
        record.name(),
        record.modRevision(),
        record.createRevision(),
        new MachineRecord(
            machine.address(),
            machine.kind(),
            machine.zone(),
            machine.cell(),
            machine.cores(),
            machine.memory(),
            freeCores,
            machine.freeMemory(),
            machine.incarnation(),
            machine.startedAtEpochMillis()));
  }

  private static StoreRecord drain(String name, long modRevision, long createRevision) {
    return new StoreRecord(
        KEYS.drain(name),
        RecordKind.DRAIN,
        name,
        modRevision,
        createRevision,
        new StoreRecord.Drain(""));
  }

  private static StoreRecord unreadable(StoreRecord record, String reason) {
    return new StoreRecord(
        record.key(),
        record.kind(),
        record.name(),
        record.modRevision(),
        record.createRevision(),
        new StoreRecord.Unreadable(reason));
  }

  private static void loadSnapshot(
      MachineListReplica replica, long revision, List<StoreRecord> records) {
    replica.snapshotStarted(CLUSTER, revision, START);
    replica.snapshotPageReceived(records, START);
    replica.snapshotCompleted(START);
  }

  private static MachineListReplica replicaOf(StoreRecord... records) {
    MachineListReplica replica = new MachineListReplica(KEYS, SILENCE_TIMEOUT);
    loadSnapshot(replica, SNAPSHOT_REVISION, List.of(records));
    return replica;
  }

  private static void deleteDrain(MachineListReplica replica, String name, long revision) {
    replica.recordDeleted(KEYS.drain(name), revision, START);
  }

  private static Map<String, Lifecycle> lifecycles(MachineListReplica replica) {
    replica.takeUpdates();
    Map<String, Lifecycle> lifecycles = new TreeMap<>();
    for (MachineUpdate update : replica.publishedUpdates()) {
      if (update.lifecycle() != Lifecycle.GONE) {
        lifecycles.put(update.name(), update.lifecycle());
      }
    }
    return lifecycles;
  }

  @Example
  void keyRecreatedWhileDisconnectedIsANewMachine() {
    MachineListReplica replica = replicaOf(machine("a", 5, 5, 1), machine("b", 6, 6, 1));
    replica.takeUpdates();
    replica.connectionLost();
    loadSnapshot(replica, 40, List.of(machine("a", 33, 33, 1)));
    List<MachineUpdate> updates = replica.takeUpdates();
    assertThat(updates).anyMatch(u -> u.name().equals("a") && u.isNewMachine());
    assertThat(updates).anyMatch(u -> u.name().equals("b") && u.lifecycle() == Lifecycle.GONE);
  }

  @Example
  void recreatedMachineIsNewInOneUpdateOnly() {
    MachineListReplica replica = replicaOf(machine("a", 5, 5, 1));
    replica.takeUpdates();
    replica.recordDeleted(KEYS.machine("a"), 11, START);
    replica.takeUpdates();
    replica.recordPut(machine("a", 12, 12, 1), START);
    assertThat(replica.takeUpdates()).allMatch(MachineUpdate::isNewMachine).hasSize(1);
    replica.recordPut(withFreeCores(machine("a", 13, 12, 1), 4), START);
    assertThat(replica.takeUpdates()).noneMatch(MachineUpdate::isNewMachine).hasSize(1);
  }

  @Example
  void drainAppliesToARestartedMachine() {
    MachineListReplica replica = replicaOf(machine("a", 5, 5, 1));
    replica.takeUpdates();
    replica.recordPut(drain("a", 12, 12), START);
    replica.recordPut(machine("a", 13, 5, 2), START);
    List<MachineUpdate> updates = replica.takeUpdates();
    assertThat(updates.size()).isEqualTo(1);
    assertThat(updates.get(0).lifecycle()).isEqualTo(Lifecycle.DRAINING);
    assertThat(updates.get(0).isNewMachine()).isTrue();
  }

  @Example
  void drainUndrainDrainInOneBatchEndsDraining() {
    MachineListReplica replica = replicaOf(machine("a", 5, 5, 1));
    replica.recordPut(drain("a", 11, 11), START);
    deleteDrain(replica, "a", 12);
    replica.recordPut(drain("a", 13, 13), START);
    assertThat(lifecycles(replica)).containsEntry("a", Lifecycle.DRAINING);
  }

  @Example
  void olderEventIsIgnored() {
    MachineListReplica replica = replicaOf(machine("a", 5, 5, 1), drain("a", 9, 9));
    deleteDrain(replica, "a", 8);
    assertThat(lifecycles(replica)).containsEntry("a", Lifecycle.DRAINING);
    deleteDrain(replica, "a", 14);
    replica.recordPut(drain("a", 13, 13), START);
    assertThat(lifecycles(replica)).containsEntry("a", Lifecycle.LIVE);
  }

  @Example
  void unreadableRecordIsReportedAndTheLastValidOneStays() {
    MachineListReplica replica = replicaOf(machine("a", 5, 5, 1));
    replica.recordPut(unreadable(machine("a", 12, 5, 1), "no address"), START);
    assertThat(lifecycles(replica)).containsEntry("a", Lifecycle.LIVE);
    assertThat(replica.takeWarnings())
        .anyMatch(w -> w.contains("/c/machines/a") && w.contains("no address"));
    replica.recordPut(unreadable(drain("a", 13, 13), "not JSON"), START);
    assertThat(lifecycles(replica))
        .as("an unreadable drain record drains the machine")
        .containsEntry("a", Lifecycle.DRAINING);
  }

  @Example
  void restoredStoreIsReportedAndReplacesTheReplica() {
    MachineListReplica replica = replicaOf(machine("a", 8, 8, 1), machine("b", 9, 9, 1));
    loadSnapshot(replica, 4, List.of(machine("a", 4, 4, 1)));
    assertThat(replica.takeWarnings()).anyMatch(w -> w.contains("went back from revision 10 to 4"));
    assertThat(lifecycles(replica)).containsOnlyKeys("a");
    replica.recordPut(drain("a", 5, 5), START);
    assertThat(lifecycles(replica)).containsEntry("a", Lifecycle.DRAINING);
  }

  @Example
  void silenceMakesTheReplicaStaleAndProgressMakesItInSync() {
    MachineListReplica replica = replicaOf();
    assertThat(replica.checkSilence(Duration.ofMillis(1900))).isFalse();
    assertThat(replica.checkSilence(Duration.ofSeconds(2))).isTrue();
    assertThat(replica.syncState()).isEqualTo(SyncState.STALE);
    replica.progressConfirmed(SNAPSHOT_REVISION, Duration.ofMillis(2100));
    assertThat(replica.syncState()).isEqualTo(SyncState.IN_SYNC);
  }

  /**
   * Schedulers whose registrations expire may still be running: the count decreases, and with it
   * the shares of the others rise, only after a delay.
   */
  @Example
  void schedulerCountDecreasesOnlyAfterTheDelay() {
    SchedulerCount count = new SchedulerCount(1, Duration.ofSeconds(10));
    assertThat(count.updateRegistrations(5, START)).isEqualTo(5);
    assertThat(count.updateRegistrations(3, Duration.ofSeconds(1))).isEqualTo(5);
    assertThat(count.updateRegistrations(5, Duration.ofSeconds(3))).isEqualTo(5);
    assertThat(count.updateRegistrations(3, Duration.ofSeconds(4))).isEqualTo(5);
    assertThat(count.updateRegistrations(3, Duration.ofSeconds(23))).isEqualTo(5);
    count.connectionLost();
    assertThat(count.updateRegistrations(2, Duration.ofSeconds(25))).isEqualTo(5);
    assertThat(count.updateRegistrations(4, Duration.ofSeconds(30))).isEqualTo(5);
    assertThat(count.updateRegistrations(3, Duration.ofSeconds(45)))
        .as("the highest count during the delay")
        .isEqualTo(4);
  }

  /**
   * After any sequence of changes, duplicated and missed events, and snapshots, the replica has the
   * machines and drains of the store.
   */
  @Property(tries = 500, seed = "321")
  void replicaEndsEqualToTheStore(@ForAll long seed) {
    Random random = new Random(seed);
    MachineListReplica replica = new MachineListReplica(KEYS, SILENCE_TIMEOUT);
    RandomStore store = new RandomStore(random);
    boolean isWatching = false;
    for (int step = 0; step < 150; step++) {
      store.changeAtRandom();
      if (!isWatching || random.nextInt(25) == 0) {
        replica.connectionLost();
        loadSnapshot(replica, store.revision, List.copyOf(store.records.values()));
        store.skipToSnapshot();
        isWatching = true;
      }
      store.deliver(replica, random.nextInt(4));
      if (random.nextInt(4) == 0) {
        replica.takeUpdates();
      }
    }
    store.deliver(replica, Integer.MAX_VALUE);
    assertThat(lifecycles(replica)).isEqualTo(store.lifecycles());
  }

  /** A store in which machines and drains change at random, with a log of all changes. */
  private static final class RandomStore {
    private record Change(StoreRecord record, boolean isDeletion) {}

    private final Random random;
    private final Map<String, StoreRecord> records = new HashMap<>();
    private final List<Change> log = new ArrayList<>();
    private long revision = 1;
    private int deliveredChanges;

    RandomStore(Random random) {
      this.random = random;
    }

    void changeAtRandom() {
      String name = "m" + random.nextInt(5);
      if (random.nextInt(3) == 0) {
        return;
      }
      revision++;
      boolean isDrain = random.nextBoolean();
      StoreRecord before = records.get(isDrain ? KEYS.drain(name) : KEYS.machine(name));
      boolean isDeletion = before != null && random.nextInt(3) == 0;
      long createRevision = before == null ? revision : before.createRevision();
      StoreRecord record =
          isDrain
              ? drain(name, revision, createRevision)
              : machine(name, revision, createRevision, 1 + random.nextInt(2));
      if (isDeletion) {
        records.remove(record.key());
      } else {
        records.put(record.key(), record);
      }
      log.add(new Change(record, isDeletion));
    }

    /** Skips undelivered changes; up to 3 changes before the snapshot are delivered again. */
    void skipToSnapshot() {
      deliveredChanges = Math.max(0, log.size() - random.nextInt(4));
    }

    void deliver(MachineListReplica replica, int maxChanges) {
      for (int i = 0; i < maxChanges && deliveredChanges < log.size(); i++) {
        Change change = log.get(deliveredChanges);
        deliveredChanges++;
        if (change.isDeletion()) {
          replica.recordDeleted(change.record().key(), change.record().modRevision(), START);
        } else {
          replica.recordPut(change.record(), START);
        }
      }
    }

    Map<String, Lifecycle> lifecycles() {
      Map<String, Lifecycle> lifecycles = new TreeMap<>();
      for (StoreRecord record : records.values()) {
        if (record.kind() == RecordKind.MACHINE) {
          boolean isDraining = records.containsKey(KEYS.drain(record.name()));
          lifecycles.put(record.name(), isDraining ? Lifecycle.DRAINING : Lifecycle.LIVE);
        }
      }
      return lifecycles;
    }
  }
}
