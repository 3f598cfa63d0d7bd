package fordridge.emulator;

import com.google.protobuf.ByteString;
import fordridge.etcd.api.Compare;
import fordridge.etcd.api.Event;
import fordridge.etcd.api.KeyValue;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * A multi-version key-value store in memory that keeps all versions since the last compaction. It
 * is independent of clients and watches. Not thread-safe.
 */
final class MvccStore {
  /** Signals a request for a revision that is compacted or in the future. */
  static final class RevisionUnavailableException extends Exception {
    private static final long serialVersionUID = 1L;
    private final boolean isCompacted;

    RevisionUnavailableException(long revision, boolean isCompacted) {
      super("revision " + revision + (isCompacted ? " is compacted" : " is a future revision"));
      this.isCompacted = isCompacted;
    }

    boolean isCompacted() {
      return isCompacted;
    }
  }

  private static final Comparator<ByteString> KEY_ORDER =
      ByteString.unsignedLexicographicalComparator();

  /** The versions of each key by revision. An entry with version 0 marks a deletion. */
  private final NavigableMap<ByteString, NavigableMap<Long, KeyValue>> versionsByKey =
      new TreeMap<>(KEY_ORDER);

  private final NavigableMap<Long, List<Event>> history = new TreeMap<>();
  private final Map<Long, Set<ByteString>> keysByLease = new HashMap<>();
  private long revision = 1;
  private long compactedRevision;
  private List<Event> pendingEvents = new ArrayList<>();

  long revision() {
    return revision;
  }

  /** The revision up to which the history is compacted. */
  long compactedRevision() {
    return compactedRevision;
  }

  // Reading.

  /**
   * Returns the entries of a range, sorted by key.
   *
   * @param end the exclusive end of the range; empty for the single key, a zero byte for all keys
   *     from the first one on
   * @param atRevision the revision to read; 0 for the latest one
   */
  List<KeyValue> range(ByteString key, ByteString end, long atRevision)
      throws RevisionUnavailableException {
    if (atRevision > revision || (atRevision > 0 && atRevision < compactedRevision)) {
      throw new RevisionUnavailableException(atRevision, atRevision < compactedRevision);
    }
    long readRevision = atRevision == 0 ? revision : atRevision;
    List<KeyValue> found = new ArrayList<>();
    for (NavigableMap<Long, KeyValue> versions : versionsIn(key, end).values()) {
      Map.Entry<Long, KeyValue> version = versions.floorEntry(readRevision);
      if (version != null && isPresent(version.getValue())) {
        found.add(version.getValue());
      }
    }
    return found;
  }

  private NavigableMap<ByteString, NavigableMap<Long, KeyValue>> versionsIn(
      ByteString key, ByteString end) {
    if (end.isEmpty()) {
      return versionsByKey.subMap(key, true, key, true);
    }
    boolean isUnbounded = end.size() == 1 && end.byteAt(0) == 0;
    if (isUnbounded) {
      return versionsByKey.tailMap(key, true);
    }
    return KEY_ORDER.compare(key, end) < 0
        ? versionsByKey.subMap(key, true, end, false)
        : new TreeMap<>(KEY_ORDER);
  }

  private static boolean isPresent(KeyValue entry) {
    return entry.getVersion() > 0;
  }

  private Optional<KeyValue> latest(ByteString key) {
    return Optional.ofNullable(versionsByKey.get(key))
        .map(versions -> versions.lastEntry().getValue())
        .filter(MvccStore::isPresent);
  }

  /** Returns the events since a revision (inclusive), one list for each revision. */
  List<List<Event>> eventsSince(long firstRevision) throws RevisionUnavailableException {
    if (firstRevision <= compactedRevision) {
      throw new RevisionUnavailableException(firstRevision, true);
    }
    return new ArrayList<>(history.tailMap(firstRevision, true).values());
  }

  /** Returns whether the comparison of a transaction is satisfied. */
  boolean isSatisfied(Compare comparison) {
    int order = compare(comparison, latest(comparison.getKey()));
    return switch (comparison.getResult()) {
      case EQUAL -> order == 0;
      case GREATER -> order > 0;
      case LESS -> order < 0;
      default -> order != 0;
    };
  }

  /** Compares an entry; a missing key has zero for each number, and a value below all others. */
  private static int compare(Compare comparison, Optional<KeyValue> entry) {
    KeyValue present = entry.orElse(KeyValue.getDefaultInstance());
    return switch (comparison.getTarget()) {
      case VERSION -> Long.compare(present.getVersion(), comparison.getVersion());
      case CREATE -> Long.compare(present.getCreateRevision(), comparison.getCreateRevision());
      case MOD -> Long.compare(present.getModRevision(), comparison.getModRevision());
      case LEASE -> Long.compare(present.getLease(), comparison.getLease());
      default ->
          entry.isEmpty() ? -1 : KEY_ORDER.compare(present.getValue(), comparison.getValue());
    };
  }

  // Writing.

  /** Begins a change; all writes until {@link #commit} get the same revision. */
  void begin() {
    pendingEvents = new ArrayList<>();
  }

  /** Commits the change and returns its events; none if nothing was written. */
  List<Event> commit() {
    List<Event> events = pendingEvents;
    pendingEvents = new ArrayList<>();
    if (!events.isEmpty()) {
      revision++;
      history.put(revision, events);
    }
    return events;
  }

  /** Puts a value and returns the previous entry; null if there was none. */
  KeyValue put(ByteString key, ByteString value, long lease) {
    KeyValue old = latest(key).orElse(null);
    KeyValue entry =
        KeyValue.newBuilder()
            .setKey(key)
            .setValue(value)
            .setLease(lease)
            .setModRevision(revision + 1)
            .setCreateRevision(old == null ? revision + 1 : old.getCreateRevision())
            .setVersion(old == null ? 1 : old.getVersion() + 1)
            .build();
    write(Event.EventType.PUT, entry, old);
    if (lease != 0) {
      keysByLease.computeIfAbsent(lease, id -> new TreeSet<>(KEY_ORDER)).add(key);
    }
    return old;
  }

  /** Deletes a range and returns the deleted entries. */
  List<KeyValue> delete(ByteString key, ByteString end) {
    List<KeyValue> deleted = new ArrayList<>();
    for (ByteString deletedKey : new ArrayList<>(versionsIn(key, end).keySet())) {
      latest(deletedKey)
          .ifPresent(
              old -> {
                deleted.add(old);
                KeyValue entry =
                    KeyValue.newBuilder().setKey(deletedKey).setModRevision(revision + 1).build();
                write(Event.EventType.DELETE, entry, old);
              });
    }
    return deleted;
  }

  private void write(Event.EventType type, KeyValue entry, KeyValue old) {
    versionsByKey.computeIfAbsent(entry.getKey(), key -> new TreeMap<>()).put(revision + 1, entry);
    Event.Builder event = Event.newBuilder().setType(type).setKv(entry);
    if (old != null) {
      event.setPrevKv(old);
      Set<ByteString> keysWithOldLease = keysByLease.get(old.getLease());
      if (keysWithOldLease != null) {
        keysWithOldLease.remove(entry.getKey());
      }
    }
    pendingEvents.add(event.build());
  }

  /** Returns the keys attached to a lease. */
  Set<ByteString> keysWithLease(long lease) {
    return keysByLease.getOrDefault(lease, Set.of());
  }

  void removeLease(long lease) {
    keysByLease.remove(lease);
  }

  /** Discards the versions that were replaced or deleted up to a revision, and the history. */
  void compact(long atRevision) throws RevisionUnavailableException {
    if (atRevision <= compactedRevision || atRevision > revision) {
      throw new RevisionUnavailableException(atRevision, atRevision <= compactedRevision);
    }
    compactedRevision = atRevision;
    history.headMap(atRevision, true).clear();
    versionsByKey
        .values()
        .removeIf(
            versions -> {
              removeReplacedVersions(versions, atRevision);
              return versions.isEmpty();
            });
  }

  private static void removeReplacedVersions(
      NavigableMap<Long, KeyValue> versions, long atRevision) {
    Long last = versions.floorKey(atRevision);
    if (last == null) {
      return;
    }
    versions.headMap(last, false).clear();
    if (!isPresent(versions.get(last))) {
      versions.remove(last);
    }
  }

  /** Emulates a restore from a backup: the entries stay, at the given revision, without history. */
  void restore(long atRevision) {
    List<KeyValue> present = new ArrayList<>();
    for (NavigableMap<Long, KeyValue> versions : versionsByKey.values()) {
      KeyValue latest = versions.lastEntry().getValue();
      if (isPresent(latest)) {
        present.add(latest);
      }
    }
    versionsByKey.clear();
    history.clear();
    revision = atRevision;
    compactedRevision = atRevision;
    for (KeyValue entry : present) {
      KeyValue restored =
          entry.toBuilder().setModRevision(atRevision).setCreateRevision(atRevision).build();
      versionsByKey
          .computeIfAbsent(entry.getKey(), key -> new TreeMap<>())
          .put(atRevision, restored);
    }
  }
}
