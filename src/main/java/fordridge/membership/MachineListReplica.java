package fordridge.membership;

import fordridge.model.Machine.Lifecycle;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeMap;

/**
 * A local replica of the records in etcd, built from snapshots and watch events that may be
 * duplicated, late, partial or missing.
 *
 * <p>The latest revision of every key is kept, also of deleted keys, and events at or below it are
 * ignored, so that an old event cannot undo a newer one in whatever order they arrive. When a
 * snapshot completes, known keys that it does not contain are treated as deleted. A key with a new
 * create revision belongs to another machine. A machine stays draining until its drain record is
 * deleted in the store.
 *
 * <p>Performs no I/O, starts no threads and reads no clock; confined to one thread. Times are
 * durations since a fixed origin that the caller chooses.
 *
 * <table>
 *   <caption>Transitions of {@link SyncState}</caption>
 *   <tr><th>from</th><th>input</th><th>to</th></tr>
 *   <tr><td>any</td><td>{@link #snapshotStarted}</td><td>LOADING_SNAPSHOT</td></tr>
 *   <tr><td>LOADING_SNAPSHOT</td><td>{@link #snapshotCompleted}</td><td>IN_SYNC</td></tr>
 *   <tr><td>LOADING_SNAPSHOT, IN_SYNC</td><td>{@link #connectionLost}</td><td>STALE</td></tr>
 *   <tr><td>IN_SYNC</td><td>{@link #checkSilence}, no input within the timeout</td>
 *   <td>STALE</td></tr>
 *   <tr><td>STALE</td><td>{@link #progressConfirmed}</td><td>IN_SYNC</td></tr>
 * </table>
 */
public final class MachineListReplica {
  /** How the replica relates to the store. */
  public enum SyncState {
    /** No snapshot has started yet. */
    EMPTY,
    /** A snapshot is being loaded. */
    LOADING_SNAPSHOT,
    /** The replica has all changes that the watch has delivered. */
    IN_SYNC,
    /** The watch is broken or silent; changes may be missing. */
    STALE
  }

  private static final String UNREADABLE_DRAIN = "unreadable";

  /** The known state of one key. */
  private static final class TrackedKey {
    long modRevision;
    long createRevision;
    boolean isPresent;
    MachineRecord machine;
    StoreRecord.Drain drain;
  }

  private final StoreKeys keys;
  private final Duration silenceTimeout;
  private final Map<String, TrackedKey> trackedKeys = new HashMap<>();

  /** The create revision of each machine's record, by the machine's name. */
  private final Map<String, Long> machineCreateRevisions = new HashMap<>();

  /** The same as of each machine's last published update. */
  private final Map<String, Long> publishedCreateRevisions = new HashMap<>();

  private final Map<String, MachineUpdate> published = new LinkedHashMap<>();
  private final Set<String> changedMachines = new LinkedHashSet<>();
  private final Map<String, String> sharedSettings = new TreeMap<>();
  private final Set<String> schedulers = new HashSet<>();
  private final List<String> warnings = new ArrayList<>();
  private SyncState syncState = SyncState.EMPTY;
  private long clusterId;
  private long revision;
  private long snapshotRevision;
  private Set<String> snapshotKeys;
  private Duration lastInputAt = Duration.ZERO;
  private boolean haveSharedSettingsChanged;

  /**
   * Creates an empty replica.
   *
   * @param keys the layout of the store's keys
   * @param silenceTimeout the replica is stale if it gets no input for this long
   */
  public MachineListReplica(StoreKeys keys, Duration silenceTimeout) {
    this.keys = keys;
    this.silenceTimeout = silenceTimeout;
  }

  /**
   * Starts loading a snapshot at one revision.
   *
   * <p>Another cluster id, or a revision below the known one, means that the store was replaced or
   * restored from a backup. A warning is reported, and the records of the snapshot replace those of
   * the replica regardless of their revisions.
   */
  public void snapshotStarted(long newClusterId, long atRevision, Duration now) {
    boolean isOtherCluster = newClusterId != clusterId;
    if (clusterId != 0 && (isOtherCluster || atRevision < revision)) {
      warnings.add(
          isOtherCluster ? otherClusterWarning(newClusterId) : restoredStoreWarning(atRevision));
      resetRevisions();
    }
    clusterId = newClusterId;
    snapshotRevision = atRevision;
    snapshotKeys = new HashSet<>();
    lastInputAt = now;
    syncState = SyncState.LOADING_SNAPSHOT;
  }

  private String otherClusterWarning(long newClusterId) {
    return "the store is another cluster than before (cluster id "
        + Long.toHexString(newClusterId)
        + ", previously "
        + Long.toHexString(clusterId)
        + "); replacing all records with a new snapshot";
  }

  private String restoredStoreWarning(long atRevision) {
    return "the store went back from revision "
        + revision
        + " to "
        + atRevision
        + ", as after a restore from a backup; replacing all records with a new snapshot";
  }

  /**
   * Resets all known revisions: those of another history cannot be compared to tell which record is
   * newer, or whether a key still belongs to the same machine.
   */
  private void resetRevisions() {
    for (TrackedKey tracked : trackedKeys.values()) {
      tracked.modRevision = 0;
      tracked.createRevision = 0;
    }
  }

  /** Applies one page of the snapshot, read at the snapshot's revision. */
  public void snapshotPageReceived(List<StoreRecord> records, Duration now) {
    lastInputAt = now;
    for (StoreRecord record : records) {
      snapshotKeys.add(record.key());
      put(record);
    }
  }

  /** Completes the snapshot: known keys that it does not contain are deleted. */
  public void snapshotCompleted(Duration now) {
    for (Map.Entry<String, TrackedKey> entry : trackedKeys.entrySet()) {
      TrackedKey tracked = entry.getValue();
      if (tracked.isPresent
          && !snapshotKeys.contains(entry.getKey())
          && tracked.modRevision <= snapshotRevision) {
        delete(entry.getKey(), snapshotRevision);
      }
    }
    snapshotKeys = null;
    revision = snapshotRevision;
    lastInputAt = now;
    syncState = SyncState.IN_SYNC;
  }

  /** Applies a new or changed record that the watch delivered. */
  public void recordPut(StoreRecord record, Duration now) {
    lastInputAt = now;
    put(record);
    revision = Math.max(revision, record.modRevision());
  }

  /** Applies the deletion of a key that the watch delivered. */
  public void recordDeleted(String key, long atRevision, Duration now) {
    lastInputAt = now;
    delete(key, atRevision);
    revision = Math.max(revision, atRevision);
  }

  /** Handles a progress notification: all changes up to this revision have been delivered. */
  public void progressConfirmed(long upToRevision, Duration now) {
    lastInputAt = now;
    revision = Math.max(revision, upToRevision);
    if (syncState == SyncState.STALE) {
      syncState = SyncState.IN_SYNC;
    }
  }

  /** Handles the loss of the watch: changes may be missing from now on. */
  public void connectionLost() {
    if (syncState == SyncState.IN_SYNC || syncState == SyncState.LOADING_SNAPSHOT) {
      syncState = SyncState.STALE;
      snapshotKeys = null;
    }
  }

  /** Makes the replica stale after too long without input; returns whether it just became so. */
  public boolean checkSilence(Duration now) {
    boolean isSilent = now.minus(lastInputAt).compareTo(silenceTimeout) >= 0;
    if (syncState == SyncState.IN_SYNC && isSilent) {
      syncState = SyncState.STALE;
      return true;
    }
    return false;
  }

  private void put(StoreRecord record) {
    TrackedKey tracked = trackedKeys.computeIfAbsent(record.key(), key -> new TrackedKey());
    if (record.modRevision() <= tracked.modRevision) {
      return;
    }
    tracked.modRevision = record.modRevision();
    if (record.value() instanceof StoreRecord.Unreadable unreadable) {
      putUnreadable(record, tracked, unreadable.reason());
      return;
    }
    boolean isSameKey = tracked.isPresent && tracked.createRevision == record.createRevision();
    tracked.isPresent = true;
    tracked.createRevision = record.createRevision();
    if (record.value() instanceof MachineRecord machine) {
      putMachine(record, tracked, machine, isSameKey);
    } else if (record.value() instanceof StoreRecord.Drain drain) {
      tracked.drain = drain;
      changedMachines.add(record.name());
    } else if (record.value() instanceof StoreRecord.Text text) {
      putText(record, text.text());
    }
  }

  /** Keeps the last valid record; an unreadable drain record drains the machine nevertheless. */
  private void putUnreadable(StoreRecord record, TrackedKey tracked, String reason) {
    warnings.add(record.key() + " at revision " + record.modRevision() + ": " + reason);
    if (record.kind() == RecordKind.DRAIN && !tracked.isPresent) {
      tracked.isPresent = true;
      tracked.drain = new StoreRecord.Drain(UNREADABLE_DRAIN);
      changedMachines.add(record.name());
    }
  }

  private void putMachine(
      StoreRecord record, TrackedKey tracked, MachineRecord machine, boolean isSameKey) {
    if (!isSameKey) {
      machineCreateRevisions.put(record.name(), record.createRevision());
    }
    tracked.machine = machine;
    changedMachines.add(record.name());
  }

  private void putText(StoreRecord record, String text) {
    if (record.kind() == RecordKind.SHARED_SETTING) {
      haveSharedSettingsChanged |= !text.equals(sharedSettings.put(record.name(), text));
    } else if (record.kind() == RecordKind.SCHEDULER) {
      schedulers.add(record.name());
    }
  }

  private void delete(String key, long atRevision) {
    TrackedKey tracked = trackedKeys.computeIfAbsent(key, newKey -> new TrackedKey());
    if (atRevision < tracked.modRevision
        || (atRevision == tracked.modRevision && !tracked.isPresent)) {
      return;
    }
    tracked.modRevision = atRevision;
    tracked.isPresent = false;
    String name = keys.name(key);
    if (tracked.machine != null || tracked.drain != null) {
      changedMachines.add(name);
    }
    tracked.machine = null;
    tracked.drain = null;
    switch (keys.kind(key)) {
      case SHARED_SETTING -> haveSharedSettingsChanged |= sharedSettings.remove(name) != null;
      case SCHEDULER -> schedulers.remove(name);
      default -> {}
    }
  }

  /**
   * Returns the machines that changed since the last call, with at most one update for each machine
   * even if both its record and its drain changed.
   */
  public List<MachineUpdate> takeUpdates() {
    List<MachineUpdate> updates = new ArrayList<>();
    for (String name : changedMachines) {
      MachineUpdate before = published.get(name);
      MachineUpdate update = update(name, before);
      if (update != null && !update.equals(before)) {
        updates.add(update);
        published.put(name, new MachineUpdate(name, update.lifecycle(), update.machine(), false));
      }
    }
    changedMachines.clear();
    return updates;
  }

  private MachineUpdate update(String name, MachineUpdate before) {
    TrackedKey machine = trackedKeys.get(keys.machine(name));
    if (machine == null || !machine.isPresent || machine.machine == null) {
      return before == null
          ? null
          : new MachineUpdate(name, Lifecycle.GONE, before.machine(), false);
    }
    TrackedKey drain = trackedKeys.get(keys.drain(name));
    boolean isDraining = drain != null && drain.isPresent;
    boolean isNewMachine = before != null && isNewMachine(name, before, machine.machine);
    publishedCreateRevisions.putIfAbsent(name, machineCreateRevisions.get(name));
    Lifecycle lifecycle = isDraining ? Lifecycle.DRAINING : Lifecycle.LIVE;
    return new MachineUpdate(name, lifecycle, machine.machine, isNewMachine);
  }

  private boolean isNewMachine(String name, MachineUpdate before, MachineRecord machine) {
    Long createRevision = machineCreateRevisions.get(name);
    boolean isNewKey =
        !Objects.equals(publishedCreateRevisions.put(name, createRevision), createRevision);
    return isNewKey
        || before.lifecycle() == Lifecycle.GONE
        || before.machine().incarnation() != machine.incarnation();
  }

  /** The last published update of every machine, including machines that are gone. */
  public List<MachineUpdate> publishedUpdates() {
    return List.copyOf(published.values());
  }

  /** The shared settings by name. */
  public Map<String, String> sharedSettings() {
    return Map.copyOf(sharedSettings);
  }

  /** Returns whether a shared setting changed since the last call. */
  public boolean takeSharedSettingsChanged() {
    boolean haveChanged = haveSharedSettingsChanged;
    haveSharedSettingsChanged = false;
    return haveChanged;
  }

  /** The number of registered schedulers. */
  public int registeredSchedulers() {
    return schedulers.size();
  }

  /** Returns the warnings for operators that were added since the last call. */
  public List<String> takeWarnings() {
    List<String> taken = List.copyOf(warnings);
    warnings.clear();
    return taken;
  }

  /** How the replica relates to the store. */
  public SyncState syncState() {
    return syncState;
  }

  /** The revision up to which all changes are known; a watch resumes at the next one. */
  public long revision() {
    return revision;
  }

  /** The id of the etcd cluster that the records come from; 0 before the first snapshot. */
  public long clusterId() {
    return clusterId;
  }

  /** The time of the last input. */
  public Duration lastInputAt() {
    return lastInputAt;
  }
}
