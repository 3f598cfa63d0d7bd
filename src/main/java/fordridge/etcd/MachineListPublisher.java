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
 * Keeps the latest machine list and passes each update to the listeners.
 *
 * <p>Updates are published on the client's thread alone; {@link #latest()} may be called from any.
 */
final class MachineListPublisher {
  private final List<Consumer<Update>> listeners = new CopyOnWriteArrayList<>();

  /** Guarded by itself, as are version and staleness. */
  private final Map<String, Entry> entries = new LinkedHashMap<>();

  private long version;
  private boolean isStale;

  /** Passes the latest list and then each update to a listener. */
  void addListener(Consumer<Update> listener) {
    listeners.add(listener);
    listener.accept(latest());
  }

  /** The latest list, as a snapshot. */
  Update latest() {
    synchronized (entries) {
      return new Update(version, true, isStale, List.copyOf(entries.values()));
    }
  }

  /** Whether a list was published. */
  boolean hasPublished() {
    synchronized (entries) {
      return version > 0;
    }
  }

  /** Whether the list has no machine. */
  boolean isEmpty() {
    synchronized (entries) {
      return entries.isEmpty();
    }
  }

  /** The list is up to date from the next update on. */
  void markCurrent() {
    synchronized (entries) {
      isStale = false;
    }
  }

  /** Tells the listeners once that the list may be out of date; a list must have been published. */
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

  /** Publishes changed machines; as a snapshot, together with all others. */
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
    Entry entry = entry(change, entries.get(change.name()));
    if (change.lifecycle() == Lifecycle.GONE) {
      entries.remove(change.name());
    } else {
      entries.put(change.name(), entry);
    }
    return entry;
  }

  private static Entry entry(MachineUpdate change, Entry before) {
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

  /** A new machine under a known name that does not say so itself has started now. */
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
