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
  /** After a change of the address the former one closes its connections after this time. */
  private static final long CLOSE_DELAY_MILLIS = 1500;

  private static final int SLOW_LINE_PIECES = 30;

  private final InetAddress address;
  private final ScheduledExecutorService timers;
  private ServerSocket server;
  private final List<String> events = new ArrayList<>();
  private final Map<PeerConnection, Integer> watchers = new LinkedHashMap<>();

  private long firstLineDelayMillis;
  private long firstLineMillis;
  private int watchCount;
  private final Map<String, String> entries = new LinkedHashMap<>();
  private long silentUntilNanos;

  @SuppressWarnings("FutureReturnValueIgnored") // Nothing waits for it.
  MachineListServer(
      InetAddress address,
      ScheduledExecutorService timers,
      List<? extends MachineEndpoint> machines)
      throws IOException {
    this.address = address;
    this.timers = timers;
    server = new ServerSocket(0, 64, address);
    for (MachineEndpoint machine : machines) {
      entries.put(machine.id(), entry(machine, "SERVING", 0));
    }
    events.add(event(1, true, entries.values()));
    startAccepting(server);
    timers.scheduleAtFixedRate(this::sendPosition, 1, 1, TimeUnit.SECONDS);
  }

  private static String entry(MachineEndpoint machine, String phase, long upSinceMillis) {
    return entry(machine.id(), machine.hostAndPort(), machine.kind(), phase, upSinceMillis);
  }

  private static String entry(
      String id, String hostAndPort, String kind, String phase, long upSinceMillis) {
    return "{\"id\":\""
        + id
        + "\",\"host_port\":\""
        + hostAndPort
        + "\",\"locality\":\"z\",\"flavor\":\""
        + kind
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

  synchronized int port() {
    return server.getLocalPort();
  }

  private void startAccepting(ServerSocket listening) {
    Thread acceptor = new Thread(() -> accept(listening), "machine-list");
    acceptor.setDaemon(true);
    acceptor.start();
  }

  /** A snapshot of the list, in the format of the configuration's {@code known}. */
  synchronized String knownEvents() {
    return "{\"pos\":" + events.size() + ",\"entries\":[" + snapshot() + "]}";
  }

  private String snapshot() {
    return event(events.size(), true, entries.values());
  }

  private void accept(ServerSocket listening) {
    try {
      while (true) {
        var socket = listening.accept();
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
      watchCount++;
      int from = Integer.parseInt(line.substring(5).trim());
      startWatch(self[0], from);
    }
  }

  @SuppressWarnings("FutureReturnValueIgnored") // Nothing waits for it.
  private void startWatch(PeerConnection watcher, int from) {
    if (firstLineMillis > 0) {
      sendSlowly(watcher, firstLineMillis);
    } else if (firstLineDelayMillis > 0) {
      timers.schedule(() -> addWatcher(watcher, from), firstLineDelayMillis, TimeUnit.MILLISECONDS);
    } else {
      addWatcher(watcher, from);
    }
  }

  private synchronized void addWatcher(PeerConnection watcher, int from) {
    if (watcher.isOpen()) {
      watchers.put(watcher, from);
      sendNewEvents(watcher);
      sendPosition(watcher);
    }
  }

  /** Sends the complete list as one line whose bytes keep coming for that time, then goes on. */
  @SuppressWarnings("FutureReturnValueIgnored") // Nothing waits for it.
  private void sendSlowly(PeerConnection watcher, long millis) {
    String line = snapshot() + "\n";
    int pieceLength = (line.length() + SLOW_LINE_PIECES - 1) / SLOW_LINE_PIECES;
    for (int i = 0; i < SLOW_LINE_PIECES; i++) {
      String piece =
          line.substring(
              Math.min(line.length(), i * pieceLength),
              Math.min(line.length(), (i + 1) * pieceLength));
      scheduleRaw(watcher, piece, millis * (i + 1) / SLOW_LINE_PIECES);
    }
    int position = events.size();
    timers.schedule(() -> addWatcher(watcher, position), millis + 1, TimeUnit.MILLISECONDS);
  }

  @SuppressWarnings("FutureReturnValueIgnored") // Nothing waits for it.
  private void scheduleRaw(PeerConnection watcher, String text, long delayMillis) {
    timers.schedule(() -> watcher.sendRaw(text), delayMillis, TimeUnit.MILLISECONDS);
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
      sendPosition(watcher);
    }
  }

  private void sendPosition(PeerConnection watcher) {
    if (System.nanoTime() >= silentUntilNanos) {
      watcher.send(Integer.toString(events.size()));
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

  /** Lists that many machines in the next complete list, at addresses where none listens. */
  synchronized void addToCompleteList(int machines) {
    for (int i = 0; i < machines; i++) {
      String id = "absent-" + i;
      entries.put(id, entry(id, "127.255.255.1:9", "absent", "DRAINING", 0));
    }
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

  /** From now on the first line of each new watch is sent after that time. */
  synchronized void delayFirstLines(long millis) {
    firstLineDelayMillis = millis;
  }

  /** From now on the bytes of the first line of each new watch keep coming for that time. */
  synchronized void sendFirstLinesOver(long millis) {
    firstLineMillis = millis;
  }

  /** Sends nothing more on the connections that are open now, and leaves them open. */
  synchronized void hang() {
    watchers.clear();
  }

  /** The number of requests for events so far. */
  synchronized int watchCount() {
    return watchCount;
  }

  /**
   * Listens at another port from now on; the former one sends nothing more, and its connections are
   * closed later.
   */
  @SuppressWarnings("FutureReturnValueIgnored") // Nothing waits for it.
  synchronized void changeAddress() throws IOException {
    server.close();
    List<PeerConnection> former = List.copyOf(watchers.keySet());
    watchers.clear();
    timers.schedule(
        () -> former.forEach(PeerConnection::close), CLOSE_DELAY_MILLIS, TimeUnit.MILLISECONDS);
    server = new ServerSocket(0, 64, address);
    startAccepting(server);
  }

  synchronized void resetConnections() {
    List.copyOf(watchers.keySet()).forEach(PeerConnection::reset);
  }

  @Override
  public synchronized void close() throws IOException {
    server.close();
    resetConnections();
  }
}
