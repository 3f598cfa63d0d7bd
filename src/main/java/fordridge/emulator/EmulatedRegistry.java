package fordridge.emulator;

import fordridge.emulator.record.RecordField;
import fordridge.emulator.record.RecordKind;
import fordridge.emulator.record.WireRecorder;
import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.StandardCopyOption;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * A stand-in for the registry of machines: writes what it knows now and then, late, to the list
 * file by renaming over it, or to a stand-in for etcd key by key.
 */
final class EmulatedRegistry implements AutoCloseable {
  /** What it knows of a machine; replaced whole. */
  record RegisteredMachine(
      EmulatedMachine machine,
      String state,
      Instant started,
      double freeCores,
      double freeMemory) {}

  private record Snapshot(long at, Map<String, RegisteredMachine> known) {}

  private final File file;
  private final EmulatedEtcd etcd;
  private final String prefix;
  private final Map<String, String> written = new LinkedHashMap<>();
  private final WireRecorder tap;
  private final long lateUs;
  private final Map<String, RegisteredMachine> known = new LinkedHashMap<>();
  private final Map<String, String> published = new LinkedHashMap<>();
  private final Deque<Snapshot> shots = new ArrayDeque<>();
  private final ScheduledExecutorService writes =
      Executors.newSingleThreadScheduledExecutor(
          r -> {
            Thread t = new Thread(r, "registry");
            t.setDaemon(true);
            return t;
          });

  /** With {@code etcd} the file is not written. */
  EmulatedRegistry(File file, EmulatedEtcd etcd, String prefix, WireRecorder tap, long lateUs) {
    this.file = file;
    this.etcd = etcd;
    this.prefix = prefix;
    this.tap = tap;
    this.lateUs = lateUs;
  }

  synchronized void set(EmulatedMachine m, String state, Instant started) {
    RegisteredMachine old = known.get(m.name());
    known.put(
        m.name(),
        new RegisteredMachine(
            m,
            state,
            started,
            old == null ? m.make.cores() : old.freeCores(),
            old == null ? m.make.memory() : old.freeMemory()));
  }

  private synchronized void room(String name, double cores, double memory) {
    RegisteredMachine k = known.get(name);
    if (k != null) {
      known.put(name, new RegisteredMachine(k.machine, k.state, k.started, cores, memory));
    }
  }

  synchronized String state(String name) {
    return known.containsKey(name) ? known.get(name).state : "";
  }

  void start(long everyMillis) throws IOException {
    write(Map.copyOf(known));
    writes.scheduleWithFixedDelay(this::round, everyMillis, everyMillis, TimeUnit.MILLISECONDS);
  }

  private void round() {
    Map<String, RegisteredMachine> now;
    synchronized (this) {
      known
          .values()
          .forEach(
              k ->
                  k.machine.act(
                      () ->
                          room(
                              k.machine.name(),
                              k.machine.model().freeCores(),
                              k.machine.model().freeMemory())));
      now = new LinkedHashMap<>(known);
    }
    shots.addLast(new Snapshot(tap.nowUs(), now));
    Snapshot due = null;
    while (!shots.isEmpty() && shots.peekFirst().at + lateUs <= tap.nowUs()) {
      due = shots.removeFirst();
    }
    if (due != null) {
      try {
        write(due.known);
      } catch (IOException e) {
        tap.event("registry", RecordKind.FAULT_FAILED)
            .with(RecordField.REASON, e.toString())
            .write();
      }
    }
  }

  private void write(Map<String, RegisteredMachine> list) throws IOException {
    if (etcd != null) {
      put(list);
      return;
    }
    StringBuilder text = new StringBuilder("version = 1\nmachines = [\n");
    list.forEach(
        (name, k) -> {
          if (!k.state.equals("unlisted")) {
            text.append(
                String.format(
                    Locale.ROOT,
                    "  { name = \"%s\", address = \"127.0.0.1:%d\", kind = \"%s\","
                        + " zone = \"%s\", cell = %d, state = %s, free_cores = %.2f, free_memory = %.2f%s }%n",
                    name,
                    k.machine.port(),
                    k.machine.make.kind(),
                    k.machine.make.zone(),
                    k.machine.make.cell(),
                    k.state,
                    k.freeCores,
                    k.freeMemory,
                    k.started == null ? "" : ", started = \"" + k.started + "\""));
          }
        });
    text.append("]\n");
    File next = new File(file.getPath() + ".next");
    Files.writeString(next.toPath(), text.toString());
    // A machine may be used as soon as the file stands, and is closed no earlier than that.
    tell(list, true);
    Files.move(
        next.toPath(),
        file.toPath(),
        StandardCopyOption.ATOMIC_MOVE,
        StandardCopyOption.REPLACE_EXISTING);
    tell(list, false);
  }

  /** Changed records only, in one change; a draining machine keeps its record beside its drain. */
  private void put(Map<String, RegisteredMachine> list) {
    Map<String, String> changes = new LinkedHashMap<>();
    list.forEach(
        (name, k) -> {
          boolean there = k.state.equals("live") || k.state.equals("draining");
          change(
              changes,
              prefix + "/machines/" + name,
              !there
                  ? null
                  : String.format(
                      Locale.ROOT,
                      "{\"v\":2,\"address\":\"127.0.0.1:%d\",\"kind\":\"%s\",\"zone\":\"%s\",\"cell\":%d,\"cores\":%.1f,"
                          + "\"memory\":%.1f,\"free_cores\":%.1f,\"free_memory\":%.1f%s}",
                      k.machine.port(),
                      k.machine.make.kind(),
                      k.machine.make.zone(),
                      k.machine.make.cell(),
                      k.machine.make.cores(),
                      k.machine.make.memory(),
                      k.freeCores,
                      k.freeMemory,
                      k.started == null ? "" : ",\"started\":\"" + k.started + "\""));
          change(
              changes, prefix + "/drains/" + name, k.state.equals("draining") ? "{\"v\":2}" : null);
        });
    tell(list, true);
    if (!changes.isEmpty()) {
      etcd.putAll(changes);
    }
    tell(list, false);
  }

  private void change(Map<String, String> changes, String key, String value) {
    if (!java.util.Objects.equals(written.put(key, value), value)) {
      changes.put(key, value);
    }
  }

  private void tell(Map<String, RegisteredMachine> list, boolean live) {
    list.forEach(
        (name, k) -> {
          if (k.state.equals("live") != live) {
            return;
          }
          String news = k.state + " " + k.started;
          if (!news.equals(published.put(name, news))) {
            tap.event("registry", RecordKind.MACHINE_LISTED)
                .with(RecordField.MACHINE, name)
                .with(RecordField.STATE, k.state)
                .with(RecordField.STARTED_AT, k.started == null ? "" : k.started.toString())
                .write();
          }
        });
  }

  @Override
  public void close() {
    writes.shutdownNow();
  }
}
