package fordridge.server.grpc;

import fordridge.discovery.MachineListFile;
import fordridge.discovery.MachineListSource;
import fordridge.etcd.EtcdMachineList;
import fordridge.grpc.ClientService;
import fordridge.grpc.GossipSocket;
import fordridge.grpc.OperatorService;
import fordridge.observability.Metrics;
import fordridge.observability.MetricsServer;
import fordridge.settings.DeploymentSettings;
import fordridge.settings.InvalidSettingsException;
import fordridge.settings.SettingsUpdate;
import io.grpc.Server;
import io.grpc.netty.NettyServerBuilder;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.io.File;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
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
 * The program {@code fordridge placer}: its instances, their listening ports, the list and the
 * metrics.
 */
public final class PlacerCommand implements AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger("fordridge.placer");

  /**
   * HTTP/2's least default: what a client may have under way unread, and so how old an ask may grow
   * there.
   */
  private static final int CLIENT_WINDOW = 65_535;

  private static final Duration LAG_EVERY = Duration.ofMillis(20);

  private final DeploymentSettings d;
  private final EventLoopGroup loops;
  private final ExecutorService thinker =
      new ThreadPoolExecutor(
          2,
          2,
          0,
          TimeUnit.SECONDS,
          new ArrayBlockingQueue<>(1024),
          r -> {
            Thread t = new Thread(r, "groups");
            t.setDaemon(true);
            return t;
          });
  private final List<MachineListSource> lists = new ArrayList<>();
  private final Metrics metrics = new Metrics();
  private final List<GrpcSchedulerServer> instances = new ArrayList<>();
  private final List<GossipSocket> notePosts = new ArrayList<>();
  private final List<Server> servers = new ArrayList<>();
  private final MetricsServer metricsServer;
  private ConstraintUpdater rules;

  /**
   * Starts all; what cannot be had (a port, the list) is said in one line and nothing is left
   * running.
   */
  public PlacerCommand(DeploymentSettings d) throws IOException, InvalidSettingsException {
    this.d = d;
    int threads = Math.min(d.instance().count(), Runtime.getRuntime().availableProcessors());
    loops = new MultiThreadIoEventLoopGroup(threads, NioIoHandler.newFactory());
    MetricsServer port = null;
    long seed;
    try {
      boolean etcd = d.machineList().isInEtcd();
      if (!etcd) {
        // One follower of the file serves all: reading it decides nothing.
        lists.add(new MachineListFile(d.machineListFile(), d));
      }
      DeploymentSettings watched = watched(d);
      seed =
          d.instance().seed() != 0
              ? d.instance().seed()
              : System.nanoTime() ^ ProcessHandle.current().pid();
      for (int i = 0; i < d.instance().count(); i++) {
        String name =
            d.instance().count() == 1
                ? d.instance().name()
                : d.instance().name() + "-" + (d.instance().position() + i);
        GrpcSchedulerServer it =
            new GrpcSchedulerServer(
                d,
                watched,
                d.instance().position() + i,
                name,
                seed + i,
                loops.next(),
                thinker,
                metrics);
        instances.add(it);
        if (d.gossip().isEnabled()) {
          List<InetSocketAddress> others = new ArrayList<>();
          for (String o : d.gossip().peers()) {
            others.add(address(o));
          }
          GossipSocket post =
              new GossipSocket(
                  it.loop,
                  new InetSocketAddress(
                      d.gossip().host(), d.gossip().port() == 0 ? 0 : d.gossip().port() + i),
                  others,
                  it::heard);
          it.loop.execute(() -> it.notes(post));
          notePosts.add(post);
        }
        if (etcd) {
          lists.add(new EtcdMachineList(d, name, seed + i));
        }
        MachineListSource list = lists.get(lists.size() - 1);
        list.watch(it::list);
        it.loop.scheduleAtFixedRate(
            () -> it.shared(list.schedulerCount()), 200, 200, TimeUnit.MILLISECONDS);
        servers.add(serve(it, d.instance().listenPort() == 0 ? 0 : d.instance().listenPort() + i));
      }
      for (int i = 0; i < Math.min(threads, instances.size()); i++) {
        watchLag(instances.get(i).loop);
      }
      rules = new ConstraintUpdater(d, lists.get(0));
      rules.follow((r, v) -> instances.forEach(i -> i.rules(r, v)));
      rules.followTerms(t -> instances.forEach(i -> i.terms(t)));
      metrics.gauge(
          "fordridge.held", () -> instances.stream().mapToInt(GrpcSchedulerServer::inHand).sum());
      metrics.gauge(
          "fordridge.streams",
          () -> instances.stream().mapToInt(GrpcSchedulerServer::streamsOpen).sum());
      if (d.metricsPort() >= 0) {
        port = new MetricsServer(d.metricsPort(), metrics, loops);
      }
    } catch (IOException | RuntimeException | InvalidSettingsException e) {
      close();
      throw e;
    }
    metricsServer = port;
    LOG.atInfo()
        .addKeyValue("seed", seed)
        .addKeyValue("instances", d.instance().count())
        .addKeyValue("machines", lists.get(0).latest().entries().size())
        .addKeyValue("port", port(0))
        .addKeyValue("metrics", metricsServer == null ? "none" : metricsServer.port())
        .log("placing");
  }

  /**
   * Reads rules as a placer of this deployment would, against its list of machines if it is a file
   * that is there.
   */
  public static List<fordridge.constraint.PlacementConstraint> readRules(
      String text, DeploymentSettings d) throws InvalidSettingsException {
    List<MachineListSource.Entry> machines =
        !d.machineList().isInEtcd() && d.machineListFile().isFile()
            ? MachineListFile.read(d.machineListFile(), d, 1).entries()
            : List.of();
    return ConstraintUpdater.read(
        text,
        d,
        machines.stream()
            .map(
                e ->
                    new fordridge.constraint.MachineTopology(
                        e.name(), e.kind(), e.zone(), e.cell()))
            .toList());
  }

  /**
   * Terms of a move to come, laid over ours and checked as if they were in force; null where none
   * are watched.
   */
  public static DeploymentSettings watched(DeploymentSettings d)
      throws InvalidSettingsException, IOException {
    File f = d.shadowSettingsFile().orElse(null);
    if (f == null) {
      return null;
    }
    if (!f.isFile()) {
      throw InvalidSettingsException.ofMessages(List.of("watch.terms: " + f + ": no such file"));
    }
    try {
      return SettingsUpdate.apply(d, d, Files.readString(f.toPath()));
    } catch (InvalidSettingsException e) {
      throw InvalidSettingsException.ofMessages(
          e.messages().stream().map(c -> "watch.terms: " + f + ": " + c).toList());
    }
  }

  private static InetSocketAddress address(String hostPort) throws InvalidSettingsException {
    int colon = hostPort.lastIndexOf(':');
    InetSocketAddress at =
        new InetSocketAddress(
            hostPort.substring(0, colon), Integer.parseInt(hostPort.substring(colon + 1)));
    if (at.isUnresolved()) {
      throw InvalidSettingsException.ofMessages(
          List.of("placer.notes.to: '" + hostPort + "': no such host"));
    }
    return at;
  }

  /** Where notes to an instance go. */
  public int notesPort(int instance) {
    return notePosts.get(instance).port();
  }

  private Server serve(GrpcSchedulerServer it, int port) throws IOException {
    return NettyServerBuilder.forAddress(new InetSocketAddress(d.instance().listenHost(), port))
        .bossEventLoopGroup(it.loop)
        .workerEventLoopGroup(it.loop)
        .channelType(NioServerSocketChannel.class)
        .directExecutor()
        .maxInboundMessageSize(ClientService.transportLimit(d.connections().maxMessageBytes()))
        .flowControlWindow(CLIENT_WINDOW)
        .permitKeepAliveTime(100, TimeUnit.MILLISECONDS)
        .permitKeepAliveWithoutCalls(true)
        .addService(new ClientService(it, d.connections().maxMessageBytes()))
        .addService(new OperatorService(it))
        .build()
        .start();
  }

  private void watchLag(EventLoop loop) {
    long[] due = {System.nanoTime() + LAG_EVERY.toNanos()};
    loop.scheduleAtFixedRate(
        () -> {
          metrics.eventLoopLagged(Duration.ofNanos(Math.max(0, System.nanoTime() - due[0])));
          due[0] = System.nanoTime() + LAG_EVERY.toNanos();
        },
        LAG_EVERY.toNanos(),
        LAG_EVERY.toNanos(),
        TimeUnit.NANOSECONDS);
  }

  public int port(int instance) {
    return servers.get(instance).getPort();
  }

  public int metricsPort() {
    return metricsServer == null ? -1 : metricsServer.port();
  }

  public String name(int instance) {
    return instances.get(instance).name;
  }

  public int count() {
    return instances.size();
  }

  public Metrics metrics() {
    return metrics;
  }

  /** Version of the list in force: rises with each change that could be read. */
  public long listVersion() {
    return lists.get(0).latest().version();
  }

  public int inHand() {
    return instances.stream().mapToInt(GrpcSchedulerServer::inHand).sum();
  }

  public int streams() {
    return instances.stream().mapToInt(GrpcSchedulerServer::streamsOpen).sum();
  }

  /**
   * Takes nothing new, waits till each VM in hand has its answer, then ends; false if some had none
   * in time.
   */
  public boolean stop() throws InterruptedException {
    List<CompletableFuture<Void>> done = new ArrayList<>();
    instances.forEach(i -> done.add(i.stop(d.instance().shutdownTimeout())));
    boolean all = true;
    try {
      CompletableFuture.allOf(done.toArray(new CompletableFuture<?>[0]))
          .get(d.instance().shutdownTimeout().toMillis(), TimeUnit.MILLISECONDS);
    } catch (TimeoutException | ExecutionException e) {
      all = false;
    }
    // The last answers are written; a moment for the sockets to carry them.
    for (Server s : servers) {
      s.shutdown();
    }
    long until = System.nanoTime() + Duration.ofMillis(500).toNanos();
    for (Server s : servers) {
      s.awaitTermination(Math.max(1, until - System.nanoTime()), TimeUnit.NANOSECONDS);
    }
    LOG.atInfo().addKeyValue("answered", all).log("stopped");
    close();
    return all;
  }

  @Override
  public void close() {
    if (loops.isShuttingDown()) {
      return;
    }
    if (rules != null) {
      rules.close();
    }
    lists.forEach(MachineListSource::close);
    servers.forEach(Server::shutdownNow);
    instances.forEach(i -> i.loop.execute(i::close));
    if (metricsServer != null) {
      metricsServer.close();
    }
    thinker.shutdownNow();
    loops.shutdownGracefully(0, 2, TimeUnit.SECONDS);
  }
}
