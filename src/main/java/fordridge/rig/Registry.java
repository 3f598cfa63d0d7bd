package fordridge.rig;

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

/** A stand-in for the registry of machines: writes the list file now and then, late, by renaming over it. */
final class Registry implements AutoCloseable {
    /** What it knows of a machine; replaced whole. */
    record Known(StandInMachine machine, String state, Instant started, double freeCores, double freeMemory) { }

    private record Shot(long at, Map<String, Known> known) { }

    private final File file;
    private final Tap tap;
    private final long lateUs;
    private final Map<String, Known> known = new LinkedHashMap<>();
    private final Map<String, String> published = new LinkedHashMap<>();
    private final Deque<Shot> shots = new ArrayDeque<>();
    private final ScheduledExecutorService writes = Executors.newSingleThreadScheduledExecutor(r -> {
        Thread t = new Thread(r, "registry");
        t.setDaemon(true);
        return t;
    });

    Registry(File file, Tap tap, long lateUs) {
        this.file = file;
        this.tap = tap;
        this.lateUs = lateUs;
    }

    synchronized void set(StandInMachine m, String state, Instant started) {
        Known old = known.get(m.name());
        known.put(m.name(), new Known(m, state, started, old == null ? m.make.cores() : old.freeCores(),
                old == null ? m.make.memory() : old.freeMemory()));
    }

    private synchronized void room(String name, double cores, double memory) {
        Known k = known.get(name);
        if (k != null) {
            known.put(name, new Known(k.machine, k.state, k.started, cores, memory));
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
        Map<String, Known> now;
        synchronized (this) {
            known.values().forEach(k -> k.machine.act(() -> room(k.machine.name(), k.machine.model().freeCores(),
                    k.machine.model().freeMemory())));
            now = new LinkedHashMap<>(known);
        }
        shots.addLast(new Shot(tap.now(), now));
        Shot due = null;
        while (!shots.isEmpty() && shots.peekFirst().at + lateUs <= tap.now()) {
            due = shots.removeFirst();
        }
        if (due != null) {
            try {
                write(due.known);
            } catch (IOException e) {
                tap.line("registry", "failed", "why", e.toString());
            }
        }
    }

    private void write(Map<String, Known> list) throws IOException {
        StringBuilder text = new StringBuilder("version = 1\nmachines = [\n");
        list.forEach((name, k) -> {
            if (!k.state.equals("unlisted")) {
                text.append(String.format(Locale.ROOT, "  { name = \"%s\", address = \"127.0.0.1:%d\", kind = \"%s\","
                        + " zone = \"%s\", cell = %d, state = %s, free_cores = %.2f, free_memory = %.2f%s }%n", name,
                        k.machine.port(), k.machine.make.kind(), k.machine.make.zone(), k.machine.make.cell(), k.state,
                        k.freeCores, k.freeMemory, k.started == null ? "" : ", started = \"" + k.started + "\""));
            }
        });
        text.append("]\n");
        File next = new File(file.getPath() + ".next");
        Files.writeString(next.toPath(), text.toString());
        // A machine may be used as soon as the file stands, and is closed no earlier than that.
        tell(list, true);
        Files.move(next.toPath(), file.toPath(), StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        tell(list, false);
    }

    private void tell(Map<String, Known> list, boolean live) {
        list.forEach((name, k) -> {
            if (k.state.equals("live") != live) {
                return;
            }
            String news = k.state + " " + k.started;
            if (!news.equals(published.put(name, news))) {
                tap.line("registry", "listed", "machine", name, "state", k.state, "started",
                        k.started == null ? "" : k.started.toString());
            }
        });
    }

    @Override
    public void close() {
        writes.shutdownNow();
    }
}
