package fordridge.etcd;

import com.google.protobuf.ByteString;
import fordridge.discovery.MachineListSource;
import fordridge.etcd.api.Event;
import fordridge.etcd.api.KVGrpc;
import fordridge.etcd.api.KeyValue;
import fordridge.etcd.api.LeaseGrantRequest;
import fordridge.etcd.api.LeaseGrpc;
import fordridge.etcd.api.LeaseKeepAliveRequest;
import fordridge.etcd.api.LeaseKeepAliveResponse;
import fordridge.etcd.api.PutRequest;
import fordridge.etcd.api.RangeRequest;
import fordridge.etcd.api.RangeResponse;
import fordridge.etcd.api.WatchCreateRequest;
import fordridge.etcd.api.WatchGrpc;
import fordridge.etcd.api.WatchProgressRequest;
import fordridge.etcd.api.WatchRequest;
import fordridge.etcd.api.WatchResponse;
import fordridge.membership.EndpointRotation;
import fordridge.membership.MachineListReplica;
import fordridge.membership.SchedulerCount;
import fordridge.membership.StoreKeys;
import fordridge.model.SeededRandom;
import fordridge.settings.DeploymentSettings;
import io.grpc.ClientInterceptor;
import io.grpc.ManagedChannel;
import io.grpc.Metadata;
import io.grpc.Status;
import io.grpc.netty.NettyChannelBuilder;
import io.grpc.stub.ClientCallStreamObserver;
import io.grpc.stub.ClientResponseObserver;
import io.grpc.stub.MetadataUtils;
import io.grpc.stub.StreamObserver;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The list of machines from etcd: a snapshot by pages at one revision, then a watch from the next
 * on; a broken stream resumes where it stood, a compacted or silent one leads to a new snapshot or
 * another endpoint. What is believed is decided in {@link MachineListReplica}; this carries
 * messages, on one thread of its own.
 */
public final class EtcdMachineList implements MachineListSource {
  private static final Logger LOG = LoggerFactory.getLogger(EtcdMachineList.class);

  private final DeploymentSettings d;
  private final StoreKeys keys;
  private final MachineListReplica believed;
  private final EndpointRotation endpoints;
  private final SchedulerCount headcount;
  private final String self;
  private final long begun = System.nanoTime();
  private final List<Consumer<Update>> takers = new CopyOnWriteArrayList<>();
  private final CompletableFuture<Void> first = new CompletableFuture<>();
  private final Map<String, Entry> entries = new LinkedHashMap<>();
  private final ScheduledThreadPoolExecutor thread =
      new ScheduledThreadPoolExecutor(
          1,
          r -> {
            Thread t = new Thread(r, "etcd");
            t.setDaemon(true);
            return t;
          },
          new ThreadPoolExecutor.DiscardPolicy());
  private ManagedChannel channel;
  private ClientCallStreamObserver<WatchRequest> watch;
  private StreamObserver<LeaseKeepAliveRequest> keepAlive;
  private int attempt;
  private long lease;
  private boolean registering;
  private volatile long version;
  private volatile boolean toldOld;
  private String lastError = "";
  private final List<Event> fragments = new ArrayList<>();
  private volatile int placers;
  private volatile Map<String, String> terms = Map.of();
  private volatile long resyncs;

  /** Follows the store; returns once a first whole list is there, or says why none is. */
  public EtcdMachineList(DeploymentSettings d, String self, long seed) throws IOException {
    this.d = d;
    this.self = self;
    keys = new StoreKeys(d.etcd().prefix());
    believed = new MachineListReplica(d.etcd().silenceTimeout());
    endpoints = new EndpointRotation(d.etcd().endpoints().size(), new SeededRandom(seed));
    headcount = new SchedulerCount(d.totalSchedulers(), d.etcd().leaseTtl());
    placers = headcount.counted();
    thread.execute(this::connect);
    long third = Math.max(5, d.etcd().silenceTimeout().toMillis() / 3);
    thread.scheduleWithFixedDelay(this::guarded, third, third, TimeUnit.MILLISECONDS);
    try {
      first.get(d.etcd().startTimeout().toMillis(), TimeUnit.MILLISECONDS);
    } catch (TimeoutException | ExecutionException e) {
      close();
      throw new IOException(
          "no list of machines from etcd at "
              + d.etcd().endpoints()
              + " under "
              + d.etcd().prefix()
              + " within "
              + d.etcd().startTimeout().toMillis()
              + "ms"
              + (lastError.isEmpty() ? "" : ": " + lastError));
    } catch (InterruptedException e) {
      close();
      throw new IOException("interrupted");
    }
  }

  private Duration now() {
    return Duration.ofNanos(System.nanoTime() - begun);
  }

  private void on(int mine, Runnable what) {
    if (thread.isShutdown()) {
      return;
    }
    thread.execute(
        () -> {
          if (mine == attempt && !thread.isShutdown()) {
            try {
              what.run();
            } catch (RuntimeException e) {
              LOG.error("an answer of etcd could not be taken in", e);
              failed(e.toString());
            }
          }
        });
  }

  // ---- Connections
  // -----------------------------------------------------------------------------------

  private void connect() {
    int mine = ++attempt;
    String[] at = d.etcd().endpoints().get(endpoints.current()).split(":");
    channel =
        NettyChannelBuilder.forAddress(new InetSocketAddress(at[0], Integer.parseInt(at[1])))
            .usePlaintext()
            .directExecutor()
            .disableRetry()
            .userAgent("fordridge/" + self)
            .intercept(token(d.etcd().token()))
            .maxInboundMessageSize(64 << 20)
            .keepAliveTime(d.etcd().silenceTimeout().toMillis(), TimeUnit.MILLISECONDS)
            .keepAliveTimeout(d.etcd().silenceTimeout().toMillis(), TimeUnit.MILLISECONDS)
            .build();
    if (believed.revision() > 0 && believed.footing() == MachineListReplica.SyncState.OLD) {
      watchFrom(believed.revision() + 1);
    } else {
      snapshot();
    }
    if (mine == attempt) {
      register();
    }
  }

  /** The store's own header for a token; without one nothing is added. */
  private static ClientInterceptor[] token(String token) {
    Metadata header = new Metadata();
    header.put(Metadata.Key.of("token", Metadata.ASCII_STRING_MARSHALLER), token);
    return token.isEmpty()
        ? new ClientInterceptor[0]
        : new ClientInterceptor[] {MetadataUtils.newAttachHeadersInterceptor(header)};
  }

  private void failed(String why) {
    if (thread.isShutdown()) {
      return;
    }
    lastError = why;
    attempt++;
    fragments.clear();
    believed.cutOff();
    headcount.cutOff();
    leaveWatch("failed");
    keepAlive = null;
    if (channel != null) {
      channel.shutdownNow();
      channel = null;
    }
    tellOld();
    LOG.atInfo()
        .addKeyValue("endpoint", d.etcd().endpoints().get(endpoints.current()))
        .log("etcd: " + why);
    int mine = attempt;
    thread.schedule(
        () -> on(mine, this::connect), endpoints.failed().toNanos(), TimeUnit.NANOSECONDS);
  }

  /** Nothing may be asked on a cancelled call: progress is asked for on a timer. */
  private void leaveWatch(String why) {
    ClientCallStreamObserver<WatchRequest> old = watch;
    watch = null;
    if (old != null) {
      old.cancel(why, null);
    }
  }

  private KVGrpc.KVStub kv() {
    return KVGrpc.newStub(channel)
        .withDeadlineAfter(d.etcd().callTimeout().toMillis(), TimeUnit.MILLISECONDS);
  }

  /**
   * One answer to one call, taken in on our thread unless the connection was given up meanwhile.
   */
  private final class One<T> implements StreamObserver<T> {
    private final int mine = attempt;
    private final Consumer<T> then;
    private final Consumer<Status> otherwise;

    One(Consumer<T> then, Consumer<Status> otherwise) {
      this.then = then;
      this.otherwise = otherwise;
    }

    @Override
    public void onNext(T t) {
      on(mine, () -> then.accept(t));
    }

    @Override
    public void onError(Throwable t) {
      on(mine, () -> otherwise.accept(Status.fromThrowable(t)));
    }

    @Override
    public void onCompleted() {}
  }

  private static ByteString bytes(String s) {
    return ByteString.copyFromUtf8(s);
  }

  private static ByteString end(String prefix) {
    byte[] b = prefix.getBytes(java.nio.charset.StandardCharsets.UTF_8);
    b[b.length - 1]++;
    return ByteString.copyFrom(b);
  }

  // ---- Snapshot
  // --------------------------------------------------------------------------------------

  private void snapshot() {
    resyncs++;
    page(bytes(keys.all()), 0);
  }

  private void page(ByteString from, long revision) {
    kv().range(
            RangeRequest.newBuilder()
                .setKey(from)
                .setRangeEnd(end(keys.all()))
                .setLimit(d.etcd().snapshotPageSize())
                .setRevision(revision)
                .build(),
            new One<RangeResponse>(r -> paged(r, revision), this::pageFailed));
  }

  private void paged(RangeResponse r, long revision) {
    long at = revision == 0 ? r.getHeader().getRevision() : revision;
    if (revision == 0) {
      believed.snapshotBegins(r.getHeader().getClusterId(), at, now());
    }
    List<MachineListReplica.StoreRecord> items = new ArrayList<>(r.getKvsCount());
    r.getKvsList().forEach(k -> items.add(StoreRecordCodec.item(k, keys)));
    believed.snapshotPage(items, now());
    // What a page tells is passed on at once: a drain does not wait for the pages behind it.
    if (version > 0) {
      passOn(false);
    }
    if (r.getMore() && r.getKvsCount() > 0) {
      page(r.getKvs(r.getKvsCount() - 1).getKey().concat(ByteString.copyFrom(new byte[] {0})), at);
    } else {
      believed.snapshotEnds(now());
      endpoints.worked();
      tell(true);
      if (entries.isEmpty()) {
        LOG.warn("etcd: no machine stands under {}; every VM is held till one does", keys.all());
      }
      first.complete(null);
      watchFrom(at + 1);
    }
  }

  private void pageFailed(Status why) {
    if (why.getCode() == Status.Code.OUT_OF_RANGE) {
      // Compacted between two pages: the snapshot begins anew.
      snapshot();
    } else {
      failed("snapshot: " + why.getCode() + " " + why.getDescription());
    }
  }

  // ---- Watch
  // -----------------------------------------------------------------------------------------

  private void watchFrom(long revision) {
    int mine = attempt;
    fragments.clear();
    WatchGrpc.newStub(channel)
        .watch(
            new ClientResponseObserver<WatchRequest, WatchResponse>() {
              @Override
              public void beforeStart(ClientCallStreamObserver<WatchRequest> stream) {
                watch = stream;
                stream.disableAutoRequestWithInitial(1);
              }

              @Override
              public void onNext(WatchResponse r) {
                // The next is asked for when this one is taken in: what waits is in the transport,
                // and bounded there.
                on(
                    mine,
                    () -> {
                      watched(r);
                      if (mine == attempt && watch != null) {
                        watch.request(1);
                      }
                    });
              }

              @Override
              public void onError(Throwable t) {
                on(
                    mine,
                    () ->
                        failed(
                            "watch: "
                                + Status.fromThrowable(t).getCode()
                                + " "
                                + Status.fromThrowable(t).getDescription()));
              }

              @Override
              public void onCompleted() {
                on(mine, () -> failed("watch: ended by the store"));
              }
            });
    watch.onNext(
        WatchRequest.newBuilder()
            .setCreateRequest(
                WatchCreateRequest.newBuilder()
                    .setKey(bytes(keys.all()))
                    .setRangeEnd(end(keys.all()))
                    .setStartRevision(revision)
                    .setProgressNotify(true)
                    .setFragment(true))
            .build());
  }

  private void watched(WatchResponse r) {
    if (r.getCanceled()) {
      if (r.getCompactRevision() > 0) {
        LOG.info("etcd: compacted past revision {}, taking a new snapshot", believed.revision());
        leaveWatch("compacted");
        attempt++;
        believed.cutOff();
        tellOld();
        snapshot();
        register();
      } else {
        failed("watch cancelled: " + r.getCancelReason());
      }
      return;
    }
    if (r.getHeader().getRevision() > 0
        && (r.getHeader().getRevision() < believed.revision()
            || r.getHeader().getClusterId() != believed.clusterId())) {
      believed.cutOff();
      attempt++;
      leaveWatch("went back");
      snapshot();
      register();
      return;
    }
    fragments.addAll(r.getEventsList());
    if (r.getFragment()) {
      // A half of a change is none: it is taken in when its last part is here.
      believed.progress(believed.revision(), now());
      return;
    }
    boolean wasOld = believed.footing() != MachineListReplica.SyncState.FOLLOWING;
    for (Event e : fragments) {
      KeyValue kv = e.getKv();
      believed.event(StoreRecordCodec.item(kv, keys), e.getType() == Event.EventType.DELETE, now());
    }
    boolean some = !fragments.isEmpty();
    fragments.clear();
    if (!r.getCreated()) {
      believed.progress(some ? believed.revision() : r.getHeader().getRevision(), now());
      endpoints.worked();
    }
    if (some || wasOld) {
      tell(false);
    }
  }

  private void guarded() {
    try {
      if (watch != null
          && believed.footing() == MachineListReplica.SyncState.FOLLOWING
          && believed.silent(now())) {
        failed("silent for " + d.etcd().silenceTimeout().toMillis() + "ms");
        return;
      }
      if (watch != null) {
        watch.onNext(
            WatchRequest.newBuilder()
                .setProgressRequest(WatchProgressRequest.getDefaultInstance())
                .build());
      }
      if (watch != null
          && believed.footing() == MachineListReplica.SyncState.OLD
          && now().minus(believed.heardAt()).compareTo(d.etcd().silenceTimeout().multipliedBy(2))
              > 0) {
        failed("no word on a resumed watch");
        return;
      }
      count();
    } catch (RuntimeException e) {
      failed(e.toString());
    }
  }

  // ---- Registration
  // ----------------------------------------------------------------------------------

  private void register() {
    if (!d.etcd().isRegistering() || registering) {
      return;
    }
    registering = true;
    LeaseGrpc.newStub(channel)
        .withDeadlineAfter(d.etcd().callTimeout().toMillis(), TimeUnit.MILLISECONDS)
        .leaseGrant(
            LeaseGrantRequest.newBuilder()
                .setTTL(Math.max(1, d.etcd().leaseTtl().toSeconds()))
                .build(),
            new One<>(
                g -> {
                  lease = g.getID();
                  put();
                },
                why -> registering = false));
    int mine = attempt;
    thread.schedule(
        () -> {
          registering = false;
        },
        d.etcd().callTimeout().toMillis(),
        TimeUnit.MILLISECONDS);
    thread.schedule(
        () -> on(mine, this::keepLease), d.etcd().leaseTtl().toMillis() / 3, TimeUnit.MILLISECONDS);
  }

  private void put() {
    kv().put(
            PutRequest.newBuilder()
                .setKey(bytes(keys.placer(self)))
                .setValue(bytes("{\"v\":2}"))
                .setLease(lease)
                .build(),
            new One<>(p -> registering = false, why -> registering = false));
  }

  private void keepLease() {
    int mine = attempt;
    if (keepAlive == null) {
      keepAlive =
          LeaseGrpc.newStub(channel)
              .leaseKeepAlive(
                  new StreamObserver<LeaseKeepAliveResponse>() {
                    @Override
                    public void onNext(LeaseKeepAliveResponse r) {
                      on(
                          mine,
                          () -> {
                            if (r.getTTL() <= 0) {
                              LOG.warn(
                                  "etcd: the lease is gone while this placer lives; registering anew");
                              keepAlive = null;
                              register();
                            }
                          });
                    }

                    @Override
                    public void onError(Throwable t) {
                      on(mine, () -> keepAlive = null);
                    }

                    @Override
                    public void onCompleted() {
                      on(mine, () -> keepAlive = null);
                    }
                  });
    }
    keepAlive.onNext(LeaseKeepAliveRequest.newBuilder().setID(lease).build());
    thread.schedule(
        () -> on(mine, this::keepLease), d.etcd().leaseTtl().toMillis() / 3, TimeUnit.MILLISECONDS);
  }

  private void count() {
    if (d.etcd().isRegistering() && believed.footing() == MachineListReplica.SyncState.FOLLOWING) {
      int n = headcount.heard(believed.placers(), now());
      if (n != placers) {
        LOG.info("etcd: {} placers share the cluster, {} before", n, placers);
        placers = n;
      }
    }
  }

  // ---- What follows
  // ----------------------------------------------------------------------------------

  private Entry entry(MachineListReplica.MachineUpdate l) {
    Entry before = entries.get(l.name());
    MachineListReplica.Machine m = l.machine();
    int colon = m.address().lastIndexOf(':');
    Instant started =
        m.startedAtMillis() > 0
            ? Instant.ofEpochMilli(m.startedAtMillis())
            : l.anew() ? Instant.now() : before == null ? null : before.startedAt();
    if (l.anew() && before != null && started != null && started.equals(before.startedAt())) {
      // Another machine under the name, or one that forgot to say when it started: cold from now.
      started = Instant.now();
    }
    return new Entry(
        l.name(),
        new InetSocketAddress(
            m.address().substring(0, colon), Integer.parseInt(m.address().substring(colon + 1))),
        m.kind(),
        m.zone(),
        m.cell(),
        l.lifecycle(),
        m.freeCores(),
        m.freeMemory(),
        started);
  }

  private void tell(boolean whole) {
    toldOld = false;
    if (believed.takeTermsChanged()) {
      terms = Map.copyOf(believed.terms());
    }
    count();
    passOn(whole);
  }

  private void passOn(boolean whole) {
    believed.takeComplaints().forEach(c -> LOG.warn("etcd: {}", c));
    List<Entry> changed = new ArrayList<>();
    for (MachineListReplica.MachineUpdate l : believed.takeChanges(keys)) {
      Entry e = entry(l);
      synchronized (entries) {
        if (l.lifecycle() == fordridge.model.Machine.Lifecycle.GONE) {
          entries.remove(l.name());
        } else {
          entries.put(l.name(), e);
        }
      }
      changed.add(e);
    }
    publish(new Update(++version, whole, toldOld, whole ? List.copyOf(entries.values()) : changed));
  }

  private void tellOld() {
    if (!toldOld && version > 0) {
      toldOld = true;
      publish(new Update(++version, false, true, List.of()));
    }
  }

  private void publish(Update u) {
    takers.forEach(t -> t.accept(u));
  }

  @Override
  public Update latest() {
    synchronized (entries) {
      return new Update(version, true, toldOld, List.copyOf(entries.values()));
    }
  }

  @Override
  public void watch(Consumer<Update> taker) {
    thread.execute(
        () -> {
          takers.add(taker);
          taker.accept(latest());
        });
  }

  @Override
  public int schedulerCount() {
    return placers;
  }

  @Override
  public Optional<String> sharedSetting(String name) {
    return Optional.ofNullable(terms.get(name));
  }

  /** Snapshots taken so far. */
  public long snapshotCount() {
    return resyncs;
  }

  @Override
  public void close() {
    thread.execute(
        () -> {
          attempt++;
          if (channel != null) {
            channel.shutdownNow();
          }
        });
    thread.shutdown();
  }
}
