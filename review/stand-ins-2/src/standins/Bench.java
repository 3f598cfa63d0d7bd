package standins;

import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * The stand-ins of a case: the platform that starts the scheduler, the journal service, machines and
 * clients, all on loopback and on the real clock. What passes is written to the record.
 */
final class Bench {
  /** The case could not run. */
  static final class CannotRun extends RuntimeException {
    CannotRun(String reason) {
      super(reason);
    }
  }

  static final String HOST = "127.0.0.1";
  static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));
  private static final long MAX_RUN_SECONDS = 110;

  private final long startNanos = System.nanoTime();
  private final PrintWriter record;
  final ScheduledExecutorService timer = Executors.newScheduledThreadPool(4, Bench::daemon);
  private final List<String> violations = new CopyOnWriteArrayList<>();
  private Process scheduler;
  private Path folder;

  /** Schedulers of the deployment that get no requests, and their folders. */
  private final Map<Process, Path> others = new ConcurrentHashMap<>();

  /** What a case does with the stand-ins. */
  interface Body {
    void run(Bench bench) throws Exception;
  }

  private Bench(Path recordFile) throws IOException {
    record = new PrintWriter(Files.newBufferedWriter(recordFile), true);
  }

  private static Thread daemon(Runnable task) {
    Thread thread = new Thread(task);
    thread.setDaemon(true);
    return thread;
  }

  /** Runs a case and exits: 1 if a rule was broken, 0 if all held, 2 if the case could not run. */
  static void main(String[] args, Body body) throws Exception {
    Bench bench = new Bench(Path.of(args[0]));
    Runtime.getRuntime().addShutdownHook(new Thread(bench::endScheduler));
    bench.timer.schedule(
        () -> {
          bench.log("the case took longer than " + MAX_RUN_SECONDS + " s");
          System.exit(2);
        },
        MAX_RUN_SECONDS,
        TimeUnit.SECONDS);
    int code;
    try {
      bench.log("trouble " + (TROUBLE ? "on" : "off"));
      body.run(bench);
      code = bench.violations.isEmpty() ? 0 : 1;
    } catch (CannotRun | IOException e) {
      bench.log("could not run: " + e);
      code = 2;
    } catch (RuntimeException e) {
      bench.log("could not run: " + e);
      e.printStackTrace();
      code = 2;
    }
    bench.endScheduler();
    bench.log("exit " + code + ", violations " + bench.violations.size());
    System.out.println("exit " + code + " " + bench.violations);
    System.exit(code);
  }

  long millis() {
    return (System.nanoTime() - startNanos) / 1_000_000;
  }

  synchronized void log(String line) {
    record.println(millis() + " ms " + line);
  }

  void violation(String what) {
    violations.add(what);
    log("BROKEN: " + what);
  }

  void sleep(long millis) throws InterruptedException {
    Thread.sleep(Math.max(0, millis));
  }

  /** Waits until the condition holds; returns whether it did within the time. */
  boolean await(long millis, BooleanSupplier condition) throws InterruptedException {
    long until = millis() + millis;
    while (!condition.getAsBoolean()) {
      if (millis() >= until) {
        return false;
      }
      Thread.sleep(5);
    }
    return true;
  }

  void require(boolean condition, String otherwise) {
    if (!condition) {
      throw new CannotRun(otherwise);
    }
  }

  static ServerSocket listen(int port, int backlog) throws IOException {
    ServerSocket socket = new ServerSocket();
    socket.setReuseAddress(true);
    socket.bind(new java.net.InetSocketAddress(InetAddress.getByName(HOST), port), backlog);
    return socket;
  }

  // The platform

  /** Starts the scheduler by the deploy file's command, with this configuration. */
  int startScheduler(String journal, String knownEvents, long knownPosition, String settings)
      throws IOException {
    int port;
    try (ServerSocket free = listen(0, 1)) {
      port = free.getLocalPort();
    }
    startScheduler(port, journal, knownEvents, knownPosition, settings);
    return port;
  }

  /** Starts a further scheduler of the deployment, to which no request is sent. */
  Process startOther(
      String name, String journal, String knownEvents, long knownPosition, String settings)
      throws IOException {
    Path ownFolder = Files.createTempDirectory("fordridge-case");
    Process other;
    try (ServerSocket free = listen(0, 1)) {
      other =
          start(
              ownFolder, name, free.getLocalPort(), journal, knownEvents, knownPosition, settings);
    }
    others.put(other, ownFolder);
    log("scheduler " + name + " started");
    return other;
  }

  void startScheduler(
      int port, String journal, String knownEvents, long knownPosition, String settings)
      throws IOException {
    if (folder == null) {
      folder = Files.createTempDirectory("fordridge-case");
    }
    scheduler = start(folder, "n1", port, journal, knownEvents, knownPosition, settings);
    log("scheduler started at port " + port);
  }

  private static Process start(
      Path folder,
      String name,
      int port,
      String journal,
      String knownEvents,
      long knownPosition,
      String settings)
      throws IOException {
    Path config = folder.resolve("config.json");
    Files.writeString(
        config,
        "{\"name\":\"" + name + "\",\"listen\":\"" + HOST + ":" + port + "\",\"seed\":\""
            + "8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":128,\"sockets\":256},"
            + "\"journal\":\"" + journal + "\",\"known\":{\"pos\":" + knownPosition
            + ",\"entries\":[" + knownEvents + "]},\"settings\":" + settings + "}\n");
    Path temporary = Files.createDirectories(folder.resolve("tmp"));
    ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", runCommand());
    builder.environment().put("LB_CONFIG", config.toString());
    builder.environment().put("LB_NAME", name);
    builder.environment().put("LB_LISTEN", HOST + ":" + port);
    builder.environment().put("TMPDIR", temporary.toString());
    builder.redirectErrorStream(true);
    builder.redirectOutput(folder.resolve("scheduler.log").toFile());
    return builder.start();
  }

  private static String runCommand() throws IOException {
    for (String line : Files.readAllLines(Path.of("deploy/balancer.toml"))) {
      if (line.startsWith("run = \"")) {
        return line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')).replace("\\\"", "\"");
      }
    }
    throw new CannotRun("deploy/balancer.toml has no line run");
  }

  /** Sends the scheduler's process a signal. */
  void signal(String name) throws IOException, InterruptedException {
    signal(name, scheduler);
  }

  void signal(String name, Process process) throws IOException, InterruptedException {
    Process kill = new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start();
    require(kill.waitFor() == 0, "the signal " + name + " could not be sent");
    log("platform: signal " + name + " to " + (process == scheduler ? "n1" : "another scheduler"));
  }

  boolean isSchedulerAlive() {
    return scheduler != null && scheduler.isAlive();
  }

  private synchronized void endScheduler() {
    for (Map.Entry<Process, Path> other : others.entrySet()) {
      other.getKey().destroyForcibly();
      try {
        other.getKey().waitFor(5, TimeUnit.SECONDS);
        for (String file : List.of("scheduler.log", "config.json", "tmp", "")) {
          Files.deleteIfExists(other.getValue().resolve(file));
        }
      } catch (IOException | InterruptedException e) {
        record.println("folder of a scheduler not removed: " + e);
      }
    }
    others.clear();
    if (scheduler == null) {
      return;
    }
    scheduler.destroyForcibly();
    try {
      scheduler.waitFor(5, TimeUnit.SECONDS);
      Path log = folder.resolve("scheduler.log");
      record.println("--- log of the scheduler");
      for (String line : Files.readAllLines(log, StandardCharsets.UTF_8)) {
        if (!line.contains(" status: ") && !line.contains("event loop: ")) {
          record.println(line);
        }
      }
      Files.deleteIfExists(log);
      Files.deleteIfExists(folder.resolve("config.json"));
      Files.deleteIfExists(folder.resolve("tmp"));
      Files.deleteIfExists(folder);
    } catch (IOException | InterruptedException e) {
      record.println("log of the scheduler not copied: " + e);
    }
    record.println("---");
    scheduler = null;
  }

  // Settings and entries of the machine list

  /**
   * Settings of a small deployment: those of the page on the wire for dar-main, with one scheduler.
   */
  static String settings() {
    return "{\"caps\":{\"connIdleUs\":15000000,\"connectTimeoutUs\":250000,\"maxRetryAfterUs\":3000000,"
        + "\"mayCancel\":true,\"mostTries\":3,\"peerMessages\":false,\"probes\":true,"
        + "\"retryAfter\":true,\"secondCopies\":false},\"clients\":{\"marksRetry\":true},"
        + "\"dcs\":[\"dar-dc1\"],\"discovery\":\"push\",\"extra\":{\"admitCores\":2.5,"
        + "\"calmLevel\":[1.0,0.8,0.8],\"classMost\":[2,2,2],"
        + "\"classSpread\":[\"off\",\"off\",\"machine\"],\"coldBears\":65.0,\"cpuOfKind\":[31,56],"
        + "\"evictCounts\":2.0,\"fadeSpan\":[1.0,0.15,0.15],\"freeInList\":true,"
        + "\"kindByClass\":[-1,-1,1],\"meanCores\":1.08,\"memBooking\":1.5,"
        + "\"memoryByKind\":[50.0,127.0],\"precedence\":[0,1,2],\"pushesOut\":true,"
        + "\"refusalFee\":0.03,\"reportCounts\":\"used\",\"saysPressure\":true,\"saysUse\":true,"
        + "\"saysYes\":\"running\",\"settleUs\":3000000,\"shareCores\":[233.0,194.0,142.0,78.0],"
        + "\"startSeconds\":[10.0,10.0,12.0],\"sticks\":false,\"usualMemory\":1.82},"
        + "\"family\":\"place\",\"kinds\":[\"node-std\",\"node-big\"],\"lanes\":["
        + "{\"dedupScope\":\"all\",\"giveUpUs\":5000000,\"lateWorth\":0.1,\"longLived\":true,"
        + "\"name\":\"lobby\",\"promiseUs\":600000,\"semantics\":\"retryable\","
        + "\"windowUs\":5000000,\"worth\":1.0},"
        + "{\"dedupScope\":\"all\",\"giveUpUs\":6000000,\"lateWorth\":0.1,\"longLived\":true,"
        + "\"name\":\"matcher\",\"promiseUs\":700000,\"semantics\":\"retryable\","
        + "\"windowUs\":5000000,\"worth\":1.0},"
        + "{\"dedupScope\":\"all\",\"giveUpUs\":8000000,\"lateWorth\":0.1,\"longLived\":true,"
        + "\"name\":\"race-host\",\"promiseUs\":800000,\"semantics\":\"fragile\","
        + "\"windowUs\":5000000,\"worth\":5.0}],\"layer\":0,\"layers\":[\"match-fleet\"],"
        + "\"loadReport\":{\"fields\":[\"x0\",\"x1\",\"utilization\"],\"via\":\"on_probe\"},"
        + "\"nInstances\":1,\"obligations\":{\"answerSlackUs\":8000,\"askWithinUs\":10000000,"
        + "\"coldFrom\":0.17,\"drainGraceUs\":500000,\"fallMultiple\":3.0,"
        + "\"overloadForUs\":1000000,\"warmAfterUs\":18000000},\"overShareWorth\":0.1,"
        + "\"position\":0,\"prices\":{\"connection\":0.0,\"crossZone\":0.0,\"fleet\":0.25,"
        + "\"moves\":0.05,\"peer\":0.0,\"probe\":0.003,\"waste\":0.03},\"tenants\":["
        + "{\"name\":\"kasi-motors\",\"quotaPerS\":12.0,\"share\":0.36},"
        + "{\"name\":\"upepo-games\",\"quotaPerS\":10.0,\"share\":0.3},"
        + "{\"name\":\"mbio-studio\",\"quotaPerS\":7.0,\"share\":0.22},"
        + "{\"name\":\"tairi-play\",\"quotaPerS\":4.0,\"share\":0.12}],\"tickUs\":2000,"
        + "\"weightKind\":\"off\",\"worthBy\":\"work\",\"zone\":\"dar-dc1\"}";
  }

  /** An entry of the machine list; a machine of kind node-big. */
  static String entry(String id, String address, int cell, String phase, long upSinceMillis) {
    return "{\"id\":\"" + id + "\",\"host_port\":\"" + address + "\",\"locality\":\"dar-dc1\","
        + "\"flavor\":\"node-big\",\"cell\":" + cell + ",\"phase\":\"" + phase
        + "\",\"size\":1,\"up_since_ms\":" + upSinceMillis + ",\"unasked\":[56,127]}";
  }

  static String event(long position, boolean isComplete, String... entries) {
    return "{\"pos\":" + position + ",\"hosts\":{\"revision\":" + position + ",\"complete\":"
        + isComplete + ",\"members\":[" + String.join(",", entries) + "]}}";
  }

  // The journal service

  /** The journal service; numbers its events from 1. */
  final class Journal {
    private final ServerSocket server = listen(0, 50);
    private final List<String> events = new ArrayList<>();

    /** How long the service takes from a request for the events to its first line. */
    volatile long answerDelayMillis;

    Journal() throws IOException {
      Thread acceptor = daemon(this::accept);
      acceptor.start();
    }

    String address() {
      return HOST + ":" + server.getLocalPort();
    }

    /** Adds an event; returns its position. */
    synchronized long add(boolean isComplete, String... entries) {
      long position = events.size() + 1;
      String event = event(position, isComplete, entries);
      events.add(event);
      log("journal: event " + event);
      return position;
    }

    synchronized long position() {
      return events.size();
    }

    synchronized String allEvents() {
      return String.join(",", events);
    }

    private synchronized List<String> after(long position) {
      return List.copyOf(events.subList((int) position, events.size()));
    }

    private void accept() {
      try {
        while (true) {
          Wire wire = new Wire(server.accept(), "journal");
          wire.read(line -> follow(wire, line), () -> log("journal: connection ended"));
        }
      } catch (IOException e) {
        log("journal: " + e);
      }
    }

    private void follow(Wire wire, String request) {
      log("journal: asked \"" + request + "\"");
      long from = Long.parseLong(request.substring("tail ".length()));
      Thread teller = daemon(() -> tell(wire, from));
      teller.start();
    }

    private void tell(Wire wire, long from) {
      try {
        Thread.sleep(answerDelayMillis);
        long position = from;
        long numberAt = 0;
        while (wire.isOpen()) {
          for (String event : after(position)) {
            if (!wire.write(event)) {
              return;
            }
            position++;
            log("journal: told event " + position);
          }
          if (millis() >= numberAt) {
            wire.write(Long.toString(position));
            numberAt = millis() + 1000;
          }
          Thread.sleep(10);
        }
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }

  // Machines

  /** A task on a machine. */
  static final class Task {
    final String ref;
    final String key;
    final Wire setUpOn;
    volatile boolean stands;
    volatile long standsSince;

    Task(String ref, String key, Wire setUpOn) {
      this.ref = ref;
      this.key = key;
      this.setUpOn = setUpOn;
    }
  }

  /**
   * A machine. It accepts what fits, answers when the task runs, sends what concerns a task on the
   * connection of its set-up or else on any open one, and its releases also on the next connection
   * to be opened.
   */
  class Machine {
    final String id;
    final int port;
    private volatile ServerSocket server;
    final Map<String, Task> tasks = new ConcurrentHashMap<>();
    private final List<Wire> wires = new CopyOnWriteArrayList<>();

    /** Releases that are to be repeated on the next connection. */
    private final Map<String, String> owed = new ConcurrentHashMap<>();

    volatile boolean isDraining;
    private volatile boolean isDead;
    volatile long startMillis = 30;

    /** How long a task stands until it ends by itself; 0 for ever. */
    volatile long lifeMillis;
    /** How many connections the machine takes; it refuses others. */
    volatile int maxConnections = Integer.MAX_VALUE;

    private static final long NOTE_INTERVAL_MILLIS = 1000;

    /** A task is first noted when it has stood for this long. */
    private static final long NOTED_AFTER_MILLIS = 2000;

    Machine(String id, int port) throws IOException {
      this.id = id;
      server = listen(port, 50);
      this.port = server.getLocalPort();
      daemon(this::accept).start();
      timer.scheduleAtFixedRate(
          this::sendNotes, NOTE_INTERVAL_MILLIS, NOTE_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    String address() {
      return HOST + ":" + port;
    }

    int connectionCount() {
      return wires.size();
    }

    /** Ends the process: connections are reset and tasks cut. */
    void die() throws IOException {
      log(id + ": dies, tasks " + tasks.keySet());
      isDead = true;
      server.close();
      tasks.clear();
      wires.forEach(Wire::reset);
    }

    /** A set-up arrived; returns the answer's cause if it is refused, or 0. */
    int refusalOf(Message message) {
      return isDraining ? 34 : 0;
    }

    /** A set-up was taken: the task is among the machine's from now on. */
    void setUpTaken(Task task) {}

    private void accept() {
      try {
        while (!isDead) {
          if (wires.size() < maxConnections) {
            connected(new Wire(server.accept(), id));
          } else {
            refuseWhileFull();
          }
        }
      } catch (IOException | InterruptedException e) {
        log(id + ": " + e);
      }
    }

    private void refuseWhileFull() throws IOException, InterruptedException {
      server.close();
      log(id + ": has all the connections that it takes, refuses others");
      while (wires.size() >= maxConnections && !isDead) {
        Thread.sleep(2);
      }
      if (!isDead) {
        server = listen(port, 50);
        log(id + ": takes connections again");
      }
    }

    private void connected(Wire wire) {
      wires.add(wire);
      log(id + ": connection from " + wire.socket.getPort());
      owed.forEach(
          (ref, line) -> {
            log(id + ": repeats on the new connection " + line);
            wire.write(line);
          });
      owed.clear();
      wire.read(
          line -> received(wire, Message.read(line)),
          () -> {
            wires.remove(wire);
            tasks.values().removeIf(task -> task.setUpOn == wire && !task.stands);
            log(id + ": connection from " + wire.socket.getPort() + " ended");
          });
    }

    private void received(Wire wire, Message message) {
      if (!message.type().equals("hb")) {
        log(id + ": got " + message + " on " + wire.socket.getPort());
      }
      switch (message.type()) {
        case "new" -> setUp(wire, message);
        case "down" -> ended(wire, message);
        case "hb" -> {
          if (message.cause() == 1) {
            wire.write(
                Message.line(
                    "hb_ok", message.ref(), 1, null, "load", "x0:50;x1:120;utilization:0.1"));
          } else {
            wire.write(Message.line("hb_ok", message.ref(), 1, null));
          }
        }
        case "ack" -> owed.remove(message.ref());
        default -> {}
      }
    }

    private void setUp(Wire wire, Message message) {
      int refusal = refusalOf(message);
      if (refusal != 0) {
        send(wire, Message.line("down", message.ref(), refusal, null, "note", "nh"));
        return;
      }
      Task task = new Task(message.ref(), (String) message.fields().get("key"), wire);
      tasks.put(task.ref, task);
      setUpTaken(task);
      timer.schedule(
          () -> {
            if (tasks.get(task.ref) == task) {
              task.standsSince = millis();
              task.stands = true;
              send(wire, Message.line("up", task.ref, -1, "made by " + id + " for " + task.ref));
              if (lifeMillis > 0) {
                timer.schedule(() -> finish(task.ref), lifeMillis, TimeUnit.MILLISECONDS);
              }
            }
          },
          startMillis,
          TimeUnit.MILLISECONDS);
    }

    private void ended(Wire wire, Message message) {
      Task task = tasks.remove(message.ref());
      send(wire, Message.line("ack", message.ref(), -1, null));
      if (task != null && task.stands) {
        release(task, 31);
      }
    }

    /** A standing task ends by itself. */
    void finish(String ref) {
      Task task = tasks.remove(ref);
      if (task != null) {
        log(id + ": task " + ref + " has ended");
        release(task, 16);
      }
    }

    private void release(Task task, int cause) {
      String line = Message.line("down", task.ref, cause, null);
      owed.put(task.ref, line);
      if (task.setUpOn.isOpen()) {
        send(task.setUpOn, line);
        return;
      }
      for (Wire wire : wires) {
        if (wire.isOpen()) {
          send(wire, line);
          return;
        }
      }
      log(id + ": no open connection for " + line);
    }

    private void sendNotes() {
      for (Task task : tasks.values()) {
        if (task.stands && millis() - task.standsSince >= NOTED_AFTER_MILLIS) {
          String line = Message.line("tell", task.ref, -1, null, "note", "c", "value", "0.6");
          Wire wire = task.setUpOn.isOpen() ? task.setUpOn : wires.isEmpty() ? null : wires.get(0);
          if (wire != null) {
            wire.write(line);
          }
        }
      }
    }

    void send(Wire wire, String line) {
      log(id + ": sends " + line + " on " + wire.socket.getPort());
      wire.write(line);
    }
  }

  // Clients

  /** What a client was told of a request. */
  static final class Request {
    final String ref;
    volatile long sentAt;
    volatile Message answer;
    volatile long answeredAt;
    volatile Message release;
    volatile long releasedAt;

    Request(String ref) {
      this.ref = ref;
    }

    boolean stands() {
      return answer != null && answer.type().equals("up");
    }
  }

  /** A client with connections of its own; its requests are shared by its connections. */
  final class Client {
    private final int port;
    final Map<String, Request> requests = new ConcurrentHashMap<>();
    private Wire wire;
    volatile String tenant = "kasi-motors";
    private volatile long connectedAt;

    /** Whether no request was sent on the connection. */
    private volatile boolean isWithoutTask;

    Client(int port) {
      this.port = port;
    }

    /** Connects, and waits until the scheduler passes a test. */
    void connectWhenReady() throws InterruptedException, IOException {
      boolean[] passed = new boolean[1];
      boolean isReady =
          await(
              30_000,
              () -> {
                try {
                  if (!isSchedulerAlive()) {
                    throw new CannotRun("the scheduler has ended");
                  }
                  Wire test = new Wire(new Socket(HOST, port), "test");
                  test.read(line -> passed[0] |= Message.read(line).cause() == 1, () -> {});
                  test.write(Message.line("hb", "00000000000000aa", 0, null));
                  await(300, () -> passed[0]);
                  test.close();
                } catch (IOException | InterruptedException e) {
                  // Not ready yet.
                }
                return passed[0];
              });
      require(isReady, "the scheduler was not ready within 30 s");
      log("scheduler ready");
      connect();
    }

    /**
     * Tests the scheduler, on a new connection if there is none. A connection that has carried only
     * tests is closed after four seconds.
     */
    void test() {
      try {
        if (isConnected() && isWithoutTask && millis() - connectedAt > 4_000) {
          wire.close();
        }
        if (!isConnected()) {
          connect();
        }
        wire.write(Message.line("hb", "00000000000000aa", 0, null));
      } catch (IOException e) {
        log("client: " + e);
      }
    }

    /** Resets the client's connection. */
    void reset() {
      log("client: resets " + wire.socket.getLocalPort());
      wire.reset();
    }

    Wire connect() throws IOException {
      Wire connected = new Wire(new Socket(HOST, port), "client");
      connected.read(
          line -> received(connected, Message.read(line)),
          () -> log("client: connection " + connected.socket.getLocalPort() + " ended"));
      log("client: connected from " + connected.socket.getLocalPort());
      wire = connected;
      connectedAt = millis();
      isWithoutTask = true;
      return connected;
    }

    boolean isConnected() {
      return wire != null && wire.isOpen();
    }

    private void received(Wire on, Message message) {
      log("client: got " + message + " on " + on.socket.getLocalPort());
      Request request = requests.get(message.ref());
      if (request == null || message.type().equals("wait")) {
        return;
      }
      if (request.answer == null) {
        request.answeredAt = millis();
        request.answer = message;
      } else if (message.type().equals("down")) {
        if (request.release == null) {
          request.releasedAt = millis();
          request.release = message;
        }
        on.write(Message.line("ack", message.ref(), -1, null));
      }
    }

    Request ask(String ref, String priorityClass, long leftMillis, String service)
        throws IOException {
      return ask(ref, priorityClass, leftMillis, service, "");
    }

    Request ask(
        String ref, String priorityClass, long leftMillis, String service, String moreExtras)
        throws IOException {
      if (!isConnected()) {
        connect();
      }
      isWithoutTask = false;
      Request request = new Request(ref);
      requests.put(ref, request);
      String line =
          Message.line(
              "new", ref, -1, "description of " + ref, "class", priorityClass, "left",
              Long.toString(leftMillis), "tenant", tenant, "key", ref, "extras",
              "cores:1;memory:1;service:" + service + moreExtras);
      request.sentAt = millis();
      log("client: sends " + line + " on " + wire.socket.getLocalPort());
      wire.write(line);
      return request;
    }
  }
}
