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
 * Reads and changes the records in etcd on behalf of operators.
 *
 * <p>A change is applied only if the record has not changed since it was read. Calls block; not
 * thread-safe.
 */
public final class EtcdAdmin implements AutoCloseable {
  private static final int PAGE_SIZE = 500;
  private static final long LATEST_REVISION = 0;
  private static final long ABSENT_REVISION = 0;

  /**
   * The record and drain of one machine in the store.
   *
   * @param state {@code live}, {@code draining} or {@code unreadable}
   * @param note why the machine drains, or why its record is unreadable
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

  /** Thrown if a record does not exist, or was changed between reading and writing it. */
  public static final class ConcurrentUpdateException extends IOException {
    private static final long serialVersionUID = 1L;

    ConcurrentUpdateException(String message) {
      super(message);
    }
  }

  private interface Call<T> {
    T execute(KVGrpc.KVBlockingStub stub);
  }

  private final StoreKeys keys;
  private final List<String> endpoints;
  private final Duration callTimeout;
  private ManagedChannel channel;

  /** Creates a client that connects on the first call; the endpoints are tried in order. */
  public EtcdAdmin(List<String> endpoints, String prefix, Duration callTimeout) {
    this.endpoints = List.copyOf(endpoints);
    this.keys = new StoreKeys(prefix);
    this.callTimeout = callTimeout;
  }

  /** Returns all machines in the store, sorted by name. */
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
    return machines.stream().map(record -> machineRow(record, drains.get(record.name()))).toList();
  }

  private static MachineRow machineRow(StoreRecord record, KeyValue drain) {
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
    String problem =
        record.value() instanceof StoreRecord.Unreadable unreadable ? unreadable.reason() : "";
    return new MachineRow(
        record.name(), "unreadable", "", "", 0, 0, 0, "", record.modRevision(), problem);
  }

  private static String describeDrain(KeyValue drain) {
    try {
      StoredJson json = StoredJson.parse(drain.getValue().toStringUtf8());
      String since = json.has("since") ? " since " + json.asText("since") : "";
      return json.asText("reason") + since;
    } catch (RecordFormatException e) {
      return "unreadable drain: " + e.getMessage();
    }
  }

  /**
   * Drains a machine, and returns the revision of the change.
   *
   * @throws ConcurrentUpdateException if the machine does not exist, or already drains
   */
  public long drain(String machine, String reason, Instant since) throws IOException {
    if (read(keys.machine(machine)) == null) {
      throw new ConcurrentUpdateException("no machine '" + machine + "' in the store");
    }
    String key = keys.drain(machine);
    return commitIfUnchanged(
        key,
        ABSENT_REVISION,
        put(key, StoreRecordCodec.encodeDrain(reason, since)),
        "machine '" + machine + "' drains already");
  }

  /**
   * Ends the drain of a machine, and returns the revision of the change.
   *
   * @throws ConcurrentUpdateException if the machine does not drain, or its drain record was
   *     changed concurrently
   */
  public long undrain(String machine) throws IOException {
    String key = keys.drain(machine);
    KeyValue drain = read(key);
    if (drain == null) {
      throw new ConcurrentUpdateException("machine '" + machine + "' does not drain");
    }
    return commitIfUnchanged(
        key,
        drain.getModRevision(),
        delete(key),
        "the drain of '" + machine + "' was changed concurrently");
  }

  /** Returns all settings that the schedulers share, sorted by name. */
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
   * Writes a shared setting, and returns the revision of the change.
   *
   * @param expectedRevision the current revision of the setting, 0 for a new one
   * @throws ConcurrentUpdateException if the setting is not at that revision
   */
  public long putSharedSetting(String name, String text, long expectedRevision) throws IOException {
    String key = keys.sharedSetting(name);
    return commitIfUnchanged(
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

  /** Applies a change of a key if the key is still at the expected revision. */
  private long commitIfUnchanged(
      String key, long expectedRevision, RequestOp change, String conflictMessage)
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
      throw new ConcurrentUpdateException(
          conflictMessage + " (current: " + revisionOf(current) + ")");
    }
    return response.getHeader().getRevision();
  }

  private static String revisionOf(RangeResponse current) {
    return current.getKvsCount() == 0 ? "none" : "revision " + current.getKvs(0).getModRevision();
  }

  /** Tries the endpoints in order; if all fail, throws the error of the last one. */
  private <T> T call(Call<T> call) throws IOException {
    StatusRuntimeException lastFailure = null;
    for (String endpoint : endpoints) {
      if (channel == null) {
        channel = EtcdRequests.channelTo(endpoint).build();
      }
      try {
        return call.execute(
            KVGrpc.newBlockingStub(channel)
                .withDeadlineAfter(callTimeout.toMillis(), TimeUnit.MILLISECONDS));
      } catch (StatusRuntimeException e) {
        lastFailure = e;
        close();
        channel = null;
      }
    }
    String reason =
        lastFailure == null ? "no endpoint is configured" : lastFailure.getStatus().toString();
    throw new IOException("etcd at " + endpoints + ": " + reason);
  }

  @Override
  public void close() {
    if (channel != null) {
      channel.shutdownNow();
    }
  }
}
