package fordridge.emulator;

import com.google.protobuf.ByteString;
import fordridge.etcd.api.CompactionRequest;
import fordridge.etcd.api.CompactionResponse;
import fordridge.etcd.api.DeleteRangeRequest;
import fordridge.etcd.api.DeleteRangeResponse;
import fordridge.etcd.api.KVGrpc;
import fordridge.etcd.api.KeyValue;
import fordridge.etcd.api.PutRequest;
import fordridge.etcd.api.PutResponse;
import fordridge.etcd.api.RangeRequest;
import fordridge.etcd.api.RangeResponse;
import fordridge.etcd.api.RequestOp;
import fordridge.etcd.api.ResponseOp;
import fordridge.etcd.api.TxnRequest;
import fordridge.etcd.api.TxnResponse;
import io.grpc.Status;
import io.grpc.stub.StreamObserver;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** The key-value service of the emulated etcd. */
final class EtcdKvService extends KVGrpc.KVImplBase {
  /** Creates a response; called with the lock of the state held. */
  private interface Operation<T> {
    T run() throws MvccStore.RevisionUnavailableException;
  }

  private final EtcdState state;

  EtcdKvService(EtcdState state) {
    this.state = state;
  }

  @Override
  public void range(RangeRequest request, StreamObserver<RangeResponse> observer) {
    String client = EtcdClientInterceptor.currentClient();
    long delayMillis;
    synchronized (state) {
      state.countRangeRequest();
      delayMillis = state.faults().rangeDelayMillis;
    }
    Operation<RangeResponse> operation = () -> rangeFor(client, request);
    if (delayMillis > 0) {
      Timers.schedule(
          state.executor(), Duration.ofMillis(delayMillis), () -> respond(observer, operation));
    } else {
      respond(observer, operation);
    }
  }

  private RangeResponse rangeFor(String client, RangeRequest request)
      throws MvccStore.RevisionUnavailableException {
    RangeResponse response = range(request);
    if (request.getRevision() == 0) {
      state.sendListener().snapshotSent(client);
    }
    for (KeyValue entry : response.getKvsList()) {
      state.sendListener().recordSent(client, entry.getKey().toStringUtf8(), false);
    }
    return response;
  }

  @Override
  public void put(PutRequest request, StreamObserver<PutResponse> observer) {
    synchronized (state) {
      if (request.getLease() != 0 && !state.leases().contains(request.getLease())) {
        observer.onError(EtcdState.leaseNotFound().asRuntimeException());
        return;
      }
    }
    respond(
        observer,
        () -> {
          state.store().begin();
          PutResponse.Builder response = put(request);
          state.commit();
          return response.setHeader(state.header()).build();
        });
  }

  @Override
  public void deleteRange(
      DeleteRangeRequest request, StreamObserver<DeleteRangeResponse> observer) {
    respond(
        observer,
        () -> {
          state.store().begin();
          DeleteRangeResponse.Builder response = delete(request);
          state.commit();
          return response.setHeader(state.header()).build();
        });
  }

  @Override
  public void txn(TxnRequest request, StreamObserver<TxnResponse> observer) {
    respond(
        observer,
        () -> {
          state.store().begin();
          TxnResponse.Builder response = runTransaction(request);
          state.commit();
          return response.setHeader(state.header()).build();
        });
  }

  @Override
  public void compact(CompactionRequest request, StreamObserver<CompactionResponse> observer) {
    respond(
        observer,
        () -> {
          state.store().compact(request.getRevision());
          return CompactionResponse.newBuilder().setHeader(state.header()).build();
        });
  }

  private <T> void respond(StreamObserver<T> observer, Operation<T> operation) {
    T response;
    synchronized (state) {
      if (state.faults().isLeaderless) {
        observer.onError(EtcdState.noLeader().asRuntimeException());
        return;
      }
      try {
        response = operation.run();
      } catch (MvccStore.RevisionUnavailableException e) {
        observer.onError(outOfRange(e).asRuntimeException());
        return;
      }
    }
    observer.onNext(response);
    observer.onCompleted();
  }

  private static Status outOfRange(MvccStore.RevisionUnavailableException exception) {
    return Status.OUT_OF_RANGE.withDescription(
        exception.isCompacted()
            ? "etcdserver: mvcc: required revision has been compacted"
            : "etcdserver: mvcc: required revision is a future revision");
  }

  private RangeResponse range(RangeRequest request) throws MvccStore.RevisionUnavailableException {
    List<KeyValue> entries =
        new ArrayList<>(
            state.store().range(request.getKey(), request.getRangeEnd(), request.getRevision()));
    entries.removeIf(entry -> !isInModRevisionBounds(request, entry.getModRevision()));
    sort(request, entries);
    RangeResponse.Builder response =
        RangeResponse.newBuilder().setHeader(state.header()).setCount(entries.size());
    if (!request.getCountOnly()) {
      addEntries(request, entries, response);
    }
    return response.build();
  }

  private static boolean isInModRevisionBounds(RangeRequest request, long revision) {
    long min = request.getMinModRevision();
    long max = request.getMaxModRevision();
    return (min <= 0 || revision >= min) && (max <= 0 || revision <= max);
  }

  private static void sort(RangeRequest request, List<KeyValue> entries) {
    if (request.getSortOrder() == RangeRequest.SortOrder.NONE) {
      return;
    }
    Comparator<KeyValue> order =
        switch (request.getSortTarget()) {
          case VERSION -> Comparator.comparingLong(KeyValue::getVersion);
          case CREATE -> Comparator.comparingLong(KeyValue::getCreateRevision);
          case MOD -> Comparator.comparingLong(KeyValue::getModRevision);
          default ->
              Comparator.comparing(
                  KeyValue::getKey, ByteString.unsignedLexicographicalComparator());
        };
    boolean isDescending = request.getSortOrder() == RangeRequest.SortOrder.DESCEND;
    entries.sort(isDescending ? order.reversed() : order);
  }

  private static void addEntries(
      RangeRequest request, List<KeyValue> entries, RangeResponse.Builder response) {
    int count = entries.size();
    if (request.getLimit() > 0) {
      count = (int) Math.min(request.getLimit(), count);
    }
    response.setMore(count < entries.size());
    for (KeyValue entry : entries.subList(0, count)) {
      response.addKvs(request.getKeysOnly() ? entry.toBuilder().clearValue().build() : entry);
    }
  }

  private PutResponse.Builder put(PutRequest request) {
    KeyValue old = state.store().put(request.getKey(), request.getValue(), request.getLease());
    PutResponse.Builder response = PutResponse.newBuilder();
    return request.getPrevKv() && old != null ? response.setPrevKv(old) : response;
  }

  private DeleteRangeResponse.Builder delete(DeleteRangeRequest request) {
    List<KeyValue> deleted = state.store().delete(request.getKey(), request.getRangeEnd());
    DeleteRangeResponse.Builder response =
        DeleteRangeResponse.newBuilder().setDeleted(deleted.size());
    return request.getPrevKv() ? response.addAllPrevKvs(deleted) : response;
  }

  private TxnResponse.Builder runTransaction(TxnRequest request)
      throws MvccStore.RevisionUnavailableException {
    boolean isSuccess = request.getCompareList().stream().allMatch(state.store()::isSatisfied);
    TxnResponse.Builder response = TxnResponse.newBuilder().setSucceeded(isSuccess);
    for (RequestOp operation : isSuccess ? request.getSuccessList() : request.getFailureList()) {
      response.addResponses(runOperation(operation));
    }
    return response;
  }

  private ResponseOp runOperation(RequestOp request) throws MvccStore.RevisionUnavailableException {
    ResponseOp.Builder response = ResponseOp.newBuilder();
    switch (request.getRequestCase()) {
      case REQUEST_RANGE -> response.setResponseRange(range(request.getRequestRange()));
      case REQUEST_PUT ->
          response.setResponsePut(put(request.getRequestPut()).setHeader(state.header()));
      case REQUEST_DELETE_RANGE ->
          response.setResponseDeleteRange(
              delete(request.getRequestDeleteRange()).setHeader(state.header()));
      default ->
          response.setResponseTxn(
              runTransaction(request.getRequestTxn()).setHeader(state.header()));
    }
    return response.build();
  }
}
