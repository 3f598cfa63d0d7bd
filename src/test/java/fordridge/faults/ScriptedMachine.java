package fordridge.faults;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.awaitility.Awaitility;

/** A machine on a real socket that says only what a test has it say, on the connection it names. */
final class ScriptedMachine implements ListedMachine, AutoCloseable {
  /** One connection from the scheduler, and what came on it. */
  final class Connection {
    private LineConnection line;
    private final List<Message> received = new ArrayList<>();
    private boolean answersHealthChecks = true;

    void send(String message) {
      line.send(message);
    }

    /** Sends a line that is no message. */
    void sendUnreadable() {
      line.send("{\"t\":\"up\",\"ref\"");
    }

    void reset() {
      line.reset();
    }

    boolean isOpen() {
      return line.isOpen();
    }

    /** What comes from now on is never read: it is as if the machine had not got to it. */
    void stopReading() {
      line.stopReading(Long.MAX_VALUE / 2_000_000);
    }

    synchronized void stopAnsweringHealthChecks() {
      answersHealthChecks = false;
    }

    /** How often it has brought that message on the VM. */
    synchronized int count(String type, String vm) {
      return (int)
          received.stream()
              .filter(each -> each.type().equals(type) && each.id().equals(vm))
              .count();
    }

    synchronized boolean hasReceived(String type, String vm) {
      return received.stream().anyMatch(each -> each.type().equals(type) && each.id().equals(vm));
    }

    private synchronized void receive(Message message) {
      received.add(message);
      if (message.type().equals(Message.HEALTH_CHECK) && answersHealthChecks) {
        send(Message.of(Message.HEALTHY, message.id(), 1));
      }
      if (message.type().equals(Message.REQUEST) && answerDelayMillis > 0) {
        later(() -> runToItsEnd(this, message.id()));
      }
    }
  }

  private final String id;
  private final ServerSocket server;
  private final List<Connection> connections = new ArrayList<>();
  private final List<String> sentOnNextConnection = new ArrayList<>();
  private final ScheduledExecutorService timers = Executors.newScheduledThreadPool(1);

  /** Zero if it answers by the test's script alone. */
  private volatile long answerDelayMillis;

  ScriptedMachine(String id, InetAddress address) throws IOException {
    this(id, address, 0);
  }

  /** A machine that listens at that port, or at any if it is zero. */
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
    return PlacementLedger.LIMITED_CLASS_KIND;
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
          connection.line =
              new LineConnection(socket, line -> connection.receive(new Message(line)), () -> {});
        }
        synchronized (this) {
          connections.add(connection);
          sentOnNextConnection.forEach(connection::send);
          sentOnNextConnection.clear();
        }
      }
    } catch (IOException e) {
      // Closed.
    }
  }

  /** The connections so far, the oldest first. */
  synchronized List<Connection> connections() {
    return List.copyOf(connections);
  }

  /** The open connections, the oldest first. */
  List<Connection> openConnections() {
    return connections().stream().filter(Connection::isOpen).toList();
  }

  /** Whether any connection has brought that message on the VM. */
  boolean hasReceived(String type, String vm) {
    return connections().stream().anyMatch(connection -> connection.hasReceived(type, vm));
  }

  /** How often all connections together have brought that message on the VM. */
  int count(String type, String vm) {
    return connections().stream().mapToInt(connection -> connection.count(type, vm)).sum();
  }

  /** The connection that brings the VM's placement request, once it has come. */
  Connection awaitRequest(String vm) {
    Awaitility.await("request " + vm).until(() -> hasReceived(Message.REQUEST, vm));
    return connections().stream()
        .filter(connection -> connection.hasReceived(Message.REQUEST, vm))
        .findFirst()
        .orElseThrow();
  }

  /** Accepts the VM; what its client is told names the machine. */
  void accept(Connection connection, String vm) {
    connection.send(Message.accepted(vm, id + "/" + vm));
  }

  /** From now on it accepts each VM after that time, and ends it at once. */
  void runEachToItsEndAfter(long millis) {
    answerDelayMillis = millis;
  }

  private void runToItsEnd(Connection connection, String vm) {
    accept(connection, vm);
    connection.send(Message.of(Message.ENDED, vm, Message.CAUSE_DONE));
  }

  @SuppressWarnings("FutureReturnValueIgnored") // Nothing waits for it.
  private void later(Runnable task) {
    timers.schedule(task, answerDelayMillis, TimeUnit.MILLISECONDS);
  }

  /** Says it on an open connection, else on the next one that comes, as the protocol has it. */
  synchronized void sendOnAnyConnection(String message) {
    Optional<Connection> open = openConnections().stream().findFirst();
    if (open.isPresent()) {
      open.get().send(message);
    } else {
      sentOnNextConnection.add(message);
    }
  }

  /** The process dies: nobody listens, and all connections are reset. */
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
