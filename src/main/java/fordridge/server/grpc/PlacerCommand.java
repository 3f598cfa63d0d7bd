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
  public PlacerCommand(DeploymentSettings d)
      throws IOException, DeploymentSettings.InvalidSettingsException {
    this.d = d;
    int threads = Math.min(d.count, Runtime.getRuntime().availableProcessors());
    loops = new MultiThreadIoEventLoopGroup(threads, NioIoHandler.newFactory());
    MetricsServer port = null;
    long seed;
    try {
      boolean etcd = d.listSource.equals("etcd");
      if (!etcd) {
        // One follower of the file serves all: reading it decides nothing.
        lists.add(new MachineListFile(d.listFile(), d));
      }
      DeploymentSettings watched = watched(d);
      seed = d.seed != 0 ? d.seed : System.nanoTime() ^ ProcessHandle.current().pid();
      for (int i = 0; i < d.count; i++) {
        String name = d.count == 1 ? d.name : d.name + "-" + (d.position + i);
        GrpcSchedulerServer it =
            new GrpcSchedulerServer(
                d, watched, d.position + i, name, seed + i, loops.next(), thinker, metrics);
        instances.add(it);
        if (d.notes) {
          List<InetSocketAddress> others = new ArrayList<>();
          for (String o : d.notesTo) {
            others.add(address(o));
          }
          GossipSocket post =
              new GossipSocket(
                  it.loop,
                  new InetSocketAddress(d.notesHost, d.notesPort == 0 ? 0 : d.notesPort + i),
                  others,
                  it::heard);
          it.loop.execute(() -> it.notes(post));
          notePosts.add(post);
        }
        if (etcd) {
          lists.add(new EtcdMachineList(d, name, seed + i));
        }
        MachineListSource list = lists.get(lists.size() - 1);
        list.follow(it::list);
        it.loop.scheduleAtFixedRate(
            () -> it.shared(list.placers()), 200, 200, TimeUnit.MILLISECONDS);
        servers.add(serve(it, d.port == 0 ? 0 : d.port + i));
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
      if (d.metricsPort >= 0) {
        port = new MetricsServer(d.metricsPort, metrics, loops);
      }
    } catch (IOException | RuntimeException | DeploymentSettings.InvalidSettingsException e) {
      close();
      throw e;
    }
    metricsServer = port;
    LOG.atInfo()
        .addKeyValue("seed", seed)
        .addKeyValue("instances", d.count)
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
      String text, DeploymentSettings d) throws DeploymentSettings.InvalidSettingsException {
    List<MachineListSource.Entry> machines =
        d.listSource.equals("file") && d.listFile().isFile()
            ? MachineListFile.read(d.listFile(), d, 1).entries()
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
      throws DeploymentSettings.InvalidSettingsException, IOException {
    File f = d.watchFile();
    if (f == null) {
      return null;
    }
    if (!f.isFile()) {
      throw new DeploymentSettings.InvalidSettingsException(
          List.of("watch.terms: " + f + ": no such file"));
    }
    try {
      return SettingsUpdate.over(d, d, Files.readString(f.toPath()));
    } catch (DeploymentSettings.InvalidSettingsException e) {
      throw new DeploymentSettings.InvalidSettingsException(
          e.complaints.stream().map(c -> "watch.terms: " + f + ": " + c).toList());
    }
  }

  private static InetSocketAddress address(String hostPort)
      throws DeploymentSettings.InvalidSettingsException {
    int colon = hostPort.lastIndexOf(':');
    InetSocketAddress at =
        new InetSocketAddress(
            hostPort.substring(0, colon), Integer.parseInt(hostPort.substring(colon + 1)));
    if (at.isUnresolved()) {
      throw new DeploymentSettings.InvalidSettingsException(
          List.of("placer.notes.to: '" + hostPort + "': no such host"));
    }
    return at;
  }

  /** Where notes to an instance go. */
  public int notesPort(int instance) {
    return notePosts.get(instance).port();
  }

  private Server serve(GrpcSchedulerServer it, int port) throws IOException {
    return NettyServerBuilder.forAddress(new InetSocketAddress(d.host, port))
        .bossEventLoopGroup(it.loop)
        .workerEventLoopGroup(it.loop)
        .channelType(NioServerSocketChannel.class)
        .directExecutor()
        .maxInboundMessageSize(ClientService.transportLimit(d.maxMessage))
        .flowControlWindow(CLIENT_WINDOW)
        .permitKeepAliveTime(100, TimeUnit.MILLISECONDS)
        .permitKeepAliveWithoutCalls(true)
        .addService(new ClientService(it, d.maxMessage))
        .addService(new OperatorService(it))
        .build()
        .start();
  }

  private void watchLag(EventLoop loop) {
    long[] due = {System.nanoTime() + LAG_EVERY.toNanos()};
    loop.scheduleAtFixedRate(
        () -> {
          metrics.lagged(Duration.ofNanos(Math.max(0, System.nanoTime() - due[0])));
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
    instances.forEach(i -> done.add(i.stop(d.stopWithin)));
    boolean all = true;
    try {
      CompletableFuture.allOf(done.toArray(new CompletableFuture<?>[0]))
          .get(d.stopWithin.toMillis(), TimeUnit.MILLISECONDS);
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
