package fordridge.server.grpc;

import fordridge.constraint.PlacementConstraint;
import fordridge.discovery.MachineListFile;
import fordridge.discovery.MachineListSource;
import fordridge.etcd.EtcdMachineList;
import fordridge.eventloop.PolledEventLoops;
import fordridge.grpc.ClientService;
import fordridge.grpc.GossipSocket;
import fordridge.grpc.OperatorService;
import fordridge.observability.Metrics;
import fordridge.observability.MetricsServer;
import fordridge.settings.DeploymentSettings;
import fordridge.settings.InstanceSettings;
import fordridge.settings.InvalidSettingsException;
import fordridge.settings.SettingsUpdate;
import io.grpc.Server;
import io.grpc.netty.NettyServerBuilder;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.io.File;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The program {@code fordridge placer}: the scheduler instances of one process, with their gRPC
 * servers, machine lists, constraints, gossip sockets and metrics. Owns all of them until {@link
 * #shutdown} or {@link #close}.
 */
public final class PlacerProcess implements AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger("fordridge.scheduler");

  /**
   * HTTP/2's default initial window, its smallest. It limits the data that a client has sent and
   * the scheduler has not read, and with it the time that a request can wait unread.
   */
  private static final int CLIENT_FLOW_CONTROL_WINDOW_BYTES = 65_535;

  /** The shortest interval at which clients may send keepalive pings. */
  private static final Duration MIN_CLIENT_KEEPALIVE = Duration.ofMillis(100);

  private static final Duration LAG_SAMPLE_INTERVAL = Duration.ofMillis(20);
  private static final Duration SCHEDULER_COUNT_POLL_INTERVAL = Duration.ofMillis(200);

  /** How long a shutdown waits for the sockets to send the last responses. */
  private static final Duration RESPONSE_FLUSH_TIMEOUT = Duration.ofMillis(500);

  private static final int GROUP_PLANNER_THREADS = 2;
  private static final int MAX_QUEUED_GROUP_PLANS = 1024;

  private final DeploymentSettings settings;
  private final long seed;
  private final PolledEventLoops eventLoops;
  private final ExecutorService groupPlanner = newGroupPlanner();
  private final Metrics metrics = new Metrics();
  private final List<MachineListSource> machineLists = new ArrayList<>();
  private final List<GrpcSchedulerServer> instances = new ArrayList<>();
  private final List<GossipSocket> gossipSockets = new ArrayList<>();
  private final List<Server> servers = new ArrayList<>();
  private Optional<ConstraintUpdater> constraintUpdater = Optional.empty();
  private Optional<MetricsServer> metricsServer = Optional.empty();

  /**
   * Starts all instances. If a resource is unavailable (a port, the machine list), everything that
   * was started is closed, and the exception names the resource in one line.
   */
  public PlacerProcess(DeploymentSettings settings) throws IOException, InvalidSettingsException {
    this.settings = settings;
    InstanceSettings instance = settings.instance();
    seed =
        instance.seed() != 0 ? instance.seed() : System.nanoTime() ^ ProcessHandle.current().pid();
    int threads = Math.min(instance.count(), Runtime.getRuntime().availableProcessors());
    eventLoops = new PolledEventLoops(threads, line -> LOG.atWarn().log(line));
    try {
      startInstances();
      startLagMetrics(threads);
      watchConstraintsAndSettings();
      startMetrics();
    } catch (IOException | RuntimeException | InvalidSettingsException e) {
      close();
      throw e;
    }
    logStart();
  }

  private static ExecutorService newGroupPlanner() {
    return new ThreadPoolExecutor(
        GROUP_PLANNER_THREADS,
        GROUP_PLANNER_THREADS,
        0,
        TimeUnit.SECONDS,
        new ArrayBlockingQueue<>(MAX_QUEUED_GROUP_PLANS),
        task -> {
          Thread thread = new Thread(task, "group-planner");
          thread.setDaemon(true);
          return thread;
        });
  }

  private void startInstances() throws IOException, InvalidSettingsException {
    if (!isListInEtcd()) {
      // All instances share one watcher of the file.
      machineLists.add(new MachineListFile(settings.machineListFile(), settings));
    }
    Optional<DeploymentSettings> shadowSettings = readShadowSettings(settings);
    for (int i = 0; i < settings.instance().count(); i++) {
      startInstance(i, shadowSettings);
    }
  }

  private void startInstance(int index, Optional<DeploymentSettings> shadowSettings)
      throws IOException, InvalidSettingsException {
    InstanceSettings instanceSettings = settings.instance();
    int position = instanceSettings.position() + index;
    String name =
        instanceSettings.count() == 1
            ? instanceSettings.name()
            : instanceSettings.name() + "-" + position;
    GrpcSchedulerServer instance =
        new GrpcSchedulerServer(
            settings,
            shadowSettings,
            position,
            name,
            seed + index,
            eventLoops.next(),
            groupPlanner,
            metrics);
    instances.add(instance);
    if (settings.gossip().isEnabled()) {
      openGossipSocket(instance, portOfInstance(settings.gossip().port(), index));
    }
    if (isListInEtcd()) {
      machineLists.add(new EtcdMachineList(settings, name, seed + index));
    }
    watchMachineList(instance, machineLists.get(machineLists.size() - 1));
    servers.add(startServer(instance, portOfInstance(instanceSettings.listenPort(), index)));
  }

  private boolean isListInEtcd() {
    return settings.machineList().isInEtcd();
  }

  /** The port of an instance: consecutive from the first; with 0, each gets any free port. */
  private static int portOfInstance(int firstPort, int index) {
    return firstPort == 0 ? 0 : firstPort + index;
  }

  private void openGossipSocket(GrpcSchedulerServer instance, int port)
      throws IOException, InvalidSettingsException {
    List<InetSocketAddress> peers = new ArrayList<>();
    for (String peer : settings.gossip().peers()) {
      peers.add(resolve(peer));
    }
    GossipSocket socket =
        new GossipSocket(
            instance.eventLoop(),
            new InetSocketAddress(settings.gossip().host(), port),
            peers,
            instance::gossipReceived);
    instance.gossipSocketOpened(socket);
    gossipSockets.add(socket);
  }

  private static InetSocketAddress resolve(String hostAndPort) throws InvalidSettingsException {
    int colon = hostAndPort.lastIndexOf(':');
    InetSocketAddress address =
        new InetSocketAddress(
            hostAndPort.substring(0, colon), Integer.parseInt(hostAndPort.substring(colon + 1)));
    if (address.isUnresolved()) {
      throw InvalidSettingsException.ofMessages(
          List.of("placer.notes.to: the host of '" + hostAndPort + "' cannot be resolved"));
    }
    return address;
  }

  private static void watchMachineList(GrpcSchedulerServer instance, MachineListSource list) {
    list.watch(instance::machineListReceived);
    runPeriodically(
        instance.eventLoop(),
        SCHEDULER_COUNT_POLL_INTERVAL,
        () -> instance.schedulerCountReceived(list.schedulerCount()));
  }

  private Server startServer(GrpcSchedulerServer instance, int port) throws IOException {
    int maxMessageBytes = settings.connections().maxMessageBytes();
    return NettyServerBuilder.forAddress(
            new InetSocketAddress(settings.instance().listenHost(), port))
        .bossEventLoopGroup(instance.eventLoop())
        .workerEventLoopGroup(instance.eventLoop())
        .channelType(NioServerSocketChannel.class)
        .directExecutor()
        .maxInboundMessageSize(ClientService.transportLimit(maxMessageBytes))
        .flowControlWindow(CLIENT_FLOW_CONTROL_WINDOW_BYTES)
        .permitKeepAliveTime(MIN_CLIENT_KEEPALIVE.toMillis(), TimeUnit.MILLISECONDS)
        .permitKeepAliveWithoutCalls(true)
        .addService(new ClientService(instance.requestHandler(), maxMessageBytes))
        .addService(new OperatorService(instance.clusterView()))
        .build()
        .start();
  }

  private void startLagMetrics(int threads) {
    instances.stream().limit(threads).forEach(instance -> measureLag(instance.eventLoop()));
  }

  private void measureLag(EventLoop eventLoop) {
    long[] dueNanos = {System.nanoTime() + LAG_SAMPLE_INTERVAL.toNanos()};
    runPeriodically(
        eventLoop,
        LAG_SAMPLE_INTERVAL,
        () -> {
          metrics.eventLoopLagged(Duration.ofNanos(Math.max(0, System.nanoTime() - dueNanos[0])));
          dueNanos[0] = System.nanoTime() + LAG_SAMPLE_INTERVAL.toNanos();
        });
  }

  /**
   * Runs a task periodically until the event loop ends. An exception of the task is logged, and the
   * task is not run again.
   */
  private static void runPeriodically(EventLoop eventLoop, Duration interval, Runnable task) {
    eventLoop
        .scheduleAtFixedRate(task, interval.toNanos(), interval.toNanos(), TimeUnit.NANOSECONDS)
        .addListener(
            done -> {
              if (!done.isCancelled() && done.cause() != null) {
                LOG.atError().setCause(done.cause()).log("event loop task failed");
              }
            });
  }

  private void watchConstraintsAndSettings() throws InvalidSettingsException {
    ConstraintUpdater updater = new ConstraintUpdater(settings, machineLists.get(0));
    constraintUpdater = Optional.of(updater);
    updater.watchConstraints(
        (constraints, version) ->
            instances.forEach(instance -> instance.constraintsReceived(constraints, version)));
    updater.watchSettings(next -> instances.forEach(instance -> instance.settingsReceived(next)));
  }

  private void startMetrics() throws IOException {
    metrics.gauge("fordridge.held", this::pendingRequests);
    metrics.gauge("fordridge.streams", this::establishedStreams);
    if (settings.metricsPort() >= 0) {
      metricsServer =
          Optional.of(new MetricsServer(settings.metricsPort(), metrics, eventLoops.group()));
    }
  }

  private void logStart() {
    String port = metricsServer.map(server -> String.valueOf(server.port())).orElse("none");
    LOG.atInfo()
        .addKeyValue("seed", seed)
        .addKeyValue("instances", settings.instance().count())
        .addKeyValue("machines", machineLists.get(0).latest().entries().size())
        .addKeyValue("port", port(0))
        .addKeyValue("metrics_port", port)
        .log("scheduler started");
  }

  /**
   * Parses and validates constraints as the schedulers of the deployment would: against its machine
   * list if that is an existing file, otherwise against an empty list.
   */
  public static List<PlacementConstraint> readConstraints(String text, DeploymentSettings settings)
      throws InvalidSettingsException {
    List<MachineListSource.Entry> machines =
        !settings.machineList().isInEtcd() && settings.machineListFile().isFile()
            ? MachineListFile.read(settings.machineListFile(), settings, 1).entries()
            : List.of();
    return ConstraintUpdater.parseAndValidate(text, settings, ConstraintUpdater.topology(machines));
  }

  /**
   * Reads the settings of the shadow scheduler: the configured file, applied over the given
   * settings and validated like an update of them. Empty if no file is configured.
   */
  public static Optional<DeploymentSettings> readShadowSettings(DeploymentSettings settings)
      throws InvalidSettingsException, IOException {
    Optional<File> configured = settings.shadowSettingsFile();
    if (configured.isEmpty()) {
      return Optional.empty();
    }
    File file = configured.get();
    if (!file.isFile()) {
      throw InvalidSettingsException.ofMessages(List.of("watch.terms: " + file + ": no such file"));
    }
    try {
      return Optional.of(SettingsUpdate.apply(settings, settings, Files.readString(file.toPath())));
    } catch (InvalidSettingsException e) {
      throw InvalidSettingsException.ofMessages(
          e.messages().stream().map(error -> "watch.terms: " + file + ": " + error).toList());
    }
  }

  /** The number of instances in this process. */
  public int instanceCount() {
    return instances.size();
  }

  /** The name of an instance. */
  public String name(int instance) {
    return instances.get(instance).name();
  }

  /** The port on which an instance serves clients. */
  public int port(int instance) {
    return servers.get(instance).getPort();
  }

  /** The UDP port on which an instance receives gossip. */
  public int gossipPort(int instance) {
    return gossipSockets.get(instance).port();
  }

  /** The port on which metrics are served, if they are. */
  public OptionalInt metricsPort() {
    return metricsServer.isPresent()
        ? OptionalInt.of(metricsServer.get().port())
        : OptionalInt.empty();
  }

  /** The metrics of all instances together. */
  public Metrics metrics() {
    return metrics;
  }

  /** Version of the machine list in force; it rises with each change that could be read. */
  public long machineListVersion() {
    return machineLists.get(0).latest().version();
  }

  /** Placement requests without a final response, over all instances. */
  public int pendingRequests() {
    return instances.stream().mapToInt(GrpcSchedulerServer::pendingRequests).sum();
  }

  /** Established streams to machines, over all instances. */
  public int establishedStreams() {
    return instances.stream().mapToInt(GrpcSchedulerServer::establishedStreams).sum();
  }

  /**
   * Shuts down gracefully: rejects new requests, waits until each pending request has its final
   * response, then closes.
   *
   * @return whether every request got its final response before the shutdown timeout
   */
  public boolean shutdown() throws InterruptedException {
    boolean allAnswered = awaitFinalResponses();
    // The last responses are written; the sockets get some time to send them.
    servers.forEach(Server::shutdown);
    long deadlineNanos = System.nanoTime() + RESPONSE_FLUSH_TIMEOUT.toNanos();
    for (Server server : servers) {
      server.awaitTermination(Math.max(1, deadlineNanos - System.nanoTime()), TimeUnit.NANOSECONDS);
    }
    LOG.atInfo().addKeyValue("all_answered", allAnswered).log("scheduler stopped");
    close();
    return allAnswered;
  }

  private boolean awaitFinalResponses() throws InterruptedException {
    Duration timeout = settings.instance().shutdownTimeout();
    CompletableFuture<?>[] completions =
        instances.stream()
            .map(instance -> instance.shutdown(timeout))
            .toArray(CompletableFuture<?>[]::new);
    try {
      CompletableFuture.allOf(completions).get(timeout.toMillis(), TimeUnit.MILLISECONDS);
      return true;
    } catch (TimeoutException e) {
      LOG.atWarn()
          .addKeyValue("timeout", timeout)
          .addKeyValue("pending", pendingRequests())
          .log("shutdown timed out with requests pending");
      return false;
    } catch (ExecutionException e) {
      LOG.atError().setCause(e).log("shutdown failed");
      return false;
    }
  }

  @Override
  public void close() {
    if (eventLoops.group().isShuttingDown()) {
      return;
    }
    constraintUpdater.ifPresent(ConstraintUpdater::close);
    machineLists.forEach(MachineListSource::close);
    servers.forEach(Server::shutdownNow);
    instances.forEach(GrpcSchedulerServer::close);
    metricsServer.ifPresent(MetricsServer::close);
    groupPlanner.shutdownNow();
    // Not awaited: the event loops end by themselves within two seconds.
    var unused = eventLoops.group().shutdownGracefully(0, 2, TimeUnit.SECONDS);
  }
}
