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
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Keys with all their revisions since the last compaction, in memory; what the stand-in for etcd
 * answers from.
 */
final class MvccStore {
  /** A revision that is no longer, or not yet, there. */
  static final class RevisionUnavailableException extends Exception {
    private static final long serialVersionUID = 1L;
    final boolean compacted;

    RevisionUnavailableException(boolean compacted) {
      this.compacted = compacted;
    }
  }

  private static final Comparator<ByteString> ORDER =
      ByteString.unsignedLexicographicalComparator();

  private final NavigableMap<ByteString, NavigableMap<Long, KeyValue>> keys = new TreeMap<>(ORDER);
  private final NavigableMap<Long, List<Event>> history = new TreeMap<>();
  private final Map<Long, Set<ByteString>> leased = new HashMap<>();
  private long revision = 1;
  private long compacted;
  private List<Event> batch;

  long revision() {
    return revision;
  }

  long compacted() {
    return compacted;
  }

  // ---- Reading
  // ---------------------------------------------------------------------------------------

  private NavigableMap<ByteString, NavigableMap<Long, KeyValue>> within(
      ByteString key, ByteString end) {
    if (end.isEmpty()) {
      return keys.subMap(key, true, key, true);
    }
    if (end.size() == 1 && end.byteAt(0) == 0) {
      return keys.tailMap(key, true);
    }
    return ORDER.compare(key, end) < 0 ? keys.subMap(key, true, end, false) : new TreeMap<>(ORDER);
  }

  /** The range as it stood at a revision, in order of keys; 0 for now. */
  List<KeyValue> range(ByteString key, ByteString end, long at)
      throws RevisionUnavailableException {
    if (at > revision || at > 0 && at < compacted) {
      throw new RevisionUnavailableException(at < compacted);
    }
    long when = at == 0 ? revision : at;
    List<KeyValue> found = new ArrayList<>();
    within(key, end)
        .values()
        .forEach(
            versions -> {
              Map.Entry<Long, KeyValue> e = versions.floorEntry(when);
              if (e != null && e.getValue().getVersion() > 0) {
                found.add(e.getValue());
              }
            });
    return found;
  }

  private KeyValue last(ByteString key) {
    NavigableMap<Long, KeyValue> versions = keys.get(key);
    KeyValue kv = versions == null ? null : versions.lastEntry().getValue();
    return kv == null || kv.getVersion() == 0 ? null : kv;
  }

  /** Events from a revision on, in order; batches of one revision stay together. */
  List<List<Event>> since(long from) throws RevisionUnavailableException {
    if (from <= compacted) {
      throw new RevisionUnavailableException(true);
    }
    return new ArrayList<>(history.tailMap(from, true).values());
  }

  boolean holds(Compare c) {
    KeyValue kv = last(c.getKey());
    int order =
        switch (c.getTarget()) {
          case VERSION -> Long.compare(kv == null ? 0 : kv.getVersion(), c.getVersion());
          case CREATE ->
              Long.compare(kv == null ? 0 : kv.getCreateRevision(), c.getCreateRevision());
          case MOD -> Long.compare(kv == null ? 0 : kv.getModRevision(), c.getModRevision());
          case LEASE -> Long.compare(kv == null ? 0 : kv.getLease(), c.getLease());
          default -> kv == null ? -1 : ORDER.compare(kv.getValue(), c.getValue());
        };
    return switch (c.getResult()) {
      case EQUAL -> order == 0;
      case GREATER -> order > 0;
      case LESS -> order < 0;
      default -> order != 0;
    };
  }

  // ---- Writing
  // ---------------------------------------------------------------------------------------

  /** Begins a change; all that is written till {@link #commit} bears one revision. */
  void begin() {
    batch = new ArrayList<>();
  }

  /** Ends it; the events, or none if nothing was written. */
  List<Event> commit() {
    List<Event> done = batch;
    batch = null;
    if (!done.isEmpty()) {
      revision++;
      history.put(revision, done);
    }
    return done;
  }

  KeyValue put(ByteString key, ByteString value, long lease) {
    KeyValue old = last(key);
    KeyValue kv =
        KeyValue.newBuilder()
            .setKey(key)
            .setValue(value)
            .setLease(lease)
            .setModRevision(revision + 1)
            .setCreateRevision(old == null ? revision + 1 : old.getCreateRevision())
            .setVersion(old == null ? 1 : old.getVersion() + 1)
            .build();
    write(key, kv, old, Event.EventType.PUT);
    if (lease != 0) {
      leased.computeIfAbsent(lease, l -> new TreeSet<>(ORDER)).add(key);
    }
    return old;
  }

  List<KeyValue> delete(ByteString key, ByteString end) {
    List<KeyValue> gone = new ArrayList<>();
    for (ByteString k : new ArrayList<>(within(key, end).keySet())) {
      KeyValue old = last(k);
      if (old != null) {
        gone.add(old);
        write(
            k,
            KeyValue.newBuilder().setKey(k).setModRevision(revision + 1).build(),
            old,
            Event.EventType.DELETE);
      }
    }
    return gone;
  }

  private void write(ByteString key, KeyValue kv, KeyValue old, Event.EventType type) {
    keys.computeIfAbsent(key, k -> new TreeMap<>()).put(revision + 1, kv);
    if (old != null && old.getLease() != 0 && leased.containsKey(old.getLease())) {
      leased.get(old.getLease()).remove(key);
    }
    Event.Builder e = Event.newBuilder().setType(type).setKv(kv);
    if (old != null) {
      e.setPrevKv(old);
    }
    batch.add(e.build());
  }

  Set<ByteString> leased(long lease) {
    return leased.getOrDefault(lease, Set.of());
  }

  void dropLease(long lease) {
    leased.remove(lease);
  }

  /** Forgets what was replaced or deleted before a revision. */
  void compact(long at) throws RevisionUnavailableException {
    if (at <= compacted || at > revision) {
      throw new RevisionUnavailableException(at <= compacted);
    }
    compacted = at;
    history.headMap(at, true).clear();
    keys.values()
        .removeIf(
            versions -> {
              Long last = versions.floorKey(at);
              if (last != null) {
                versions.headMap(last, false).clear();
                if (versions.get(last).getVersion() == 0) {
                  versions.remove(last);
                }
              }
              return versions.isEmpty();
            });
  }

  /** As after a restore from an old backup: the same keys, a lower revision, no history. */
  void restore(long atRevision) {
    List<KeyValue> now = new ArrayList<>();
    keys.values()
        .forEach(
            v -> {
              KeyValue kv = v.lastEntry().getValue();
              if (kv.getVersion() > 0) {
                now.add(kv);
              }
            });
    keys.clear();
    history.clear();
    revision = atRevision;
    compacted = atRevision;
    for (KeyValue kv : now) {
      keys.computeIfAbsent(kv.getKey(), k -> new TreeMap<>())
          .put(
              atRevision,
              kv.toBuilder().setModRevision(atRevision).setCreateRevision(atRevision).build());
    }
  }
}
