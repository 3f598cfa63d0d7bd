package fordridge.emulator;

import com.google.protobuf.ByteString;
import fordridge.etcd.api.CompactionRequest;
import fordridge.etcd.api.CompactionResponse;
import fordridge.etcd.api.DeleteRangeRequest;
import fordridge.etcd.api.DeleteRangeResponse;
import fordridge.etcd.api.Event;
import fordridge.etcd.api.KVGrpc;
import fordridge.etcd.api.KeyValue;
import fordridge.etcd.api.LeaseGrantRequest;
import fordridge.etcd.api.LeaseGrantResponse;
import fordridge.etcd.api.LeaseGrpc;
import fordridge.etcd.api.LeaseKeepAliveRequest;
import fordridge.etcd.api.LeaseKeepAliveResponse;
import fordridge.etcd.api.LeaseRevokeRequest;
import fordridge.etcd.api.LeaseRevokeResponse;
import fordridge.etcd.api.LeaseTimeToLiveRequest;
import fordridge.etcd.api.LeaseTimeToLiveResponse;
import fordridge.etcd.api.PutRequest;
import fordridge.etcd.api.PutResponse;
import fordridge.etcd.api.RangeRequest;
import fordridge.etcd.api.RangeResponse;
import fordridge.etcd.api.RequestOp;
import fordridge.etcd.api.ResponseHeader;
import fordridge.etcd.api.ResponseOp;
import fordridge.etcd.api.TxnRequest;
import fordridge.etcd.api.TxnResponse;
import fordridge.etcd.api.WatchCreateRequest;
import fordridge.etcd.api.WatchGrpc;
import fordridge.etcd.api.WatchRequest;
import fordridge.etcd.api.WatchResponse;
import io.grpc.Context;
import io.grpc.Contexts;
import io.grpc.Metadata;
import io.grpc.Server;
import io.grpc.ServerCall;
import io.grpc.ServerCallHandler;
import io.grpc.ServerInterceptor;
import io.grpc.Status;
import io.grpc.netty.NettyServerBuilder;
import io.grpc.stub.ServerCallStreamObserver;
import io.grpc.stub.StreamObserver;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * A stand-in for etcd on loopback, by the published v3 API: ranges, puts, deletes, transactions,
 * compaction, leases and watches over a store in memory, with faults to bring about. One lock
 * guards it all; it is one member that always leads unless told otherwise.
 */
public final class EmulatedEtcd implements AutoCloseable {
  private static final class Lease {
    final long ttl;
    long until;

    Lease(long ttl, long until) {
      this.ttl = ttl;
      this.until = until;
    }
  }

  /** Hears what is sent to whom; the name is the client's user agent up to its first space. */
  interface SendListener {
    void snapshotSent(String who);

    void recordSent(String who, String key, boolean deleted);
  }

  private static final Context.Key<String> WHO = Context.key("who");

  private final class EndpointInterceptor implements ServerInterceptor {
    @Override
    public <A, B> ServerCall.Listener<A> interceptCall(
        ServerCall<A, B> call, Metadata headers, ServerCallHandler<A, B> next) {
      String given = headers.get(Metadata.Key.of("token", Metadata.ASCII_STRING_MARSHALLER));
      if (token != null && !token.equals(given)) {
        call.close(
            Status.UNAUTHENTICATED.withDescription("etcdserver: invalid auth token"),
            new Metadata());
        return new ServerCall.Listener<>() {};
      }
      String agent = headers.get(Metadata.Key.of("user-agent", Metadata.ASCII_STRING_MARSHALLER));
      String who = agent == null ? "" : agent.split(" ")[0].replace("fordridge/", "");
      return Contexts.interceptCall(Context.current().withValue(WHO, who), call, headers, next);
    }
  }

  private SendListener sent;
  private volatile String token;

  /** Calls without this token are refused. */
  public void requireToken(String wanted) {
    token = wanted;
  }

  synchronized void setSendListener(SendListener to) {
    sent = to;
  }

  /** One watch on one stream. */
  private final class Watcher {
    final WatchStream stream;
    final long id;
    final WatchCreateRequest asked;
    long next;

    Watcher(WatchStream stream, long id, WatchCreateRequest asked, long next) {
      this.stream = stream;
      this.id = id;
      this.asked = asked;
      this.next = next;
    }

    private boolean covers(ByteString key) {
      Comparator<ByteString> order = ByteString.unsignedLexicographicalComparator();
      ByteString end = asked.getRangeEnd();
      if (end.isEmpty()) {
        return key.equals(asked.getKey());
      }
      return order.compare(key, asked.getKey()) >= 0
          && (end.size() == 1 && end.byteAt(0) == 0 || order.compare(key, end) < 0);
    }

    private List<Event> mine(List<Event> events) {
      List<Event> some = new ArrayList<>();
      for (Event e : events) {
        boolean put = e.getType() == Event.EventType.PUT;
        if (covers(e.getKv().getKey())
            && !(put && asked.getFiltersList().contains(WatchCreateRequest.FilterType.NOPUT))
            && !(!put && asked.getFiltersList().contains(WatchCreateRequest.FilterType.NODELETE))) {
          some.add(asked.getPrevKv() ? e : e.toBuilder().clearPrevKv().build());
        }
      }
      return some;
    }
  }

  private final MvccStore store = new MvccStore();
  private final Map<Long, Lease> leases = new HashMap<>();
  private final List<WatchStream> streams = new ArrayList<>();
  private final ScheduledExecutorService clock =
      Executors.newSingleThreadScheduledExecutor(
          r -> {
            Thread t = new Thread(r, "etcd-stand-in");
            t.setDaemon(true);
            return t;
          });
  private final Server server;
  private long clusterId = 0xf0fd;
  private long lastLease = 1000;
  private boolean silent;
  private boolean leaderless;
  private long slowRangeMs;
  private long delayMs;
  private int fragment = 1000;
  private int resetAfterFragments = -1;
  private boolean repeats;
  private long ranges;
  private long progressEveryMs;

  public EmulatedEtcd() throws IOException {
    this(0, 500);
  }

  public EmulatedEtcd(int port, long progressEveryMs) throws IOException {
    this.progressEveryMs = progressEveryMs;
    server =
        NettyServerBuilder.forAddress(new InetSocketAddress("127.0.0.1", port))
            .intercept(new EndpointInterceptor())
            .addService(new KvService())
            .addService(new WatchService())
            .addService(new LeaseService())
            .maxInboundMessageSize(16 << 20)
            .permitKeepAliveTime(50, TimeUnit.MILLISECONDS)
            .permitKeepAliveWithoutCalls(true)
            .build()
            .start();
    clock.scheduleWithFixedDelay(this::expire, 20, 20, TimeUnit.MILLISECONDS);
    clock.scheduleWithFixedDelay(
        this::progress, progressEveryMs, progressEveryMs, TimeUnit.MILLISECONDS);
  }

  public int port() {
    return server.getPort();
  }

  private ResponseHeader header() {
    return ResponseHeader.newBuilder()
        .setClusterId(clusterId)
        .setMemberId(1)
        .setRevision(store.revision())
        .setRaftTerm(2)
        .build();
  }

  // ---- Straight in, for tests and the rig
  // ------------------------------------------------------------

  public synchronized long put(String key, String value) {
    return put(key, ByteString.copyFromUtf8(value), 0);
  }

  public synchronized long put(String key, ByteString value, long lease) {
    store.begin();
    store.put(ByteString.copyFromUtf8(key), value, lease);
    commit();
    return store.revision();
  }

  /** All at one revision; a null value deletes. */
  public synchronized long putAll(Map<String, String> values) {
    store.begin();
    values.forEach(
        (k, v) -> {
          if (v == null) {
            store.delete(ByteString.copyFromUtf8(k), ByteString.EMPTY);
          } else {
            store.put(ByteString.copyFromUtf8(k), ByteString.copyFromUtf8(v), 0);
          }
        });
    commit();
    return store.revision();
  }

  public synchronized long delete(String key) {
    store.begin();
    store.delete(ByteString.copyFromUtf8(key), ByteString.EMPTY);
    commit();
    return store.revision();
  }

  public synchronized long revision() {
    return store.revision();
  }

  public synchronized long ranges() {
    return ranges;
  }

  public synchronized int watchers() {
    return streams.stream().mapToInt(s -> s.watchers.size()).sum();
  }

  private void commit() {
    List<Event> events = store.commit();
    if (!events.isEmpty()) {
      List.copyOf(streams).forEach(WatchStream::offer);
    }
  }

  // ---- Faults
  // ----------------------------------------------------------------------------------------

  public synchronized void compactNow() {
    try {
      store.compact(store.revision());
    } catch (MvccStore.RevisionUnavailableException e) {
      return;
    }
    List.copyOf(streams).forEach(WatchStream::offer);
  }

  /** Streams stay open and nothing comes: no events, no progress. */
  public synchronized void silence(boolean on) {
    silent = on;
    if (!on) {
      List.copyOf(streams).forEach(WatchStream::offer);
    }
  }

  public synchronized void leaderless(boolean on) {
    leaderless = on;
    if (on) {
      cut();
    }
  }

  public synchronized void slowRanges(long ms) {
    slowRangeMs = ms;
  }

  /** Events are sent this much later. */
  public synchronized void delay(long ms) {
    delayMs = ms;
  }

  /**
   * At most so many events in one response, where the watch allows fragments; and a reset after so
   * many parts.
   */
  public synchronized void fragments(int most, int resetAfter) {
    fragment = most;
    resetAfterFragments = resetAfter;
  }

  /** Sends again what a returning watch has seen already. */
  public synchronized void repeat(boolean on) {
    repeats = on;
  }

  public synchronized void cut() {
    for (WatchStream s : List.copyOf(streams)) {
      s.end(Status.UNAVAILABLE.withDescription("etcdserver: no leader"));
    }
  }

  public synchronized void restore(long revision, boolean otherCluster) {
    store.restore(revision);
    if (otherCluster) {
      clusterId++;
    }
    cut();
  }

  // ---- Time
  // ------------------------------------------------------------------------------------------

  private static long millis() {
    return System.nanoTime() / 1_000_000;
  }

  private synchronized void expire() {
    for (Map.Entry<Long, Lease> e : List.copyOf(leases.entrySet())) {
      if (e.getValue().until <= millis()) {
        revoke(e.getKey());
      }
    }
  }

  /** Ends a lease now, whatever its owner thinks. */
  public synchronized void revoke(long id) {
    leases.remove(id);
    store.begin();
    for (ByteString k : List.copyOf(store.leased(id))) {
      store.delete(k, ByteString.EMPTY);
    }
    store.dropLease(id);
    commit();
  }

  public synchronized void revokeAll() {
    List.copyOf(leases.keySet()).forEach(this::revoke);
  }

  private synchronized void progress() {
    for (WatchStream s : List.copyOf(streams)) {
      for (Watcher w : List.copyOf(s.watchers.values())) {
        if (w.asked.getProgressNotify()) {
          s.progress(w.id);
        }
      }
    }
  }

  // ---- KV
  // --------------------------------------------------------------------------------------------

  private Status unavailable() {
    return Status.UNAVAILABLE.withDescription("etcdserver: no leader");
  }

  private static Status noRevision(MvccStore.RevisionUnavailableException e) {
    return Status.OUT_OF_RANGE.withDescription(
        e.compacted
            ? "etcdserver: mvcc: required revision has been compacted"
            : "etcdserver: mvcc: required revision is a future revision");
  }

  private final class KvService extends KVGrpc.KVImplBase {
    private <T> void answer(StreamObserver<T> to, Reply<T> how) {
      T reply;
      synchronized (EmulatedEtcd.this) {
        if (leaderless) {
          to.onError(unavailable().asRuntimeException());
          return;
        }
        try {
          reply = how.answer();
        } catch (MvccStore.RevisionUnavailableException e) {
          to.onError(noRevision(e).asRuntimeException());
          return;
        }
      }
      to.onNext(reply);
      to.onCompleted();
    }

    @Override
    public void range(RangeRequest r, StreamObserver<RangeResponse> to) {
      long wait;
      synchronized (EmulatedEtcd.this) {
        ranges++;
        wait = slowRangeMs;
      }
      String who = WHO.get();
      Reply<RangeResponse> ranging =
          () -> {
            RangeResponse b = ranged(r);
            if (sent != null) {
              if (r.getRevision() == 0) {
                sent.snapshotSent(who);
              }
              b.getKvsList().forEach(k -> sent.recordSent(who, k.getKey().toStringUtf8(), false));
            }
            return b;
          };
      if (wait > 0) {
        clock.schedule(() -> answer(to, ranging), wait, TimeUnit.MILLISECONDS);
      } else {
        answer(to, ranging);
      }
    }

    @Override
    public void put(PutRequest r, StreamObserver<PutResponse> to) {
      synchronized (EmulatedEtcd.this) {
        if (r.getLease() != 0 && !leases.containsKey(r.getLease())) {
          to.onError(
              Status.NOT_FOUND
                  .withDescription("etcdserver: requested lease not found")
                  .asRuntimeException());
          return;
        }
      }
      answer(
          to,
          () -> {
            store.begin();
            PutResponse.Builder b = putIn(r);
            commit();
            return b.setHeader(header()).build();
          });
    }

    @Override
    public void deleteRange(DeleteRangeRequest r, StreamObserver<DeleteRangeResponse> to) {
      answer(
          to,
          () -> {
            store.begin();
            DeleteRangeResponse.Builder b = deleteIn(r);
            commit();
            return b.setHeader(header()).build();
          });
    }

    @Override
    public void txn(TxnRequest r, StreamObserver<TxnResponse> to) {
      answer(
          to,
          () -> {
            store.begin();
            TxnResponse.Builder b = txnIn(r);
            commit();
            return b.setHeader(header()).build();
          });
    }

    @Override
    public void compact(CompactionRequest r, StreamObserver<CompactionResponse> to) {
      answer(
          to,
          () -> {
            store.compact(r.getRevision());
            return CompactionResponse.newBuilder().setHeader(header()).build();
          });
    }
  }

  private interface Reply<T> {
    T answer() throws MvccStore.RevisionUnavailableException;
  }

  private RangeResponse ranged(RangeRequest r) throws MvccStore.RevisionUnavailableException {
    List<KeyValue> all = new ArrayList<>(store.range(r.getKey(), r.getRangeEnd(), r.getRevision()));
    all.removeIf(
        k ->
            r.getMinModRevision() > 0 && k.getModRevision() < r.getMinModRevision()
                || r.getMaxModRevision() > 0 && k.getModRevision() > r.getMaxModRevision());
    if (r.getSortOrder() != RangeRequest.SortOrder.NONE) {
      Comparator<KeyValue> by =
          switch (r.getSortTarget()) {
            case VERSION -> Comparator.comparingLong(KeyValue::getVersion);
            case CREATE -> Comparator.comparingLong(KeyValue::getCreateRevision);
            case MOD -> Comparator.comparingLong(KeyValue::getModRevision);
            default ->
                Comparator.comparing(
                    KeyValue::getKey, ByteString.unsignedLexicographicalComparator());
          };
      all.sort(r.getSortOrder() == RangeRequest.SortOrder.DESCEND ? by.reversed() : by);
    }
    RangeResponse.Builder b = RangeResponse.newBuilder().setHeader(header()).setCount(all.size());
    if (!r.getCountOnly()) {
      int n = r.getLimit() > 0 ? (int) Math.min(r.getLimit(), all.size()) : all.size();
      b.setMore(n < all.size());
      all.subList(0, n)
          .forEach(k -> b.addKvs(r.getKeysOnly() ? k.toBuilder().clearValue().build() : k));
    }
    return b.build();
  }

  private PutResponse.Builder putIn(PutRequest r) {
    KeyValue old = store.put(r.getKey(), r.getValue(), r.getLease());
    PutResponse.Builder b = PutResponse.newBuilder();
    return r.getPrevKv() && old != null ? b.setPrevKv(old) : b;
  }

  private DeleteRangeResponse.Builder deleteIn(DeleteRangeRequest r) {
    List<KeyValue> gone = store.delete(r.getKey(), r.getRangeEnd());
    DeleteRangeResponse.Builder b = DeleteRangeResponse.newBuilder().setDeleted(gone.size());
    return r.getPrevKv() ? b.addAllPrevKvs(gone) : b;
  }

  private TxnResponse.Builder txnIn(TxnRequest r) throws MvccStore.RevisionUnavailableException {
    boolean holds = r.getCompareList().stream().allMatch(store::holds);
    TxnResponse.Builder b = TxnResponse.newBuilder().setSucceeded(holds);
    for (RequestOp op : holds ? r.getSuccessList() : r.getFailureList()) {
      ResponseOp.Builder o = ResponseOp.newBuilder();
      switch (op.getRequestCase()) {
        case REQUEST_RANGE -> o.setResponseRange(ranged(op.getRequestRange()));
        case REQUEST_PUT -> o.setResponsePut(putIn(op.getRequestPut()).setHeader(header()));
        case REQUEST_DELETE_RANGE ->
            o.setResponseDeleteRange(deleteIn(op.getRequestDeleteRange()).setHeader(header()));
        default -> o.setResponseTxn(txnIn(op.getRequestTxn()).setHeader(header()));
      }
      b.addResponses(o);
    }
    return b;
  }

  // ---- Watch
  // -----------------------------------------------------------------------------------------

  private final class WatchService extends WatchGrpc.WatchImplBase {
    @Override
    public StreamObserver<WatchRequest> watch(StreamObserver<WatchResponse> to) {
      WatchStream s = new WatchStream((ServerCallStreamObserver<WatchResponse>) to);
      synchronized (EmulatedEtcd.this) {
        if (leaderless) {
          to.onError(unavailable().asRuntimeException());
        } else {
          streams.add(s);
        }
      }
      return s;
    }
  }

  private final class WatchStream implements StreamObserver<WatchRequest> {
    private final ServerCallStreamObserver<WatchResponse> to;
    private final Map<Long, Watcher> watchers = new java.util.TreeMap<>();
    private final Deque<WatchResponse> delayed = new ArrayDeque<>();
    private final String who = WHO.get();
    private long lastId;
    private boolean over;
    private int parts;

    WatchStream(ServerCallStreamObserver<WatchResponse> to) {
      this.to = to;
      to.setOnCancelHandler(this::gone);
    }

    private void gone() {
      synchronized (EmulatedEtcd.this) {
        over = true;
        streams.remove(this);
      }
    }

    @Override
    public void onNext(WatchRequest r) {
      synchronized (EmulatedEtcd.this) {
        switch (r.getRequestUnionCase()) {
          case CREATE_REQUEST -> create(r.getCreateRequest());
          case CANCEL_REQUEST -> {
            if (watchers.remove(r.getCancelRequest().getWatchId()) != null) {
              send(
                  WatchResponse.newBuilder()
                      .setHeader(header())
                      .setWatchId(r.getCancelRequest().getWatchId())
                      .setCanceled(true)
                      .build());
            }
          }
          // Asked for by hand it speaks for the whole stream.
          default -> progress(-1);
        }
      }
    }

    private void create(WatchCreateRequest c) {
      long id = c.getWatchId() != 0 ? c.getWatchId() : ++lastId;
      lastId = Math.max(lastId, id);
      long from = c.getStartRevision() > 0 ? c.getStartRevision() : store.revision() + 1;
      if (repeats && c.getStartRevision() > 0) {
        from = Math.max(store.compacted() + 1, from - 3);
      }
      Watcher w = new Watcher(this, id, c, from);
      send(WatchResponse.newBuilder().setHeader(header()).setWatchId(id).setCreated(true).build());
      watchers.put(id, w);
      offer();
    }

    void progress(long id) {
      boolean caughtUp = watchers.values().stream().allMatch(w -> w.next > store.revision());
      if (!silent && caughtUp && delayed.isEmpty()) {
        send(WatchResponse.newBuilder().setHeader(header()).setWatchId(id).build());
      }
    }

    /** Sends each watcher what it has not had. */
    void offer() {
      if (silent || over) {
        return;
      }
      for (Watcher w : List.copyOf(watchers.values())) {
        try {
          List<Event> mine = new ArrayList<>();
          for (List<Event> batch :
              w.next > store.revision() ? List.<List<Event>>of() : store.since(w.next)) {
            mine.addAll(w.mine(batch));
          }
          w.next = Math.max(w.next, store.revision() + 1);
          split(w, mine);
        } catch (MvccStore.RevisionUnavailableException e) {
          watchers.remove(w.id);
          send(
              WatchResponse.newBuilder()
                  .setHeader(header())
                  .setWatchId(w.id)
                  .setCanceled(true)
                  .setCompactRevision(store.compacted())
                  .setCancelReason("etcdserver: mvcc: required revision has been compacted")
                  .build());
        }
      }
    }

    private void split(Watcher w, List<Event> mine) {
      int size = w.asked.getFragment() ? fragment : Integer.MAX_VALUE;
      for (int i = 0; i < mine.size(); i += size) {
        int end = (int) Math.min(mine.size(), (long) i + size);
        send(
            WatchResponse.newBuilder()
                .setHeader(header())
                .setWatchId(w.id)
                .setFragment(end < mine.size())
                .addAllEvents(mine.subList(i, end))
                .build());
        parts++;
        if (resetAfterFragments > 0 && parts >= resetAfterFragments) {
          resetAfterFragments = -1;
          end(Status.UNAVAILABLE.withDescription("transport is closing"));
          return;
        }
      }
    }

    private void send(WatchResponse r) {
      if (over) {
        return;
      }
      if (delayMs > 0 && r.getEventsCount() > 0 || !delayed.isEmpty()) {
        delayed.addLast(r);
        clock.schedule(
            () -> {
              synchronized (EmulatedEtcd.this) {
                WatchResponse first = delayed.pollFirst();
                if (first != null && !over) {
                  go(first);
                }
              }
            },
            Math.max(1, delayMs),
            TimeUnit.MILLISECONDS);
      } else {
        go(r);
      }
    }

    private void go(WatchResponse r) {
      if (sent != null) {
        r.getEventsList()
            .forEach(
                e ->
                    sent.recordSent(
                        who,
                        e.getKv().getKey().toStringUtf8(),
                        e.getType() == Event.EventType.DELETE));
      }
      to.onNext(r);
    }

    void end(Status why) {
      if (!over) {
        over = true;
        streams.remove(this);
        to.onError(why.asRuntimeException());
      }
    }

    @Override
    public void onError(Throwable t) {
      gone();
    }

    @Override
    public void onCompleted() {
      synchronized (EmulatedEtcd.this) {
        if (!over) {
          gone();
          to.onCompleted();
        }
      }
    }
  }

  // ---- Leases
  // ----------------------------------------------------------------------------------------

  private final class LeaseService extends LeaseGrpc.LeaseImplBase {
    @Override
    public void leaseGrant(LeaseGrantRequest r, StreamObserver<LeaseGrantResponse> to) {
      synchronized (EmulatedEtcd.this) {
        if (leaderless) {
          to.onError(unavailable().asRuntimeException());
          return;
        }
        long id = r.getID() != 0 ? r.getID() : ++lastLease;
        leases.put(id, new Lease(r.getTTL(), millis() + r.getTTL() * 1000));
        to.onNext(
            LeaseGrantResponse.newBuilder()
                .setHeader(header())
                .setID(id)
                .setTTL(r.getTTL())
                .build());
      }
      to.onCompleted();
    }

    @Override
    public void leaseRevoke(LeaseRevokeRequest r, StreamObserver<LeaseRevokeResponse> to) {
      synchronized (EmulatedEtcd.this) {
        if (!leases.containsKey(r.getID())) {
          to.onError(
              Status.NOT_FOUND
                  .withDescription("etcdserver: requested lease not found")
                  .asRuntimeException());
          return;
        }
        revoke(r.getID());
        to.onNext(LeaseRevokeResponse.newBuilder().setHeader(header()).build());
      }
      to.onCompleted();
    }

    @Override
    public StreamObserver<LeaseKeepAliveRequest> leaseKeepAlive(
        StreamObserver<LeaseKeepAliveResponse> to) {
      ((ServerCallStreamObserver<LeaseKeepAliveResponse>) to).setOnCancelHandler(() -> {});
      return new StreamObserver<>() {
        @Override
        public void onNext(LeaseKeepAliveRequest r) {
          synchronized (EmulatedEtcd.this) {
            Lease l = leases.get(r.getID());
            if (l != null) {
              l.until = millis() + l.ttl * 1000;
            }
            to.onNext(
                LeaseKeepAliveResponse.newBuilder()
                    .setHeader(header())
                    .setID(r.getID())
                    .setTTL(l == null ? 0 : l.ttl)
                    .build());
          }
        }

        @Override
        public void onError(Throwable t) {}

        @Override
        public void onCompleted() {
          to.onCompleted();
        }
      };
    }

    @Override
    public void leaseTimeToLive(
        LeaseTimeToLiveRequest r, StreamObserver<LeaseTimeToLiveResponse> to) {
      synchronized (EmulatedEtcd.this) {
        Lease l = leases.get(r.getID());
        LeaseTimeToLiveResponse.Builder b =
            LeaseTimeToLiveResponse.newBuilder()
                .setHeader(header())
                .setID(r.getID())
                .setTTL(l == null ? -1 : Math.max(0, (l.until - millis()) / 1000))
                .setGrantedTTL(l == null ? 0 : l.ttl);
        if (r.getKeys()) {
          b.addAllKeys(store.leased(r.getID()));
        }
        to.onNext(b.build());
      }
      to.onCompleted();
    }
  }

  @Override
  public void close() {
    clock.shutdownNow();
    server.shutdownNow();
  }
}
