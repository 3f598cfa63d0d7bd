package fordridge.faults;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.awaitility.Awaitility;

/**
 * A machine on a real socket that sends only what a test tells it to, on the connection it names.
 * Health checks are answered.
 */
final class ScriptedMachine implements MachineEndpoint, AutoCloseable {
  /** One connection from the scheduler, and the messages received on it. */
  final class Connection {
    private PeerConnection peer;
    private final List<Message> received = new ArrayList<>();
    private boolean answersHealthChecks = true;

    void send(String message) {
      peer.send(message);
    }

    /** Sends a line that is not a valid message. */
    void sendMalformed() {
      peer.send("{\"t\":\"up\",\"ref\"");
    }

    void reset() {
      peer.reset();
    }

    boolean isOpen() {
      return peer.isOpen();
    }

    /** Reads nothing more; the bytes stay in the socket. */
    void stopReading() {
      peer.stopReading(Long.MAX_VALUE / 2_000_000);
    }

    synchronized void stopAnsweringHealthChecks() {
      answersHealthChecks = false;
    }

    /** How often this type of message on the VM was received on this connection. */
    synchronized int count(String type, String vm) {
      return (int)
          received.stream()
              .filter(each -> each.type().equals(type) && each.id().equals(vm))
              .count();
    }

    synchronized boolean hasReceived(String type, String vm) {
      return received.stream().anyMatch(each -> each.type().equals(type) && each.id().equals(vm));
    }

    private synchronized void messageReceived(Message message) {
      received.add(message);
      if (message.type().equals(Message.HEALTH_CHECK) && answersHealthChecks) {
        send(Message.of(Message.HEALTHY, message.id(), 1));
      }
      if (message.type().equals(Message.REQUEST)) {
        lastRequestNanos = System.nanoTime();
        requestNanos.putIfAbsent(message.id(), lastRequestNanos);
      }
      if (message.type().equals(Message.REQUEST) && answerDelayMillis > 0) {
        scheduleAnswer(() -> acceptAndEnd(this, message.id()));
      }
    }
  }

  private final String id;
  private final ServerSocket server;
  private final List<Connection> connections = new ArrayList<>();
  private final List<String> queuedMessages = new ArrayList<>();
  private final ScheduledExecutorService timers = Executors.newScheduledThreadPool(1);

  /** The delay of automatic answers; zero if only the test answers. */
  private volatile long answerDelayMillis;

  /** When each VM's first placement request was received, by {@link System#nanoTime}. */
  private final Map<String, Long> requestNanos = new ConcurrentHashMap<>();

  /** When the last placement request was received, by {@link System#nanoTime}. */
  private volatile long lastRequestNanos = System.nanoTime();

  ScriptedMachine(String id, InetAddress address) throws IOException {
    this(id, address, 0);
  }

  /** A machine that listens at that port, or at any port if it is zero. */
  ScriptedMachine(String id, InetAddress address, int port) throws IOException {
    this.id = id;
    server = ListeningSocket.open(new InetSocketAddress(address, port), 256);
    Thread acceptor = new Thread(this::accept, "scripted-" + id);
    acceptor.setDaemon(true);
    acceptor.start();
  }

  @Override
  public String id() {
    return id;
  }

  int port() {
    return server.getLocalPort();
  }

  @Override
  public String kind() {
    return PlacementChecker.LIMITED_CLASS_KIND;
  }

  @Override
  public String hostAndPort() {
    return server.getInetAddress().getHostAddress() + ":" + server.getLocalPort();
  }

  private void accept() {
    try {
      while (true) {
        Socket socket = server.accept();
        Connection connection = new Connection();
        synchronized (connection) {
          connection.peer =
              new PeerConnection(
                  socket, line -> connection.messageReceived(new Message(line)), () -> {});
        }
        synchronized (this) {
          connections.add(connection);
          queuedMessages.forEach(connection::send);
          queuedMessages.clear();
        }
      }
    } catch (IOException e) {
      // The machine was closed.
    }
  }

  /** When the last placement request was received, by {@link System#nanoTime}. */
  long lastRequestNanos() {
    return lastRequestNanos;
  }

  /** When the VM's first placement request was received, by {@link System#nanoTime}. */
  Optional<Long> requestNanos(String vm) {
    return Optional.ofNullable(requestNanos.get(vm));
  }

  /** All connections so far, the oldest first. */
  synchronized List<Connection> connections() {
    return List.copyOf(connections);
  }

  /** The open connections, the oldest first. */
  List<Connection> openConnections() {
    return connections().stream().filter(Connection::isOpen).toList();
  }

  /** Whether this type of message on the VM was received on any connection. */
  boolean hasReceived(String type, String vm) {
    return connections().stream().anyMatch(connection -> connection.hasReceived(type, vm));
  }

  /** How often this type of message on the VM was received on all connections together. */
  int count(String type, String vm) {
    return connections().stream().mapToInt(connection -> connection.count(type, vm)).sum();
  }

  /** Waits for the VM's placement request; returns the connection that it was received on. */
  Connection awaitRequest(String vm) {
    Awaitility.await("request " + vm).until(() -> hasReceived(Message.REQUEST, vm));
    return connections().stream()
        .filter(connection -> connection.hasReceived(Message.REQUEST, vm))
        .findFirst()
        .orElseThrow();
  }

  /** Accepts the VM; the description that its client receives contains the machine's id. */
  void accept(Connection connection, String vm) {
    connection.send(Message.accepted(vm, id + "/" + vm));
  }

  /** From now on accepts each VM after that time, and ends it at once. */
  void acceptAndEndEachAfter(long millis) {
    answerDelayMillis = millis;
  }

  private void acceptAndEnd(Connection connection, String vm) {
    accept(connection, vm);
    connection.send(Message.of(Message.ENDED, vm, Message.CAUSE_DONE));
  }

  @SuppressWarnings("FutureReturnValueIgnored") // Nothing waits for it.
  private void scheduleAnswer(Runnable task) {
    timers.schedule(task, answerDelayMillis, TimeUnit.MILLISECONDS);
  }

  /** Sends the message on an open connection, or else on the next one, as the protocol requires. */
  synchronized void sendOnAnyConnection(String message) {
    Optional<Connection> open = openConnections().stream().findFirst();
    if (open.isPresent()) {
      open.get().send(message);
    } else {
      queuedMessages.add(message);
    }
  }

  /**
   * Sends the message on the next connection that is opened, as the protocol requires of a notice
   * that was lost with another one.
   */
  synchronized void sendOnNextConnection(String message) {
    queuedMessages.add(message);
  }

  /** The machine takes no further connections; those that are open stay. */
  void refuseConnections() throws IOException {
    server.close();
  }

  /** The machine dies: stops listening, and resets all connections. */
  void die() throws IOException {
    server.close();
    connections().forEach(Connection::reset);
  }

  @Override
  public void close() throws IOException {
    timers.shutdownNow();
    die();
  }
}
