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
import fordridge.etcd.api.TxnResponse;
import fordridge.membership.MachineRecord;
import fordridge.membership.RecordKind;
import fordridge.membership.StoreKeys;
import fordridge.membership.StoreRecord;
import io.grpc.ManagedChannel;
import io.grpc.StatusRuntimeException;
import java.io.IOException;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Reads and changes the store for operators; a change takes effect only if the record still is as
 * it was read. Calls block; not safe for use by several threads.
 */
public final class EtcdAdmin implements AutoCloseable {
  private static final int PAGE_SIZE = 500;
  private static final long LATEST_REVISION = 0;
  private static final long NOT_CREATED = 0;

  /**
   * One machine as it is in the store.
   *
   * @param state {@code live}, {@code draining} or {@code unreadable}
   * @param note why it drains, or what is wrong with its record
   */
  public record MachineRow(
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

  /** A setting that all schedulers share, with the revision of its last change. */
  public record SharedSetting(String name, long revision, String text) {}

  /** A record that changed between reading and writing it, or is not there. */
  public static final class ConcurrentUpdateException extends IOException {
    private static final long serialVersionUID = 1L;

    ConcurrentUpdateException(String message) {
      super(message);
    }
  }

  private interface Call<T> {
    T on(KVGrpc.KVBlockingStub stub);
  }

  private final StoreKeys keys;
  private final List<String> endpoints;
  private final Duration callTimeout;
  private ManagedChannel channel;

  /** A client that connects with the first call; the endpoints are tried in turn. */
  public EtcdAdmin(List<String> endpoints, String prefix, Duration callTimeout) {
    this.endpoints = List.copyOf(endpoints);
    this.keys = new StoreKeys(prefix);
    this.callTimeout = callTimeout;
  }

  /** All machines of the store, by name. */
  public List<MachineRow> machines() throws IOException {
    Map<String, KeyValue> drains = new HashMap<>();
    List<StoreRecord> machines = new ArrayList<>();
    for (KeyValue keyValue : readAll()) {
      StoreRecord record = StoreRecordCodec.decode(keyValue, keys);
      if (record.kind() == RecordKind.DRAIN) {
        drains.put(record.name(), keyValue);
      } else if (record.kind() == RecordKind.MACHINE) {
        machines.add(record);
      }
    }
    return machines.stream().map(record -> row(record, drains.get(record.name()))).toList();
  }

  private static MachineRow row(StoreRecord record, KeyValue drain) {
    if (record.value() instanceof MachineRecord machine) {
      return new MachineRow(
          record.name(),
          drain == null ? "live" : "draining",
          machine.kind(),
          machine.zone(),
          machine.cell(),
          machine.freeCores(),
          machine.freeMemory(),
          machine.address(),
          record.modRevision(),
          drain == null ? "" : describeDrain(drain));
    }
    String problem = record.value() instanceof StoreRecord.Unreadable bad ? bad.reason() : "";
    return new MachineRow(
        record.name(), "unreadable", "", "", 0, 0, 0, "", record.modRevision(), problem);
  }

  private static String describeDrain(KeyValue drain) {
    try {
      StoredJson json = StoredJson.parse(drain.getValue().toStringUtf8());
      String since = json.has("since") ? " since " + json.describe("since") : "";
      return json.describe("reason") + since;
    } catch (RecordFormatException e) {
      return "unreadable drain: " + e.getMessage();
    }
  }

  /**
   * Drains a machine; returns the revision of the change.
   *
   * @throws ConcurrentUpdateException if there is no such machine, or it drains already
   */
  public long drain(String machine, String reason, Instant since) throws IOException {
    if (read(keys.machine(machine)) == null) {
      throw new ConcurrentUpdateException("no machine '" + machine + "' in the store");
    }
    String key = keys.drain(machine);
    return commit(
        key,
        NOT_CREATED,
        put(key, StoreRecordCodec.encodeDrain(reason, since)),
        "machine '" + machine + "' drains already");
  }

  /**
   * Ends a machine's drain; returns the revision of the change.
   *
   * @throws ConcurrentUpdateException if it does not drain, or its drain changed meanwhile
   */
  public long undrain(String machine) throws IOException {
    String key = keys.drain(machine);
    KeyValue drain = read(key);
    if (drain == null) {
      throw new ConcurrentUpdateException("machine '" + machine + "' does not drain");
    }
    return commit(
        key,
        drain.getModRevision(),
        delete(key),
        "the drain of '" + machine + "' was changed meanwhile");
  }

  /** All settings that the schedulers share, by name. */
  public List<SharedSetting> sharedSettings() throws IOException {
    List<SharedSetting> settings = new ArrayList<>();
    for (KeyValue keyValue : readAll()) {
      String key = keyValue.getKey().toStringUtf8();
      if (keys.kind(key) == RecordKind.SHARED_SETTING) {
        settings.add(
            new SharedSetting(
                keys.name(key), keyValue.getModRevision(), keyValue.getValue().toStringUtf8()));
      }
    }
    return settings;
  }

  /**
   * Writes a shared setting; returns the revision of the change.
   *
   * @param expectedRevision the setting's revision, 0 for a new one
   * @throws ConcurrentUpdateException if it is not at that revision
   */
  public long putSharedSetting(String name, String text, long expectedRevision) throws IOException {
    String key = keys.sharedSetting(name);
    return commit(
        key,
        expectedRevision,
        put(key, text),
        "term '" + name + "' is not at revision " + expectedRevision);
  }

  private KeyValue read(String key) throws IOException {
    RangeRequest request = RangeRequest.newBuilder().setKey(EtcdRequests.bytes(key)).build();
    RangeResponse response = call(store -> store.range(request));
    return response.getKvsCount() == 0 ? null : response.getKvs(0);
  }

  private List<KeyValue> readAll() throws IOException {
    String prefix = keys.commonPrefix();
    List<KeyValue> records = new ArrayList<>();
    ByteString from = EtcdRequests.bytes(prefix);
    long revision = LATEST_REVISION;
    while (true) {
      RangeRequest request = EtcdRequests.page(from, prefix, PAGE_SIZE, revision);
      RangeResponse page = call(store -> store.range(request));
      records.addAll(page.getKvsList());
      if (!page.getMore()) {
        return records;
      }
      revision = revision == LATEST_REVISION ? page.getHeader().getRevision() : revision;
      from = EtcdRequests.nextPage(page);
    }
  }

  private static RequestOp put(String key, String value) {
    return RequestOp.newBuilder()
        .setRequestPut(
            PutRequest.newBuilder()
                .setKey(EtcdRequests.bytes(key))
                .setValue(EtcdRequests.bytes(value)))
        .build();
  }

  private static RequestOp delete(String key) {
    return RequestOp.newBuilder()
        .setRequestDeleteRange(DeleteRangeRequest.newBuilder().setKey(EtcdRequests.bytes(key)))
        .build();
  }

  /** Applies a change of a key if the key still is at the expected revision. */
  private long commit(String key, long expectedRevision, RequestOp change, String conflict)
      throws IOException {
    ByteString keyBytes = EtcdRequests.bytes(key);
    TxnRequest transaction =
        TxnRequest.newBuilder()
            .addCompare(
                Compare.newBuilder()
                    .setKey(keyBytes)
                    .setTarget(Compare.CompareTarget.MOD)
                    .setResult(Compare.CompareResult.EQUAL)
                    .setModRevision(expectedRevision))
            .addSuccess(change)
            .addFailure(
                RequestOp.newBuilder().setRequestRange(RangeRequest.newBuilder().setKey(keyBytes)))
            .build();
    TxnResponse response = call(store -> store.txn(transaction));
    if (!response.getSucceeded()) {
      RangeResponse current = response.getResponses(0).getResponseRange();
      throw new ConcurrentUpdateException(conflict + " (it is at " + revisionOf(current) + ")");
    }
    return response.getHeader().getRevision();
  }

  private static String revisionOf(RangeResponse current) {
    return current.getKvsCount() == 0 ? "none" : "revision " + current.getKvs(0).getModRevision();
  }

  /** Tries each endpoint in turn; the last one's error is reported with all their names. */
  private <T> T call(Call<T> call) throws IOException {
    StatusRuntimeException lastFailure = null;
    for (String endpoint : endpoints) {
      if (channel == null) {
        channel = EtcdRequests.channelTo(endpoint).build();
      }
      try {
        return call.on(
            KVGrpc.newBlockingStub(channel)
                .withDeadlineAfter(callTimeout.toMillis(), TimeUnit.MILLISECONDS));
      } catch (StatusRuntimeException e) {
        lastFailure = e;
        close();
        channel = null;
      }
    }
    String reason = lastFailure == null ? "no endpoint" : lastFailure.getStatus().toString();
    throw new IOException("etcd at " + endpoints + ": " + reason);
  }

  @Override
  public void close() {
    if (channel != null) {
      channel.shutdownNow();
    }
  }
}
