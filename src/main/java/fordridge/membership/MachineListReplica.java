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
 * What the store of machines is believed to hold, from snapshots and events that may come twice,
 * late, in part or not at all. Free of I/O, threads and clocks; times are spans since the start.
 *
 * <p>Each key's last revision is kept, also of deleted ones, and a lower or equal one is never
 * applied; so an old word cannot undo a newer one, whatever the order. A snapshot is compared with
 * what is believed: what it does not name was deleted meanwhile, and what was made anew since is
 * another machine under an old name. What was told to drain stays so until the store says
 * otherwise.
 */
public final class MachineListReplica {
  /** A machine's record as its owner wrote it. */
  public record Machine(
      String address,
      String kind,
      String zone,
      int cell,
      double cores,
      double memory,
      double freeCores,
      double freeMemory,
      long incarnation,
      long startedAtMillis) {}

  /** Why a machine takes nothing new. */
  public record Drain(String reason) {}

  /** One key of the store, read as far as it can be. Exactly one of the values, or a complaint. */
  public record StoreRecord(
      String key,
      Kind kind,
      String name,
      long modRevision,
      long createRevision,
      Machine machine,
      Drain drain,
      String text,
      String complaint) {
    public enum Kind {
      MACHINE,
      DRAIN,
      TERM,
      PLACER,
      OTHER
    }
  }

  /** A change of what is believed, for the placer. */
  public record MachineUpdate(String name, Lifecycle lifecycle, Machine machine, boolean anew) {}

  /** How far the belief can be relied on. */
  public enum SyncState {
    NONE,
    SNAPSHOT_COMING,
    FOLLOWING,
    OLD
  }

  private static final class TrackedMachine {
    long modRevision;
    long createRevision;
    Machine machine;
    Drain drain;
    String text;
    boolean there;
  }

  private final Duration silence;
  private final Map<String, TrackedMachine> keys = new HashMap<>();

  /** Names of machines to the revision at which the record of that name was last made. */
  private final Map<String, Long> made = new HashMap<>();

  private final Map<String, MachineUpdate> told = new LinkedHashMap<>();
  private final Set<String> touched = new LinkedHashSet<>();
  private final TreeMap<String, String> terms = new TreeMap<>();
  private final Set<String> placers = new HashSet<>();
  private final List<String> complaints = new ArrayList<>();
  private SyncState footing = SyncState.NONE;
  private long clusterId;
  private long revision;
  private long snapshotRevision;
  private Set<String> snapshotNamed;
  private Duration heardAt = Duration.ZERO;
  private boolean termsChanged;
  private boolean placersChanged;

  public MachineListReplica(Duration silence) {
    this.silence = silence;
  }

  public SyncState footing() {
    return footing;
  }

  /** All up to this revision is known; a watch resumes at the next. */
  public long revision() {
    return revision;
  }

  public long clusterId() {
    return clusterId;
  }

  // ---- Snapshots
  // -------------------------------------------------------------------------------------

  /**
   * A snapshot at one revision begins. A cluster of another id, or a revision below what was known,
   * is a store restored from an older state: it is said, and the new one holds from here on, lower
   * revisions and all.
   */
  public void snapshotBegins(long cluster, long atRevision, Duration now) {
    if (clusterId != 0 && (cluster != clusterId || atRevision < revision)) {
      complaints.add(
          cluster != clusterId
              ? "the store is another cluster than before ("
                  + Long.toHexString(cluster)
                  + " in place of "
                  + Long.toHexString(clusterId)
                  + "): all is taken anew"
              : "the store went back from revision "
                  + revision
                  + " to "
                  + atRevision
                  + ", as after a restore: all is taken anew");
      keys.values()
          .forEach(
              k -> {
                k.modRevision = 0;
                // Whether it is the same machine cannot be told by revisions of another history.
                k.createRevision = 0;
              });
    }
    clusterId = cluster;
    snapshotRevision = atRevision;
    snapshotNamed = new HashSet<>();
    heardAt = now;
    footing = SyncState.SNAPSHOT_COMING;
  }

  /** A page; pages of another revision than the snapshot's are the caller's fault. */
  public void snapshotPage(List<StoreRecord> items, Duration now) {
    heardAt = now;
    for (StoreRecord i : items) {
      snapshotNamed.add(i.key());
      put(i);
    }
  }

  /** What it did not name and was last heard of before it is gone. */
  public void snapshotEnds(Duration now) {
    for (Map.Entry<String, TrackedMachine> e : keys.entrySet()) {
      TrackedMachine k = e.getValue();
      if (k.there && !snapshotNamed.contains(e.getKey()) && k.modRevision <= snapshotRevision) {
        delete(e.getKey(), snapshotRevision);
      }
    }
    snapshotNamed = null;
    revision = snapshotRevision;
    heardAt = now;
    footing = SyncState.FOLLOWING;
  }

  // ---- Events
  // ----------------------------------------------------------------------------------------

  /** One event of the watch; {@code deleted} names no value. */
  public void event(StoreRecord item, boolean deleted, Duration now) {
    heardAt = now;
    if (deleted) {
      delete(item.key(), item.modRevision());
    } else {
      put(item);
    }
    revision = Math.max(revision, item.modRevision());
  }

  /** The stream proved that it is alive and that all up to this revision was sent. */
  public void progress(long upTo, Duration now) {
    heardAt = now;
    revision = Math.max(revision, upTo);
    if (footing == SyncState.OLD) {
      footing = SyncState.FOLLOWING;
    }
  }

  /** The stream broke or was refused: what is believed may be old from here on. */
  public void cutOff() {
    if (footing == SyncState.FOLLOWING || footing == SyncState.SNAPSHOT_COMING) {
      footing = SyncState.OLD;
      snapshotNamed = null;
    }
  }

  /** Whether nothing was heard for longer than the bound; the belief then counts as old. */
  public boolean silent(Duration now) {
    if (footing == SyncState.FOLLOWING && now.minus(heardAt).compareTo(silence) >= 0) {
      footing = SyncState.OLD;
      return true;
    }
    return false;
  }

  public Duration heardAt() {
    return heardAt;
  }

  // ---- Keys
  // ------------------------------------------------------------------------------------------

  private void put(StoreRecord i) {
    TrackedMachine k = keys.computeIfAbsent(i.key(), x -> new TrackedMachine());
    if (i.modRevision() <= k.modRevision) {
      return;
    }
    k.modRevision = i.modRevision();
    if (i.complaint() != null) {
      // The last good record stands; that the key is there is known all the same.
      complaints.add(i.key() + " at revision " + i.modRevision() + ": " + i.complaint());
      k.there = k.there || k.machine != null || k.drain != null;
      if (i.kind() == StoreRecord.Kind.DRAIN && !k.there) {
        // A drain that cannot be read is a drain: the careful reading.
        k.there = true;
        k.drain = new Drain("unreadable");
        touched.add(i.name());
      }
      return;
    }
    boolean sameLife = k.there && k.createRevision == i.createRevision();
    k.there = true;
    switch (i.kind()) {
      case MACHINE -> {
        if (!sameLife) {
          made.put(i.name(), i.createRevision());
        }
        k.machine = i.machine();
        touched.add(i.name());
      }
      case DRAIN -> {
        k.drain = i.drain();
        touched.add(i.name());
      }
      case TERM -> {
        termsChanged |= !i.text().equals(terms.put(i.name(), i.text()));
        k.text = i.text();
      }
      case PLACER -> placersChanged |= placers.add(i.name());
      default -> k.text = i.text();
    }
    k.createRevision = i.createRevision();
  }

  private void delete(String key, long atRevision) {
    TrackedMachine k = keys.computeIfAbsent(key, x -> new TrackedMachine());
    if (atRevision < k.modRevision || atRevision == k.modRevision && !k.there) {
      return;
    }
    k.modRevision = atRevision;
    k.there = false;
    String name = key.substring(key.lastIndexOf('/') + 1);
    if (k.machine != null || k.drain != null) {
      touched.add(name);
    }
    k.machine = null;
    k.drain = null;
    k.text = null;
    if (key.contains(StoreKeys.TERMS)) {
      termsChanged |= terms.remove(name) != null;
    } else if (key.contains(StoreKeys.PLACERS)) {
      placersChanged |= placers.remove(name);
    }
  }

  // ---- What follows
  // ----------------------------------------------------------------------------------

  /** Lines that changed since they were last taken; a machine's drain and record count together. */
  public List<MachineUpdate> takeChanges(StoreKeys at) {
    List<MachineUpdate> some = new ArrayList<>();
    for (String name : touched) {
      MachineUpdate before = told.get(name);
      MachineUpdate now = line(name, at, before);
      if (now != null && !now.equals(before)) {
        some.add(now);
        told.put(name, new MachineUpdate(now.name, now.lifecycle, now.machine, false));
      }
    }
    touched.clear();
    return some;
  }

  private MachineUpdate line(String name, StoreKeys at, MachineUpdate before) {
    TrackedMachine m = keys.get(at.machine(name));
    TrackedMachine d = keys.get(at.drain(name));
    if (m == null || !m.there || m.machine == null) {
      return before == null ? null : new MachineUpdate(name, Lifecycle.GONE, before.machine, false);
    }
    boolean drained = d != null && d.there;
    boolean anew =
        before != null
            && (before.lifecycle == Lifecycle.GONE
                || before.machine == null
                || before.machine.incarnation() != m.machine.incarnation()
                || !Objects.equals(madeAt.put(name, made.get(name)), made.get(name)));
    madeAt.putIfAbsent(name, made.get(name));
    return new MachineUpdate(name, drained ? Lifecycle.DRAINING : Lifecycle.LIVE, m.machine, anew);
  }

  private final Map<String, Long> madeAt = new HashMap<>();

  /** Everything that is believed, as a whole list. */
  public List<MachineUpdate> all() {
    return List.copyOf(told.values());
  }

  public Map<String, String> terms() {
    return terms;
  }

  public boolean takeTermsChanged() {
    boolean was = termsChanged;
    termsChanged = false;
    return was;
  }

  public int placers() {
    return placers.size();
  }

  public boolean takePlacersChanged() {
    boolean was = placersChanged;
    placersChanged = false;
    return was;
  }

  public List<String> takeComplaints() {
    List<String> some = List.copyOf(complaints);
    complaints.clear();
    return some;
  }

  /** Keys that are remembered, the deleted among them. */
  public int remembered() {
    return keys.size();
  }

  /** Lets go of keys deleted at or before a revision that no late event can reach any more. */
  public void forget(long upTo) {
    keys.values().removeIf(k -> !k.there && k.modRevision <= upTo);
  }
}
