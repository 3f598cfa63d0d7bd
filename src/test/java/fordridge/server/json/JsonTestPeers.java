package fordridge.server.json;

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

/** Scripted peers of a real placer on loopback: they do just what a test tells them. */
final class JsonTestPeers implements AutoCloseable {
  static final String END = "(closed)";

  /** One connection, its lines as they come, {@link #END} last. */
  static final class Wire implements AutoCloseable {
    final Socket socket;
    final BlockingQueue<String> lines = new LinkedBlockingQueue<>();

    Wire(Socket socket) {
      this.socket = socket;
      Thread t =
          new Thread(
              () -> {
                try (BufferedReader in =
                    new BufferedReader(
                        new InputStreamReader(socket.getInputStream(), StandardCharsets.UTF_8))) {
                  for (String l = in.readLine(); l != null; l = in.readLine()) {
                    lines.add(l);
                  }
                  lines.add(END);
                  // Kept open: a peer may still write after the placer has closed its side.
                  Thread.sleep(60_000);
                } catch (IOException | InterruptedException e) {
                  lines.add(END);
                }
              });
      t.setDaemon(true);
      t.start();
    }

    void say(String text) throws IOException {
      socket.getOutputStream().write((text + "\n").getBytes(StandardCharsets.UTF_8));
    }

    /** The next line that holds this, others are passed over; null if none comes in time. */
    String next(String holding) throws InterruptedException {
      long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
      for (String l; (l = lines.poll(until - System.nanoTime(), TimeUnit.NANOSECONDS)) != null; ) {
        if (l.contains(holding)) {
          return l;
        }
        if (l.equals(END)) {
          return END;
        }
      }
      return null;
    }

    /** All that has come until the peer answers a test: what it sent before, it has sent. */
    List<String> untilTested() throws IOException, InterruptedException {
      say(word("hb", 0, ",\"c\":0"));
      List<String> before = new ArrayList<>();
      for (String l = next(""); l != null && !l.equals(END); l = next("")) {
        if (l.contains("\"hb_ok\"")) {
          return before;
        }
        before.add(l);
      }
      throw new IOException("no answer to a test; before: " + before);
    }

    /** A reset, not an orderly end. */
    void reset() throws IOException {
      socket.setSoLinger(true, 0);
      socket.close();
    }

    @Override
    public void close() throws IOException {
      socket.close();
    }
  }

  /** A listener, and the connections it was given in order. */
  static final class Listener implements AutoCloseable {
    final ServerSocket server;
    final BlockingQueue<Wire> wires = new LinkedBlockingQueue<>();
    final List<Wire> all = new ArrayList<>();

    Listener(int port) throws IOException {
      server = new ServerSocket();
      server.setReuseAddress(true);
      server.bind(new java.net.InetSocketAddress(InetAddress.getLoopbackAddress(), port));
      Thread t =
          new Thread(
              () -> {
                try {
                  while (true) {
                    Wire w = new Wire(server.accept());
                    synchronized (all) {
                      all.add(w);
                    }
                    wires.add(w);
                  }
                } catch (IOException e) {
                  return;
                }
              });
      t.setDaemon(true);
      t.start();
    }

    int port() {
      return server.getLocalPort();
    }

    Wire next() throws InterruptedException {
      return wires.poll(10, TimeUnit.SECONDS);
    }

    /** The next connection on which a line that holds this comes, probes on others passed over. */
    Wire carrying(String holding, String[] line) throws InterruptedException {
      long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
      while (System.nanoTime() < until) {
        List<Wire> some;
        synchronized (all) {
          some = List.copyOf(all);
        }
        for (Wire w : some) {
          for (String l : w.lines) {
            if (l.contains(holding)) {
              w.lines.remove(l);
              line[0] = l;
              return w;
            }
          }
        }
        Thread.onSpinWait();
      }
      return null;
    }

    @Override
    public void close() throws IOException {
      server.close();
      synchronized (all) {
        for (Wire w : all) {
          w.close();
        }
      }
    }
  }

  /** A listener at which nothing comes up until it is let: its queue of connections is full. */
  static final class Barrier implements AutoCloseable {
    final ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
    private final List<Socket> fillers = new ArrayList<>();

    Barrier() throws IOException {
      for (boolean full = false; !full; ) {
        Socket s = new Socket();
        try {
          s.connect(server.getLocalSocketAddress(), 200);
          fillers.add(s);
        } catch (java.net.SocketTimeoutException e) {
          full = true;
          s.close();
        }
      }
    }

    int port() {
      return server.getLocalPort();
    }

    /** Lets connections come up; the first that is not one of its own. */
    Wire lift() throws IOException {
      List<Integer> own = fillers.stream().map(Socket::getLocalPort).toList();
      server.setSoTimeout(10_000);
      while (true) {
        Socket s = server.accept();
        if (!own.contains(s.getPort())) {
          return new Wire(s);
        }
        s.close();
      }
    }

    @Override
    public void close() throws IOException {
      server.close();
      for (Socket s : fillers) {
        s.close();
      }
    }
  }

  final Listener machine = new Listener(0);
  final Listener journal = new Listener(0);
  final Path file = Files.createTempFile("configuration", ".json");
  final java.io.ByteArrayOutputStream log = new java.io.ByteArrayOutputStream();

  /** The loop stands at the line of its log that it was to be held at. */
  final CountDownLatch held = new CountDownLatch(1);

  final CountDownLatch letGo = new CountDownLatch(1);
  private volatile String holdAt;
  private volatile String actAt;
  private volatile Runnable action;
  ServeCommand program;

  JsonTestPeers() throws IOException {}

  static String member(String id, int port, String phase) {
    return "{\"id\":\""
        + id
        + "\",\"host_port\":\"127.0.0.1:"
        + port
        + "\",\"locality\":\"z\",\"flavor\":\"k\","
        + "\"cell\":1,\"phase\":\""
        + phase
        + "\",\"size\":1,\"up_since_ms\":0,\"unasked\":[90,90]}";
  }

  static String event(int pos, boolean whole, String... members) {
    return "{\"pos\":"
        + pos
        + ",\"hosts\":{\"revision\":"
        + pos
        + ",\"complete\":"
        + whole
        + ",\"members\":["
        + String.join(",", members)
        + "]}}";
  }

  /**
   * A configuration with one machine, one rebuildable flavour 'a' and one that must not run twice,
   * 'once'.
   */
  String configuration(int journalPort, String member) {
    return "{\"name\":\"n\",\"listen\":\"127.0.0.1:0\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1,"
        + "\"memory_mb\":64,\"sockets\":256},\"journal\":\"127.0.0.1:"
        + journalPort
        + "\",\"known\":{\"pos\":3,"
        + "\"entries\":["
        + event(3, true, member)
        + "]},\"settings\":{\"kinds\":[\"k\"],\"lanes\":["
        + "{\"name\":\"a\",\"giveUpUs\":4000000,\"promiseUs\":300000,\"semantics\":\"retryable\"},"
        + "{\"name\":\"once\",\"giveUpUs\":4000000,\"promiseUs\":300000,\"semantics\":\"fragile\"}],"
        + "\"tenants\":[{\"name\":\"acme\",\"share\":1}],"
        + "\"caps\":{\"mostTries\":3,\"retryAfter\":true,\"connectTimeoutUs\":250000},"
        + "\"loadReport\":{\"via\":\"off\"},\"extra\":{\"cpuOfKind\":[99],\"memoryByKind\":[99],"
        + "\"freeInList\":true,\"admitCores\":2,\"memBooking\":2,\"settleUs\":600000}}}";
  }

  void start() throws Exception {
    start(configuration(journal.port(), member("s-1", machine.port(), "SERVING")));
  }

  void start(String configuration) throws Exception {
    write(configuration);
    program.start();
  }

  /** The program with this configuration, not started yet. */
  void write(String configuration) throws Exception {
    Files.writeString(file, configuration);
    program =
        new ServeCommand(
            file,
            new PrintStream(log, true, StandardCharsets.UTF_8) {
              @Override
              public void println(String line) {
                super.println(line);
                String acts = actAt;
                if (acts != null && line.contains(acts)) {
                  actAt = null;
                  action.run();
                }
                String at = holdAt;
                if (at != null && line.contains(at)) {
                  holdAt = null;
                  held.countDown();
                  try {
                    letGo.await();
                  } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                  }
                }
              }
            });
  }

  /** Holds whoever logs such a line, and with it the loop, till it is let go. */
  void holdLoopAtLog(String line) {
    holdAt = line;
  }

  /** Whoever logs such a line next, the loop mostly, first does this. */
  void atLog(String line, Runnable then) {
    action = then;
    actAt = line;
  }

  Wire owner() throws IOException {
    return new Wire(new Socket(InetAddress.getLoopbackAddress(), program.port()));
  }

  static String ask(int n, String priorityClass) {
    return ask(n, priorityClass, "4000", "cores:1;memory:1;service:00000000b4d65521", "any");
  }

  static String ask(int n, String priorityClass, String left, String extras, String description) {
    return "{\"t\":\"new\",\"ref\":\""
        + ref(n)
        + "\",\"f\":{\"class\":\""
        + priorityClass
        + "\",\"left\":\""
        + left
        + "\",\"tenant\":\"acme\",\"key\":\"7f3a9c21e0b4d655\",\"extras\":\""
        + extras
        + "\"},\"d\":\""
        + description
        + "\"}";
  }

  static String ref(int n) {
    return String.format("9b1f03aa%08x", n);
  }

  static String word(String type, int n, String more) {
    return "{\"t\":\"" + type + "\",\"ref\":\"" + ref(n) + "\",\"f\":{}" + more + "}";
  }

  @Override
  public void close() throws Exception {
    if (program != null) {
      program.close();
    }
    machine.close();
    journal.close();
    Files.delete(file);
  }
}
