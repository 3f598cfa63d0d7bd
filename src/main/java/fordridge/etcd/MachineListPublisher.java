package fordridge.etcd;

import fordridge.discovery.MachineListSource.Entry;
import fordridge.discovery.MachineListSource.Update;
import fordridge.membership.MachineRecord;
import fordridge.membership.MachineUpdate;
import fordridge.model.Machine.Lifecycle;
import fordridge.settings.HostAndPort;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;

/**
 * Holds the latest machine list and notifies listeners of each update.
 *
 * <p>Updates are published on the etcd client's thread only; {@link #latest()} is thread-safe.
 */
final class MachineListPublisher {
  private final List<Consumer<Update>> listeners = new CopyOnWriteArrayList<>();

  /** Entries by machine name; also the lock that guards all fields below. */
  private final Map<String, Entry> entries = new LinkedHashMap<>();

  private long version;
  private boolean isStale;

  /** Adds a listener, which gets the latest list now and each later update. */
  void addListener(Consumer<Update> listener) {
    listeners.add(listener);
    listener.accept(latest());
  }

  /** Returns the latest list, as a snapshot. */
  Update latest() {
    synchronized (entries) {
      return new Update(version, true, isStale, List.copyOf(entries.values()));
    }
  }

  /** Whether a list has been published. */
  boolean hasPublished() {
    synchronized (entries) {
      return version > 0;
    }
  }

  /** Whether the list has no machines. */
  boolean isEmpty() {
    synchronized (entries) {
      return entries.isEmpty();
    }
  }

  /** Marks the list as current, starting with the next published update. */
  void markCurrent() {
    synchronized (entries) {
      isStale = false;
    }
  }

  /** Notifies the listeners that the list is stale, unless it already is or none was published. */
  void publishStale() {
    Update update;
    synchronized (entries) {
      if (isStale || version == 0) {
        return;
      }
      isStale = true;
      version++;
      update = new Update(version, false, true, List.of());
    }
    listeners.forEach(listener -> listener.accept(update));
  }

  /** Publishes the changed machines, or the whole list if the update is a snapshot. */
  void publish(List<MachineUpdate> changes, boolean isSnapshot) {
    Update update;
    synchronized (entries) {
      List<Entry> changed = new ArrayList<>();
      for (MachineUpdate change : changes) {
        changed.add(apply(change));
      }
      version++;
      List<Entry> published = isSnapshot ? List.copyOf(entries.values()) : changed;
      update = new Update(version, isSnapshot, isStale, published);
    }
    listeners.forEach(listener -> listener.accept(update));
  }

  private Entry apply(MachineUpdate change) {
    Entry entry = newEntry(change, entries.get(change.name()));
    if (change.lifecycle() == Lifecycle.GONE) {
      entries.remove(change.name());
    } else {
      entries.put(change.name(), entry);
    }
    return entry;
  }

  private static Entry newEntry(MachineUpdate change, Entry before) {
    MachineRecord machine = change.machine();
    return new Entry(
        change.name(),
        HostAndPort.parse(machine.address()),
        machine.kind(),
        machine.zone(),
        machine.cell(),
        change.lifecycle(),
        machine.freeCores(),
        machine.freeMemory(),
        startedAt(change, before));
  }

  /**
   * The start time to publish: the current time for a new machine under a known name whose record
   * has no start time or that of its predecessor, so that the scheduler applies slow start to it.
   */
  private static Instant startedAt(MachineUpdate change, Entry before) {
    long reported = change.machine().startedAtEpochMillis();
    Instant startedBefore = before == null ? null : before.startedAt();
    if (reported <= 0) {
      return change.isNewMachine() ? Instant.now() : startedBefore;
    }
    Instant startedAt = Instant.ofEpochMilli(reported);
    boolean isUnchanged = startedAt.equals(startedBefore);
    return change.isNewMachine() && isUnchanged ? Instant.now() : startedAt;
  }
}
