package fordridge.placer;

import fordridge.etcd.EtcdList;
import fordridge.listing.ListFile;
import fordridge.listing.MachineList;
import fordridge.obs.Meters;
import fordridge.obs.MetricsPort;
import fordridge.rpc.ClientService;
import fordridge.rpc.OperateService;
import fordridge.rpc.NotePost;
import fordridge.settings.Deployment;
import fordridge.settings.TermsChange;
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
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The program {@code fordridge placer}: its instances, their listening ports, the list and the metrics. */
public final class PlacerProgram implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger("fordridge.placer");
    /** HTTP/2's least default: what a client may have under way unread, and so how old an ask may grow there. */
    private static final int CLIENT_WINDOW = 65_535;
    private static final Duration LAG_EVERY = Duration.ofMillis(20);

    private final Deployment d;
    private final EventLoopGroup loops;
    private final ExecutorService thinker = new ThreadPoolExecutor(2, 2, 0, TimeUnit.SECONDS,
            new ArrayBlockingQueue<>(1024), r -> {
        Thread t = new Thread(r, "groups");
        t.setDaemon(true);
        return t;
    });
    private final List<MachineList> lists = new ArrayList<>();
    private final Meters meters = new Meters();
    private final List<Instance> instances = new ArrayList<>();
    private final List<NotePost> notePosts = new ArrayList<>();
    private final List<Server> servers = new ArrayList<>();
    private final MetricsPort metrics;
    private Rules rules;

    /** Starts all; what cannot be had (a port, the list) is said in one line and nothing is left running. */
    public PlacerProgram(Deployment d) throws IOException, Deployment.Refused {
        this.d = d;
        int threads = Math.min(d.count, Runtime.getRuntime().availableProcessors());
        loops = new MultiThreadIoEventLoopGroup(threads, NioIoHandler.newFactory());
        MetricsPort port = null;
        long seed;
        try {
            boolean etcd = d.listSource.equals("etcd");
            if (!etcd) {
                // One follower of the file serves all: reading it decides nothing.
                lists.add(new ListFile(d.listFile(), d));
            }
            Deployment watched = watched(d);
            seed = d.seed != 0 ? d.seed : System.nanoTime() ^ ProcessHandle.current().pid();
            for (int i = 0; i < d.count; i++) {
                String name = d.count == 1 ? d.name : d.name + "-" + (d.position + i);
                Instance it = new Instance(d, watched, d.position + i, name, seed + i, loops.next(), thinker, meters);
                instances.add(it);
                if (d.notes) {
                    List<InetSocketAddress> others = new ArrayList<>();
                    for (String o : d.notesTo) {
                        others.add(address(o));
                    }
                    NotePost post = new NotePost(it.loop, new InetSocketAddress(d.notesHost,
                            d.notesPort == 0 ? 0 : d.notesPort + i), others, it::heard);
                    it.loop.execute(() -> it.notes(post));
                    notePosts.add(post);
                }
                if (etcd) {
                    lists.add(new EtcdList(d, name, seed + i));
                }
                MachineList list = lists.get(lists.size() - 1);
                list.follow(it::list);
                it.loop.scheduleAtFixedRate(() -> it.shared(list.placers()), 200, 200, TimeUnit.MILLISECONDS);
                servers.add(serve(it, d.port == 0 ? 0 : d.port + i));
            }
            for (int i = 0; i < Math.min(threads, instances.size()); i++) {
                watchLag(instances.get(i).loop);
            }
            rules = new Rules(d, lists.get(0));
            rules.follow((r, v) -> instances.forEach(i -> i.rules(r, v)));
            rules.followTerms(t -> instances.forEach(i -> i.terms(t)));
            meters.gauge("fordridge.held", () -> instances.stream().mapToInt(Instance::inHand).sum());
            meters.gauge("fordridge.streams", () -> instances.stream().mapToInt(Instance::streamsOpen).sum());
            if (d.metricsPort >= 0) {
                port = new MetricsPort(d.metricsPort, meters, loops);
            }
        } catch (IOException | RuntimeException | Deployment.Refused e) {
            close();
            throw e;
        }
        metrics = port;
        LOG.atInfo().addKeyValue("seed", seed).addKeyValue("instances", d.count)
                .addKeyValue("machines", lists.get(0).latest().entries().size()).addKeyValue("port", port(0))
                .addKeyValue("metrics", metrics == null ? "none" : metrics.port()).log("placing");
    }

    /** Reads rules as a placer of this deployment would, against its list of machines if it is a file that is there. */
    public static List<fordridge.constraint.Rule> readRules(String text, Deployment d) throws Deployment.Refused {
        List<MachineList.Entry> machines = d.listSource.equals("file") && d.listFile().isFile()
                ? ListFile.read(d.listFile(), d, 1).entries() : List.of();
        return Rules.read(text, d, machines.stream().map(e -> new fordridge.constraint.Book.Spot(e.name(), e.kind(),
                e.zone(), e.cell())).toList());
    }

    /** Terms of a move to come, laid over ours and checked as if they were in force; null where none are watched. */
    public static Deployment watched(Deployment d) throws Deployment.Refused, IOException {
        File f = d.watchFile();
        if (f == null) {
            return null;
        }
        if (!f.isFile()) {
            throw new Deployment.Refused(List.of("watch.terms: " + f + ": no such file"));
        }
        try {
            return TermsChange.over(d, d, Files.readString(f.toPath()));
        } catch (Deployment.Refused e) {
            throw new Deployment.Refused(e.complaints.stream().map(c -> "watch.terms: " + f + ": " + c).toList());
        }
    }

    private static InetSocketAddress address(String hostPort) throws Deployment.Refused {
        int colon = hostPort.lastIndexOf(':');
        InetSocketAddress at = new InetSocketAddress(hostPort.substring(0, colon),
                Integer.parseInt(hostPort.substring(colon + 1)));
        if (at.isUnresolved()) {
            throw new Deployment.Refused(List.of("placer.notes.to: '" + hostPort + "': no such host"));
        }
        return at;
    }

    /** Where notes to an instance go. */
    public int notesPort(int instance) {
        return notePosts.get(instance).port();
    }

    private Server serve(Instance it, int port) throws IOException {
        return NettyServerBuilder.forAddress(new InetSocketAddress(d.host, port)).bossEventLoopGroup(it.loop)
                .workerEventLoopGroup(it.loop).channelType(NioServerSocketChannel.class).directExecutor()
                .maxInboundMessageSize(ClientService.transportLimit(d.maxMessage)).flowControlWindow(CLIENT_WINDOW)
                .permitKeepAliveTime(100, TimeUnit.MILLISECONDS).permitKeepAliveWithoutCalls(true)
                .addService(new ClientService(it, d.maxMessage)).addService(new OperateService(it)).build().start();
    }

    private void watchLag(EventLoop loop) {
        long[] due = {System.nanoTime() + LAG_EVERY.toNanos()};
        loop.scheduleAtFixedRate(() -> {
            meters.lagged(Duration.ofNanos(Math.max(0, System.nanoTime() - due[0])));
            due[0] = System.nanoTime() + LAG_EVERY.toNanos();
        }, LAG_EVERY.toNanos(), LAG_EVERY.toNanos(), TimeUnit.NANOSECONDS);
    }

    public int port(int instance) {
        return servers.get(instance).getPort();
    }

    public int metricsPort() {
        return metrics == null ? -1 : metrics.port();
    }

    public String name(int instance) {
        return instances.get(instance).name;
    }

    public int count() {
        return instances.size();
    }

    public Meters meters() {
        return meters;
    }

    /** Version of the list in force: rises with each change that could be read. */
    public long listVersion() {
        return lists.get(0).latest().version();
    }

    public int inHand() {
        return instances.stream().mapToInt(Instance::inHand).sum();
    }

    public int streams() {
        return instances.stream().mapToInt(Instance::streamsOpen).sum();
    }

    /** Takes nothing new, waits till each VM in hand has its answer, then ends; false if some had none in time. */
    public boolean stop() throws InterruptedException {
        List<CompletableFuture<Void>> done = new ArrayList<>();
        instances.forEach(i -> done.add(i.stop(d.stopWithin)));
        boolean all = true;
        try {
            CompletableFuture.allOf(done.toArray(new CompletableFuture<?>[0])).get(d.stopWithin.toMillis(),
                    TimeUnit.MILLISECONDS);
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
        lists.forEach(MachineList::close);
        servers.forEach(Server::shutdownNow);
        instances.forEach(i -> i.loop.execute(i::close));
        if (metrics != null) {
            metrics.close();
        }
        thinker.shutdownNow();
        loops.shutdownGracefully(0, 2, TimeUnit.SECONDS);
    }
}
