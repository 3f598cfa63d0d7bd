package fordridge.server.json;

import fordridge.eventloop.EventLoopTimers;
import fordridge.eventloop.LoopTurnMonitor;
import fordridge.eventloop.MonitoredIoHandler;
import fordridge.eventloop.SocketPoller;
import fordridge.json.ClientServer;
import fordridge.json.MachineListWatcher;
import fordridge.observability.StackTraces;
import fordridge.runtime.InputStatistics;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.Future;
import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.JdkLoggerFactory;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * The command {@code serve}: runs one scheduler with the JSON lines protocol as a process. A file
 * configures it; signals reload the configuration and stop the process. Everything runs on one
 * event loop.
 */
public final class ServeCommand implements AutoCloseable {
  private static final String CONFIGURATION_VARIABLE = "LB_CONFIG";
  private static final Duration MAX_WARM_UP_TIME = Duration.ofMillis(1500);

  /**
   * The machine list server sends missed events at once; if there are none, it sends its position
   * every second.
   */
  private static final Duration MAX_MACHINE_LIST_WAIT = Duration.ofMillis(300);

  private static final Duration STATUS_INTERVAL = Duration.ofSeconds(5);
  private static final Logger NETTY_LOGGER = Logger.getLogger("io.netty");

  private final PrintStream err;
  private final Path configurationFile;
  private final InputStatistics inputStatistics = new InputStatistics();
  private final LoopTurnMonitor turnMonitor;
  private final SocketPoller poller = new SocketPoller();
  private final EventLoopGroup loop;
  private final EventLoopTimers timers;
  private final CountDownLatch stopped = new CountDownLatch(1);
  private final CountDownLatch machineListReceived = new CountDownLatch(1);
  private volatile boolean isStopping;
  private volatile ServerConfiguration configuration;
  private volatile JsonSchedulerServer server;
  private volatile ClientServer clients;
  private volatile MachineListWatcher machineListWatcher;

  /** Whether the shutdown has begun. Confined to the event loop. */
  private boolean isShutdownStarted;

  /** Whether a reload was requested before the server was started. Confined to the event loop. */
  private boolean isReloadPending;

  /** Creates the command and reads the configuration; nothing is started yet. */
  public ServeCommand(Path file, PrintStream err) throws IOException {
    InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
    // Netty's log is off: the formatter of java.util.logging opens a file for the time zone, which
    // without a free descriptor failed and ended the event loop's thread.
    NETTY_LOGGER.setLevel(Level.OFF);
    this.err = err;
    this.configurationFile = file;
    configuration = ServerConfiguration.read(file);
    turnMonitor = new LoopTurnMonitor(inputStatistics, this::log);
    loop =
        new MultiThreadIoEventLoopGroup(
            1, MonitoredIoHandler.newFactory(NioIoHandler.newFactory(), turnMonitor, poller));
    timers = new EventLoopTimers(loop.next(), this::logTaskFailure);
  }

  /**
   * Serves until SIGTERM, with the configuration file that the environment names.
   *
   * @return the exit code
   */
  public static int run(PrintStream err) throws InterruptedException {
    // The handler is installed first: without one a SIGHUP ends the JVM.
    ServeCommand[] command = new ServeCommand[1];
    boolean canReload =
        ProcessSignals.handle(
            "HUP",
            () -> {
              if (command[0] != null) {
                command[0].reload();
              }
            });
    if (!canReload) {
      err.println(
          "fordridge serve: started with SIGHUP ignored: the configuration can't be reloaded");
    }
    String path = System.getenv(CONFIGURATION_VARIABLE);
    if (path == null) {
      err.println(
          "fordridge serve: "
              + CONFIGURATION_VARIABLE
              + " is not set, expected the path of the configuration file");
      return 1;
    }
    try {
      command[0] = new ServeCommand(Path.of(path), err);
      ProcessSignals.handle("TERM", () -> command[0].stop());
      command[0].start();
    } catch (IOException | RuntimeException e) {
      err.println("fordridge serve: " + path + ": " + e.getMessage());
      if (command[0] != null) {
        command[0].close();
      }
      return 1;
    }
    command[0].stopped.await();
    return 0;
  }

  private void logTaskFailure(Throwable failure) {
    log("event loop task failed: " + StackTraces.format(failure));
  }

  private void log(String line) {
    err.println(System.currentTimeMillis() + " " + configuration.name() + " " + line);
  }

  /** Starts the scheduler, warms up, and listens; returns once clients may connect. */
  public void start() throws IOException, InterruptedException {
    server =
        new JsonSchedulerServer(loop, timers, poller, configuration, inputStatistics, this::log);
    clients =
        new ClientServer(
            loop,
            timers,
            server.clientRequestHandler(),
            server.clientInputMemory(),
            configuration.maxClientConnections());
    Future<?> started = loop.submit(this::startOnLoop).await();
    if (!started.isSuccess()) {
      throw new IOException(started.cause().getMessage(), started.cause());
    }
    warmUp();
    awaitMachineList();
    if (isStopping) {
      return;
    }
    ChannelFuture listening = clients.listen(configuration.listenAddress()).await();
    if (!listening.isSuccess()) {
      throw new IOException(
          "can't listen on "
              + configuration.listenAddress()
              + ": "
              + listening.cause().getMessage(),
          listening.cause());
    }
    log("serving at " + clients.address() + ", limits " + configuration.limits());
    timers.runEvery(STATUS_INTERVAL, this::logStatus);
  }

  private void startOnLoop() {
    server.start(clients);
    configuration = configuration.withoutMachineList();
    MachineListWatcher watcher =
        new MachineListWatcher(
            loop,
            timers,
            configuration.seed(),
            configuration.machineListPosition(),
            server.machineListListener(),
            this::log);
    watcher.whenFirstContacted(machineListReceived::countDown);
    watcher.watch(configuration.machineListAddress());
    server.setMachineListReader(watcher::readNow);
    machineListWatcher = watcher;
    if (isReloadPending) {
      reload();
    }
  }

  private void warmUp() {
    long startedNanos = System.nanoTime();
    int requests = WarmUp.run(configuration, MAX_WARM_UP_TIME);
    long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedNanos);
    log("warmed up with " + requests + " requests in " + millis + " ms");
  }

  /**
   * Waits for the first message of the machine list watch. The list in the configuration is as old
   * as the process, and a machine that has been drained since must not be offered the first
   * requests.
   */
  private void awaitMachineList() throws InterruptedException {
    if (!machineListReceived.await(MAX_MACHINE_LIST_WAIT.toMillis(), TimeUnit.MILLISECONDS)) {
      log("machine list watch: no message within " + MAX_MACHINE_LIST_WAIT.toMillis() + " ms");
    }
  }

  private void logStatus() {
    log(
        "status: "
            + server.status()
            + ", machine list position "
            + machineListWatcher.position()
            + ", machine list watches "
            + machineListWatcher.describe());
    log("requests: " + server.takeRequestSummary());
    log("event loop: " + turnMonitor.takeSummary());
  }

  /** The number of open client connections. */
  public int connectionCount() throws InterruptedException, ExecutionException {
    return loop.submit(clients::connectionCount).get();
  }

  /** The number of connections to machines that are open or being opened. */
  public int machineConnectionCount() throws InterruptedException, ExecutionException {
    return loop.submit(server::machineConnectionCount).get();
  }

  /** The number of requests, VMs, payloads and notices that are retained. */
  public int retainedCount() throws InterruptedException, ExecutionException {
    return loop.submit(server::retainedCount).get();
  }

  /** The position of the last event of the machine list that was applied. */
  public long machineListPosition() throws InterruptedException, ExecutionException {
    return loop.submit(machineListWatcher::position).get();
  }

  /** The port that clients connect to. */
  public int port() {
    return clients.address().getPort();
  }

  /** Reloads the configuration file; a malformed one is logged and changes nothing. */
  public void reload() {
    log("configuration: reload requested");
    // Run as a timer, as an exception of a plain task of the event loop would not be reported.
    timers.runAfter(Duration.ZERO, this::reloadOnLoop);
  }

  private void reloadOnLoop() {
    if (machineListWatcher == null) {
      isReloadPending = true;
      return;
    }
    try {
      ServerConfiguration next = ServerConfiguration.read(configurationFile).withoutMachineList();
      server.reconfigure(next);
      clients.setMaxConnections(next.maxClientConnections());
      if (!next.listenAddress().equals(configuration.listenAddress())
          || !next.name().equals(configuration.name())) {
        log(
            "configuration: a changed name or listen address needs a restart: "
                + next.name()
                + " "
                + next.listenAddress());
      }
      configuration = next;
      machineListWatcher.watch(next.machineListAddress());
      log("configuration reloaded; machine list watched at " + next.machineListAddress());
    } catch (IOException | RuntimeException e) {
      log("configuration not reloaded, the current one stays in effect: " + e.getMessage());
    }
  }

  /** Shuts down gracefully, see {@link GracefulShutdown}; before the start it stops at once. */
  public void stop() {
    long signalReceivedNanos = System.nanoTime();
    isStopping = true;
    timers.runAfter(Duration.ZERO, () -> stopOnLoop(signalReceivedNanos));
  }

  private void stopOnLoop(long signalReceivedNanos) {
    if (isShutdownStarted) {
      return;
    }
    if (clients == null) {
      stopped.countDown();
      return;
    }
    isShutdownStarted = true;
    log("shutting down: " + server.status());
    new GracefulShutdown(
            timers, server, clients, signalReceivedNanos, this::log, stopped::countDown)
        .start();
  }

  /** Waits until a graceful shutdown is complete; returns false if it is not within the timeout. */
  public boolean awaitStopped(Duration timeout) throws InterruptedException {
    return stopped.await(timeout.toMillis(), TimeUnit.MILLISECONDS);
  }

  /** Closes all connections and stops the event loop. */
  @Override
  @SuppressWarnings("FutureReturnValueIgnored") // Nothing waits for the event loop's termination.
  public void close() {
    if (machineListWatcher != null) {
      loop.execute(machineListWatcher::close);
    }
    if (clients != null) {
      loop.execute(clients::close);
    }
    loop.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }
}
