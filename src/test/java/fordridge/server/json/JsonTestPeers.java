package fordridge.server.json;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.awaitility.Awaitility;

/**
 * A scheduler on loopback with peers that a test scripts: clients, one machine and a machine list
 * server.
 */
final class JsonTestPeers implements AutoCloseable {
  /** Stands in place of a line when the connection was closed. */
  static final String CLOSED = "(closed)";

  private static final long TIMEOUT_SECONDS = 10;

  /** One connection and the lines received on it, {@link #CLOSED} last. */
  static final class LineConnection implements AutoCloseable {
    final Socket socket;
    final BlockingQueue<String> lines = new LinkedBlockingQueue<>();

    /**
     * The line for which {@link LineServer#await} or {@link LineServer#findRequest} selected this
     * connection.
     */
    private volatile String matchedLine;

    LineConnection(Socket socket) {
      this.socket = socket;
      Thread thread =
          new Thread(
              () -> {
                try (BufferedReader in =
                    new BufferedReader(
                        new InputStreamReader(socket.getInputStream(), StandardCharsets.UTF_8))) {
                  for (String line = in.readLine(); line != null; line = in.readLine()) {
                    lines.add(line);
                  }
                  lines.add(CLOSED);
                  // Kept open: a peer may still write after the scheduler has closed its side.
                  Thread.sleep(60_000);
                } catch (IOException | InterruptedException e) {
                  lines.add(CLOSED);
                }
              });
      thread.setDaemon(true);
      thread.start();
    }

    void send(String text) throws IOException {
      socket.getOutputStream().write((text + "\n").getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Returns the next line with this fragment and skips others; {@link #CLOSED} after a close,
     * null after the timeout.
     */
    String receive(String fragment) throws InterruptedException {
      long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
      String line = lines.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
      while (line != null && !line.contains(fragment) && !line.equals(CLOSED)) {
        line = lines.poll(deadline - System.nanoTime(), TimeUnit.NANOSECONDS);
      }
      return line;
    }

    /** The line for which this connection was selected. */
    String matchedLine() {
      return matchedLine;
    }

    /**
     * Returns all lines up to the answer to a health check: output that was due before has come by
     * then.
     */
    List<String> receiveUntilHealthCheck() throws IOException, InterruptedException {
      send(message("hb", 0, ",\"c\":0"));
      List<String> before = new ArrayList<>();
      for (String line = receive(""); line != null && !line.equals(CLOSED); line = receive("")) {
        if (line.contains("\"hb_ok\"")) {
          return before;
        }
        before.add(line);
      }
      throw new IOException("no answer to a health check; lines received: " + before);
    }

    /** Closes the connection with a TCP reset. */
    void reset() throws IOException {
      socket.setSoLinger(true, 0);
      socket.close();
    }

    @Override
    public void close() throws IOException {
      socket.close();
    }
  }

  /** A server and the connections that it has accepted. */
  static final class LineServer implements AutoCloseable {
    final ServerSocket server;
    final BlockingQueue<LineConnection> newConnections = new LinkedBlockingQueue<>();
    private final List<LineConnection> allConnections = new ArrayList<>();

    LineServer(int port) throws IOException {
      server = new ServerSocket();
      server.setReuseAddress(true);
      server.bind(new java.net.InetSocketAddress(InetAddress.getLoopbackAddress(), port));
      Thread thread =
          new Thread(
              () -> {
                try {
                  while (true) {
                    LineConnection connection = new LineConnection(server.accept());
                    synchronized (allConnections) {
                      allConnections.add(connection);
                    }
                    newConnections.add(connection);
                  }
                } catch (IOException e) {
                  return;
                }
              });
      thread.setDaemon(true);
      thread.start();
    }

    int port() {
      return server.getLocalPort();
    }

    /** Returns the next new connection, or null after the timeout. */
    LineConnection accept() throws InterruptedException {
      return newConnections.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    /** All connections accepted so far. */
    List<LineConnection> connections() {
      synchronized (allConnections) {
        return List.copyOf(allConnections);
      }
    }

    /**
     * Returns the first connection on which a line with this fragment arrives, and removes that
     * line; null after the timeout. All other lines stay.
     */
    LineConnection await(String fragment) throws InterruptedException {
      long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
      while (System.nanoTime() < deadline) {
        LineConnection connection = find(line -> line.contains(fragment));
        if (connection != null) {
          return connection;
        }
        Thread.onSpinWait();
      }
      return null;
    }

    /** Returns the connection that received a placement request for this VM, or null. */
    LineConnection findRequest(String vmId) {
      return find(line -> line.contains(vmId) && line.contains("\"new\""));
    }

    private LineConnection find(Predicate<String> isWanted) {
      for (LineConnection connection : connections()) {
        for (String line : connection.lines) {
          if (isWanted.test(line)) {
            connection.lines.remove(line);
            connection.matchedLine = line;
            return connection;
          }
        }
      }
      return null;
    }

    @Override
    public void close() throws IOException {
      server.close();
      for (LineConnection connection : connections()) {
        connection.close();
      }
    }
  }

  /**
   * A server whose full backlog keeps connections from being established until it starts to accept.
   */
  static final class StalledServer implements AutoCloseable {
    final ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
    private final List<Socket> fillerSockets = new ArrayList<>();

    StalledServer() throws IOException {
      for (boolean full = false; !full; ) {
        Socket socket = new Socket();
        try {
          socket.connect(server.getLocalSocketAddress(), 200);
          fillerSockets.add(socket);
        } catch (java.net.SocketTimeoutException e) {
          full = true;
          socket.close();
        }
      }
    }

    int port() {
      return server.getLocalPort();
    }

    /** Accepts connections, and returns the first that did not serve to fill the backlog. */
    LineConnection acceptFirst() throws IOException {
      List<Integer> fillerPorts = fillerSockets.stream().map(Socket::getLocalPort).toList();
      server.setSoTimeout(10_000);
      while (true) {
        Socket socket = server.accept();
        if (!fillerPorts.contains(socket.getPort())) {
          return new LineConnection(socket);
        }
        socket.close();
      }
    }

    @Override
    public void close() throws IOException {
      server.close();
      for (Socket socket : fillerSockets) {
        socket.close();
      }
    }
  }

  final LineServer machine = new LineServer(0);
  final LineServer machineList = new LineServer(0);
  final Path file = Files.createTempFile("configuration", ".json");
  final java.io.ByteArrayOutputStream log = new java.io.ByteArrayOutputStream();

  /** Reaches zero once the event loop is blocked. */
  final CountDownLatch loopBlocked = new CountDownLatch(1);

  private final CountDownLatch loopUnblocked = new CountDownLatch(1);
  private volatile String blockAtLogLine;
  private volatile String runAtLogLine;
  private volatile Runnable runAtLog;
  ServeCommand server;

  JsonTestPeers() throws IOException {}

  static String machineEntry(String id, int port, String phase) {
    return "{\"id\":\""
        + id
        + "\",\"host_port\":\"127.0.0.1:"
        + port
        + "\",\"locality\":\"z\",\"flavor\":\"k\","
        + "\"cell\":1,\"phase\":\""
        + phase
        + "\",\"size\":1,\"up_since_ms\":0,\"unasked\":[90,90]}";
  }

  /** A machine list event in the protocol's JSON. */
  static String listEvent(int position, boolean isComplete, String... machines) {
    return "{\"pos\":"
        + position
        + ",\"hosts\":{\"revision\":"
        + position
        + ",\"complete\":"
        + isComplete
        + ",\"members\":["
        + String.join(",", machines)
        + "]}}";
  }

  /** The standard configuration, which lists the one machine as live. */
  String configuration() {
    return configuration(machineList.port(), machineEntry("s-1", machine.port(), "SERVING"));
  }

  /**
   * A configuration with one machine, an idempotent class 'a' and a non-idempotent class 'once'.
   */
  String configuration(int machineListPort, String machineEntry) {
    return "{\"name\":\"n\",\"listen\":\"127.0.0.1:0\",\"seed\":\"8c1f30d27a5be964\","
        + "\"limits\":{\"cores\":1,\"memory_mb\":64,\"sockets\":256},\"journal\":\"127.0.0.1:"
        + machineListPort
        + "\",\"known\":{\"pos\":3,"
        + "\"entries\":["
        + listEvent(3, true, machineEntry)
        + "]},\"settings\":{\"kinds\":[\"k\"],\"lanes\":["
        + "{\"name\":\"a\",\"giveUpUs\":4000000,\"promiseUs\":300000,\"semantics\":\"retryable\"},"
        + "{\"name\":\"once\",\"giveUpUs\":4000000,\"promiseUs\":300000,"
        + "\"semantics\":\"fragile\"}],"
        + "\"tenants\":[{\"name\":\"acme\",\"share\":1}],"
        + "\"caps\":{\"mostTries\":3,\"retryAfter\":true,\"connectTimeoutUs\":250000},"
        + "\"loadReport\":{\"via\":\"off\"},\"extra\":{\"cpuOfKind\":[99],\"memoryByKind\":[99],"
        + "\"freeInList\":true,\"admitCores\":2,\"memBooking\":2,\"settleUs\":600000}}}";
  }

  void start() throws Exception {
    start(configuration());
  }

  void start(String configuration) throws Exception {
    create(configuration);
    server.start();
  }

  /** Creates the scheduler with this configuration without starting it. */
  void create(String configuration) throws Exception {
    Files.writeString(file, configuration);
    server =
        new ServeCommand(
            file,
            new PrintStream(log, true, StandardCharsets.UTF_8) {
              @Override
              public void println(String line) {
                super.println(line);
                String runAt = runAtLogLine;
                if (runAt != null && line.contains(runAt)) {
                  runAtLogLine = null;
                  runAtLog.run();
                }
                String blockAt = blockAtLogLine;
                if (blockAt != null && line.contains(blockAt)) {
                  blockAtLogLine = null;
                  loopBlocked.countDown();
                  try {
                    loopUnblocked.await();
                  } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                  }
                }
              }
            });
  }

  /** Blocks the event loop when it logs a line with this fragment, until {@link #unblockLoop}. */
  void blockLoopAtLog(String fragment) {
    blockAtLogLine = fragment;
  }

  void unblockLoop() {
    loopUnblocked.countDown();
  }

  /** Runs the task on the event loop when it next logs a line with this fragment. */
  void runAtLog(String fragment, Runnable task) {
    runAtLog = task;
    runAtLogLine = fragment;
  }

  /** Waits until a connection to a machine is open or being opened. */
  void awaitMachineConnection() {
    Awaitility.await().until(() -> server.machineConnectionCount() > 0);
  }

  /**
   * Waits until the machine has the request, or fewer clients than that are connected; returns the
   * connection of the request, null after a disconnect. Fails if neither happens: the server no
   * longer reads the client's socket.
   */
  LineConnection awaitRequestOrClose(String vmId, int clients) throws Exception {
    long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(3 * TIMEOUT_SECONDS);
    while (System.nanoTime() < deadline) {
      LineConnection carrier = machine.findRequest(vmId);
      if (carrier != null || server.connectionCount() < clients) {
        return carrier;
      }
      Thread.onSpinWait();
    }
    throw new AssertionError("neither admitted nor closed: " + vmId);
  }

  /** Waits until a line with this fragment is logged. */
  void awaitLog(String fragment) {
    Awaitility.await().until(() -> log.toString(StandardCharsets.UTF_8).contains(fragment));
  }

  /** Accepts the next watch of the machine list and checks that it starts after this position. */
  LineConnection acceptWatch(int position) throws InterruptedException {
    return acceptWatch(machineList, position);
  }

  /** As {@link #acceptWatch(int)}, at the given server. */
  static LineConnection acceptWatch(LineServer server, int position) throws InterruptedException {
    LineConnection watch = server.accept();
    assertThat(watch.receive("tail")).isEqualTo("tail " + position);
    return watch;
  }

  /** A port at which nothing listens. */
  static int unusedPort() throws IOException {
    try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return server.getLocalPort();
    }
  }

  /** Opens connections to the scheduler on which nothing is sent. */
  List<Socket> openIdleConnections(int count) throws IOException {
    List<Socket> sockets = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      sockets.add(new Socket(InetAddress.getLoopbackAddress(), server.port()));
    }
    return sockets;
  }

  static void closeAll(List<Socket> sockets) throws IOException {
    for (Socket socket : sockets) {
      socket.close();
    }
  }

  LineConnection connectClient() throws IOException {
    return new LineConnection(new Socket(InetAddress.getLoopbackAddress(), server.port()));
  }

  /** A placement request with four seconds left. */
  static String request(int number, String priorityClass) {
    return request(
        number, priorityClass, "4000", "cores:1;memory:1;service:00000000b4d65521", "any");
  }

  static String request(
      int number, String priorityClass, String timeLeftMillis, String extras, String description) {
    return "{\"t\":\"new\",\"ref\":\""
        + id(number)
        + "\",\"f\":{\"class\":\""
        + priorityClass
        + "\",\"left\":\""
        + timeLeftMillis
        + "\",\"tenant\":\"acme\",\"key\":\"7f3a9c21e0b4d655\",\"extras\":\""
        + extras
        + "\"},\"d\":\""
        + description
        + "\"}";
  }

  /** The id of the VM of this number. */
  static String id(int number) {
    return String.format("9b1f03aa%08x", number);
  }

  /** A message about the VM of this number, with additional top-level fields. */
  static String message(String type, int number, String topLevelFields) {
    return "{\"t\":\"" + type + "\",\"ref\":\"" + id(number) + "\",\"f\":{}" + topLevelFields + "}";
  }

  @Override
  public void close() throws IOException {
    if (server != null) {
      server.close();
    }
    machine.close();
    machineList.close();
    Files.delete(file);
  }
}
