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

/**
 * A fake server of the machine list, which sends numbered events, and its position every second.
 */
final class MachineListServer implements AutoCloseable {
  private final ServerSocket server;
  private final List<String> events = new ArrayList<>();
  private final Map<PeerConnection, Integer> watchers = new LinkedHashMap<>();
  private final Map<String, String> entries = new LinkedHashMap<>();
  private long silentUntilNanos;

  @SuppressWarnings("FutureReturnValueIgnored") // Nothing waits for it.
  MachineListServer(
      InetAddress address,
      ScheduledExecutorService timers,
      List<? extends MachineEndpoint> machines)
      throws IOException {
    server = new ServerSocket(0, 64, address);
    for (MachineEndpoint machine : machines) {
      entries.put(machine.id(), entry(machine, "SERVING", 0));
    }
    events.add(event(1, true, entries.values()));
    Thread acceptor = new Thread(this::accept, "machine-list");
    acceptor.setDaemon(true);
    acceptor.start();
    timers.scheduleAtFixedRate(this::sendPosition, 1, 1, TimeUnit.SECONDS);
  }

  private static String entry(MachineEndpoint machine, String phase, long upSinceMillis) {
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

  /** A snapshot of the list, in the format of the configuration's {@code known}. */
  synchronized String knownEvents() {
    String snapshot = event(events.size(), true, entries.values());
    return "{\"pos\":" + events.size() + ",\"entries\":[" + snapshot + "]}";
  }

  private void accept() {
    try {
      while (true) {
        var socket = server.accept();
        PeerConnection[] self = new PeerConnection[1];
        synchronized (this) {
          self[0] =
              new PeerConnection(
                  socket, line -> lineReceived(self, line), () -> removeWatcher(self[0]));
        }
      }
    } catch (IOException e) {
      // The listening socket was closed.
    }
  }

  private synchronized void removeWatcher(PeerConnection connection) {
    watchers.remove(connection);
  }

  private synchronized void lineReceived(PeerConnection[] self, String line) {
    if (line.startsWith("tail ")) {
      watchers.put(self[0], Integer.parseInt(line.substring(5).trim()));
      sendNewEvents(self[0]);
    }
  }

  private void sendNewEvents(PeerConnection watcher) {
    if (System.nanoTime() < silentUntilNanos) {
      return;
    }
    int from = watchers.get(watcher);
    for (String event : events.subList(Math.min(from, events.size()), events.size())) {
      watcher.send(event);
    }
    watchers.put(watcher, events.size());
  }

  private synchronized void sendPosition() {
    for (PeerConnection watcher : List.copyOf(watchers.keySet())) {
      sendNewEvents(watcher);
      if (System.nanoTime() >= silentUntilNanos) {
        watcher.send(Integer.toString(events.size()));
      }
    }
  }

  /**
   * Publishes the machine in this phase; {@code upSinceMillis} is the Unix time of its start, or
   * zero.
   */
  synchronized void publish(MachineEndpoint machine, String phase, long upSinceMillis) {
    String entry = entry(machine, phase, upSinceMillis);
    if (phase.equals("DELETED")) {
      entries.remove(machine.id());
    } else {
      entries.put(machine.id(), entry);
    }
    events.add(event(events.size() + 1, false, List.of(entry)));
    List.copyOf(watchers.keySet()).forEach(this::sendNewEvents);
  }

  /** Sends its position that many times at once, which tells the watchers nothing new. */
  void repeatPosition(int times) {
    String line;
    List<PeerConnection> receivers;
    synchronized (this) {
      line = events.size() + "\n";
      receivers = List.copyOf(watchers.keySet());
    }
    receivers.forEach(each -> each.sendRaw(line.repeat(times)));
  }

  /** Sends nothing for this time; connections stay open. */
  synchronized void stopSending(long millis) {
    silentUntilNanos = System.nanoTime() + millis * 1_000_000;
  }

  synchronized void resetConnections() {
    List.copyOf(watchers.keySet()).forEach(PeerConnection::reset);
  }

  @Override
  public void close() throws IOException {
    server.close();
    resetConnections();
  }
}
