package fordridge.etcd;

import com.google.protobuf.ByteString;
import fordridge.etcd.api.Compare;
import fordridge.etcd.api.DeleteRangeRequest;
import fordridge.etcd.api.KVGrpc;
import fordridge.etcd.api.KeyValue;
import fordridge.etcd.api.PutRequest;
import fordridge.etcd.api.RangeRequest;
import fordridge.etcd.api.RangeResponse;
import fordridge.etcd.api.RequestOp;
import fordridge.etcd.api.TxnRequest;
import fordridge.membership.MachineListReplica;
import fordridge.membership.StoreKeys;
import io.grpc.ManagedChannel;
import io.grpc.StatusRuntimeException;
import io.grpc.netty.NettyChannelBuilder;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** What operators do to the store, each change only if the record still is as it was read. */
public final class EtcdAdmin implements AutoCloseable {
  /** One machine as it stands in the store. */
  public record Row(
      String name,
      String state,
      String kind,
      String zone,
      int cell,
      double freeCores,
      double freeMemory,
      String address,
      long revision,
      String note) {}

  /** A record that changed between reading and writing it, or is not there. */
  public static final class ConcurrentUpdateException extends IOException {
    private static final long serialVersionUID = 1L;

    ConcurrentUpdateException(String what) {
      super(what);
    }
  }

  private final StoreKeys keys;
  private final List<String> endpoints;
  private final Duration within;
  private ManagedChannel channel;

  public EtcdAdmin(List<String> endpoints, String prefix, Duration within) {
    this.endpoints = endpoints;
    this.keys = new StoreKeys(prefix);
    this.within = within;
  }

  private interface Call<T> {
    T on(KVGrpc.KVBlockingStub stub);
  }

  /** Tries each endpoint in turn; the last one's error is told with all their names. */
  private <T> T call(Call<T> call) throws IOException {
    StatusRuntimeException last = null;
    for (String e : endpoints) {
      int colon = e.lastIndexOf(':');
      if (channel == null) {
        channel =
            NettyChannelBuilder.forAddress(
                    new InetSocketAddress(
                        e.substring(0, colon), Integer.parseInt(e.substring(colon + 1))))
                .usePlaintext()
                .maxInboundMessageSize(64 << 20)
                .build();
      }
      try {
        return call.on(
            KVGrpc.newBlockingStub(channel)
                .withDeadlineAfter(within.toMillis(), TimeUnit.MILLISECONDS));
      } catch (StatusRuntimeException wrong) {
        last = wrong;
        close();
        channel = null;
      }
    }
    throw new IOException(
        "etcd at " + endpoints + ": " + (last == null ? "no endpoint" : last.getStatus()));
  }

  private static ByteString bytes(String s) {
    return ByteString.copyFromUtf8(s);
  }

  private KeyValue read(String key) throws IOException {
    RangeResponse r = call(kv -> kv.range(RangeRequest.newBuilder().setKey(bytes(key)).build()));
    return r.getKvsCount() == 0 ? null : r.getKvs(0);
  }

  private List<KeyValue> all() throws IOException {
    List<KeyValue> all = new ArrayList<>();
    ByteString from = bytes(keys.all());
    byte[] end = from.toByteArray();
    end[end.length - 1]++;
    long revision = 0;
    while (true) {
      ByteString key = from;
      long at = revision;
      RangeResponse r =
          call(
              kv ->
                  kv.range(
                      RangeRequest.newBuilder()
                          .setKey(key)
                          .setRangeEnd(ByteString.copyFrom(end))
                          .setLimit(500)
                          .setRevision(at)
                          .build()));
      revision = revision == 0 ? r.getHeader().getRevision() : revision;
      all.addAll(r.getKvsList());
      if (!r.getMore()) {
        return all;
      }
      from = r.getKvs(r.getKvsCount() - 1).getKey().concat(ByteString.copyFrom(new byte[] {0}));
    }
  }

  public List<Row> machines() throws IOException {
    Map<String, KeyValue> drains = new LinkedHashMap<>();
    List<KeyValue> machines = new ArrayList<>();
    for (KeyValue kv : all()) {
      String key = kv.getKey().toStringUtf8();
      switch (keys.kind(key)) {
        case DRAIN -> drains.put(keys.name(key), kv);
        case MACHINE -> machines.add(kv);
        default -> {}
      }
    }
    List<Row> rows = new ArrayList<>();
    for (KeyValue kv : machines) {
      MachineListReplica.StoreRecord i = StoreRecordCodec.item(kv, keys);
      KeyValue drain = drains.get(i.name());
      String note = i.complaint() != null ? i.complaint() : drain == null ? "" : reason(drain);
      MachineListReplica.Machine m = i.machine();
      rows.add(
          new Row(
              i.name(),
              i.complaint() != null ? "unreadable" : drain != null ? "draining" : "live",
              m == null ? "" : m.kind(),
              m == null ? "" : m.zone(),
              m == null ? 0 : m.cell(),
              m == null ? 0 : m.freeCores(),
              m == null ? 0 : m.freeMemory(),
              m == null ? "" : m.address(),
              i.modRevision(),
              note));
    }
    return rows;
  }

  private static String reason(KeyValue drain) {
    try {
      Map<String, Object> f = StoreRecordCodec.fields(drain.getValue().toStringUtf8());
      return f.getOrDefault("reason", "")
          + (f.containsKey("since") ? " since " + f.get("since") : "");
    } catch (IllegalArgumentException e) {
      return "unreadable drain: " + e.getMessage();
    }
  }

  /** Drains a machine that is there and not draining yet; gives the revision. */
  public long drain(String machine, String reason, Instant now) throws IOException {
    if (read(keys.machine(machine)) == null) {
      throw new ConcurrentUpdateException("no machine '" + machine + "' in the store");
    }
    Map<String, Object> f = new LinkedHashMap<>();
    f.put("v", (long) StoreRecordCodec.CURRENT);
    f.put("reason", reason);
    f.put("since", now.toString());
    return swap(
        keys.drain(machine),
        0,
        StoreRecordCodec.write(f),
        "machine '" + machine + "' drains already");
  }

  public long undrain(String machine) throws IOException {
    KeyValue old = read(keys.drain(machine));
    if (old == null) {
      throw new ConcurrentUpdateException("machine '" + machine + "' does not drain");
    }
    return swap(
        keys.drain(machine),
        old.getModRevision(),
        null,
        "the drain of '" + machine + "' was changed meanwhile");
  }

  public Map<String, String> terms() throws IOException {
    Map<String, String> t = new LinkedHashMap<>();
    for (KeyValue kv : all()) {
      String key = kv.getKey().toStringUtf8();
      if (keys.kind(key) == MachineListReplica.StoreRecord.Kind.TERM) {
        t.put(keys.name(key) + " @" + kv.getModRevision(), kv.getValue().toStringUtf8());
      }
    }
    return t;
  }

  /** Writes a term if it still is at that revision (0: not there yet). */
  public long putTerm(String name, String value, long revision) throws IOException {
    return swap(
        keys.term(name), revision, value, "term '" + name + "' is not at revision " + revision);
  }

  private long swap(String key, long revision, String value, String otherwise) throws IOException {
    RequestOp.Builder then = RequestOp.newBuilder();
    if (value == null) {
      then.setRequestDeleteRange(DeleteRangeRequest.newBuilder().setKey(bytes(key)));
    } else {
      then.setRequestPut(PutRequest.newBuilder().setKey(bytes(key)).setValue(bytes(value)));
    }
    var r =
        call(
            kv ->
                kv.txn(
                    TxnRequest.newBuilder()
                        .addCompare(
                            Compare.newBuilder()
                                .setKey(bytes(key))
                                .setTarget(Compare.CompareTarget.MOD)
                                .setResult(Compare.CompareResult.EQUAL)
                                .setModRevision(revision))
                        .addSuccess(then)
                        .addFailure(
                            RequestOp.newBuilder()
                                .setRequestRange(RangeRequest.newBuilder().setKey(bytes(key))))
                        .build()));
    if (!r.getSucceeded()) {
      var now = r.getResponses(0).getResponseRange();
      throw new ConcurrentUpdateException(
          otherwise
              + " (it is at "
              + (now.getKvsCount() == 0 ? "none" : "revision " + now.getKvs(0).getModRevision())
              + ")");
    }
    return r.getHeader().getRevision();
  }

  @Override
  public void close() {
    if (channel != null) {
      channel.shutdownNow();
    }
  }
}
