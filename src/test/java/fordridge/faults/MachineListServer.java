package fordridge.faults;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** The server of the machine list: numbered events, and its position every second. */
final class MachineListServer implements AutoCloseable {
  private final ServerSocket server;
  private final List<String> events = new ArrayList<>();
  private final Map<LineConnection, Integer> watchers = new LinkedHashMap<>();
  private final Map<String, String> entries = new LinkedHashMap<>();
  private long silentUntilNanos;

  @SuppressWarnings("FutureReturnValueIgnored") // Nothing waits for it.
  MachineListServer(
      InetAddress address, ScheduledExecutorService timers, List<? extends ListedMachine> machines)
      throws IOException {
    server = new ServerSocket(0, 64, address);
    for (ListedMachine machine : machines) {
      entries.put(machine.id(), entry(machine, "SERVING", 0));
    }
    events.add(event(1, true, entries.values()));
    Thread acceptor = new Thread(this::accept, "machine-list");
    acceptor.setDaemon(true);
    acceptor.start();
    timers.scheduleAtFixedRate(this::tellPosition, 1, 1, TimeUnit.SECONDS);
  }

  private static String entry(ListedMachine machine, String phase, long upSinceMillis) {
    return "{\"id\":\""
        + machine.id()
        + "\",\"host_port\":\""
        + machine.hostAndPort()
        + "\",\"locality\":\"z\",\"flavor\":\""
        + machine.kind()
        + "\",\"cell\":1,\"phase\":\""
        + phase
        + "\",\"size\":1,\"up_since_ms\":"
        + upSinceMillis
        + ",\"unasked\":[90,90]}";
  }

  private static String event(int position, boolean isComplete, Iterable<String> members) {
    return "{\"pos\":"
        + position
        + ",\"hosts\":{\"revision\":"
        + position
        + ",\"complete\":"
        + isComplete
        + ",\"members\":["
        + String.join(",", members)
        + "]}}";
  }

  int port() {
    return server.getLocalPort();
  }

  /** The events so far, as a configuration names them. */
  synchronized String known() {
    String whole = event(events.size(), true, entries.values());
    return "{\"pos\":" + events.size() + ",\"entries\":[" + whole + "]}";
  }

  private void accept() {
    try {
      while (true) {
        var socket = server.accept();
        LineConnection[] self = new LineConnection[1];
        synchronized (this) {
          self[0] = new LineConnection(socket, line -> watch(self, line), () -> forget(self[0]));
        }
      }
    } catch (IOException e) {
      // Closed.
    }
  }

  private synchronized void forget(LineConnection connection) {
    watchers.remove(connection);
  }

  private synchronized void watch(LineConnection[] self, String line) {
    if (line.startsWith("tail ")) {
      watchers.put(self[0], Integer.parseInt(line.substring(5).trim()));
      tell(self[0]);
    }
  }

  private void tell(LineConnection watcher) {
    if (System.nanoTime() < silentUntilNanos) {
      return;
    }
    int from = watchers.get(watcher);
    for (String event : events.subList(Math.min(from, events.size()), events.size())) {
      watcher.send(event);
    }
    watchers.put(watcher, events.size());
  }

  private synchronized void tellPosition() {
    for (LineConnection watcher : List.copyOf(watchers.keySet())) {
      tell(watcher);
      if (System.nanoTime() >= silentUntilNanos) {
        watcher.send(Integer.toString(events.size()));
      }
    }
  }

  /** Lists the machine in this phase; {@code upSinceMillis} is the Unix time of a late start. */
  synchronized void list(ListedMachine machine, String phase, long upSinceMillis) {
    String entry = entry(machine, phase, upSinceMillis);
    if (phase.equals("DELETED")) {
      entries.remove(machine.id());
    } else {
      entries.put(machine.id(), entry);
    }
    events.add(event(events.size() + 1, false, List.of(entry)));
    List.copyOf(watchers.keySet()).forEach(this::tell);
  }

  /** Stays open and says nothing for this long. */
  synchronized void fallSilent(long millis) {
    silentUntilNanos = System.nanoTime() + millis * 1_000_000;
  }

  synchronized void resetConnections() {
    List.copyOf(watchers.keySet()).forEach(LineConnection::reset);
  }

  @Override
  public void close() throws IOException {
    server.close();
    resetConnections();
  }
}
