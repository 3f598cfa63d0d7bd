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
 * A local replica of the store's records, built from snapshots and watch events that may be
 * repeated, late, partial or missing.
 *
 * <p>The last revision of every key is kept, also of deleted ones, and an event at or below it is
 * ignored: an old event cannot undo a newer one, whatever the order. A snapshot is compared with
 * the replica: keys that it does not contain were deleted meanwhile, and a key that was created
 * anew since belongs to another machine. A machine that drains does so until the store says
 * otherwise.
 *
 * <p>Free of I/O, threads and clocks; confined to one thread; times are durations since the start.
 *
 * <table>
 *   <caption>Transitions of {@link SyncState}</caption>
 *   <tr><th>from</th><th>input</th><th>to</th></tr>
 *   <tr><td>any</td><td>{@link #snapshotStarted}</td><td>LOADING_SNAPSHOT</td></tr>
 *   <tr><td>LOADING_SNAPSHOT</td><td>{@link #snapshotCompleted}</td><td>IN_SYNC</td></tr>
 *   <tr><td>LOADING_SNAPSHOT, IN_SYNC</td><td>{@link #connectionLost}</td><td>STALE</td></tr>
 *   <tr><td>IN_SYNC</td><td>{@link #checkSilence}, too long after the last input</td>
 *   <td>STALE</td></tr>
 *   <tr><td>STALE</td><td>{@link #progressConfirmed}</td><td>IN_SYNC</td></tr>
 * </table>
 */
public final class MachineListReplica {
  /** How far the replica can be relied on. */
  public enum SyncState {
    /** Nothing is known yet. */
    EMPTY,
    /** A snapshot is being loaded. */
    LOADING_SNAPSHOT,
    /** The watch delivers all changes. */
    IN_SYNC,
    /** Changes may be missing. */
    STALE
  }

  private static final String UNREADABLE_DRAIN = "unreadable";

  /** What is known of one key. */
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

  /** The same, as of the machine's last published update. */
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
  private Duration lastHeardAt = Duration.ZERO;
  private boolean haveSharedSettingsChanged;

  /**
   * An empty replica.
   *
   * @param keys the layout of the store's keys
   * @param silenceTimeout after this long without input the replica counts as stale
   */
  public MachineListReplica(StoreKeys keys, Duration silenceTimeout) {
    this.keys = keys;
    this.silenceTimeout = silenceTimeout;
  }

  /**
   * A snapshot at one revision starts.
   *
   * <p>A cluster of another id, or a revision below the known one, is a store restored from an
   * older state: it is reported, and the replica follows the new one, whatever its revisions.
   */
  public void snapshotStarted(long newClusterId, long atRevision, Duration now) {
    boolean isOtherCluster = newClusterId != clusterId;
    if (clusterId != 0 && (isOtherCluster || atRevision < revision)) {
      warnings.add(
          isOtherCluster ? otherClusterWarning(newClusterId) : restoredStoreWarning(atRevision));
      forgetRevisions();
    }
    clusterId = newClusterId;
    snapshotRevision = atRevision;
    snapshotKeys = new HashSet<>();
    lastHeardAt = now;
    syncState = SyncState.LOADING_SNAPSHOT;
  }

  private String otherClusterWarning(long newClusterId) {
    return "the store is another cluster than before ("
        + Long.toHexString(newClusterId)
        + " in place of "
        + Long.toHexString(clusterId)
        + "): all is taken anew";
  }

  private String restoredStoreWarning(long atRevision) {
    return "the store went back from revision "
        + revision
        + " to "
        + atRevision
        + ", as after a restore: all is taken anew";
  }

  /** Revisions of another history do not tell whether a record is newer or of the same machine. */
  private void forgetRevisions() {
    for (TrackedKey tracked : trackedKeys.values()) {
      tracked.modRevision = 0;
      tracked.createRevision = 0;
    }
  }

  /** A page of the snapshot, read at the snapshot's revision. */
  public void snapshotPageReceived(List<StoreRecord> records, Duration now) {
    lastHeardAt = now;
    for (StoreRecord record : records) {
      snapshotKeys.add(record.key());
      put(record);
    }
  }

  /** The snapshot is complete: known keys that it does not contain were deleted. */
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
    lastHeardAt = now;
    syncState = SyncState.IN_SYNC;
  }

  /** The watch delivered a new or changed record. */
  public void recordPut(StoreRecord record, Duration now) {
    lastHeardAt = now;
    put(record);
    revision = Math.max(revision, record.modRevision());
  }

  /** The watch delivered the deletion of a key. */
  public void recordDeleted(String key, long atRevision, Duration now) {
    lastHeardAt = now;
    delete(key, atRevision);
    revision = Math.max(revision, atRevision);
  }

  /** The watch is alive and has delivered all changes up to this revision. */
  public void progressConfirmed(long upToRevision, Duration now) {
    lastHeardAt = now;
    revision = Math.max(revision, upToRevision);
    if (syncState == SyncState.STALE) {
      syncState = SyncState.IN_SYNC;
    }
  }

  /** The watch broke or was rejected: changes may be missing from here on. */
  public void connectionLost() {
    if (syncState == SyncState.IN_SYNC || syncState == SyncState.LOADING_SNAPSHOT) {
      syncState = SyncState.STALE;
      snapshotKeys = null;
    }
  }

  /** Whether the replica has just become stale because nothing came for too long. */
  public boolean checkSilence(Duration now) {
    boolean isSilent = now.minus(lastHeardAt).compareTo(silenceTimeout) >= 0;
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

  /** The last good record stays; a drain that cannot be read is a drain. */
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
        || atRevision == tracked.modRevision && !tracked.isPresent) {
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

  /** Machines that changed since the last call; record and drain of a machine count together. */
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
    if (before.lifecycle() == Lifecycle.GONE
        || before.machine().incarnation() != machine.incarnation()) {
      return true;
    }
    Long createRevision = machineCreateRevisions.get(name);
    return !Objects.equals(publishedCreateRevisions.put(name, createRevision), createRevision);
  }

  /** The last update of every machine that was ever known. */
  public List<MachineUpdate> publishedUpdates() {
    return List.copyOf(published.values());
  }

  /** The shared settings by name. */
  public Map<String, String> sharedSettings() {
    return Map.copyOf(sharedSettings);
  }

  /** Whether a shared setting changed since the last call. */
  public boolean takeSharedSettingsChanged() {
    boolean haveChanged = haveSharedSettingsChanged;
    haveSharedSettingsChanged = false;
    return haveChanged;
  }

  /** Schedulers that are registered. */
  public int registeredSchedulers() {
    return schedulers.size();
  }

  /** Warnings for operators since the last call. */
  public List<String> takeWarnings() {
    List<String> taken = List.copyOf(warnings);
    warnings.clear();
    return taken;
  }

  public SyncState syncState() {
    return syncState;
  }

  /** All changes up to this revision are known; a watch resumes at the next. */
  public long revision() {
    return revision;
  }

  public long clusterId() {
    return clusterId;
  }

  /** When the last input came. */
  public Duration lastHeardAt() {
    return lastHeardAt;
  }
}
