package fordridge.etcd;

import fordridge.etcd.api.Event;
import fordridge.etcd.api.ResponseHeader;
import fordridge.etcd.api.WatchCreateRequest;
import fordridge.etcd.api.WatchGrpc;
import fordridge.etcd.api.WatchProgressRequest;
import fordridge.etcd.api.WatchRequest;
import fordridge.etcd.api.WatchResponse;
import io.grpc.ManagedChannel;
import io.grpc.Status;
import io.grpc.stub.ClientCallStreamObserver;
import io.grpc.stub.ClientResponseObserver;
import java.util.ArrayList;
import java.util.List;

/**
 * One watch of all records of the cluster, from a revision on.
 *
 * <p>The next response is requested when one was taken: what waits is in the transport, and bounded
 * there. The fragments of a change are put together. Confined to the client's thread.
 */
final class WatchStream {
  /** Takes what the watch delivers. */
  interface Listener {
    /** Whether the header belongs to the store's history that is known; else the watch ends. */
    boolean isExpected(ResponseHeader header);

    /** The watch began; all changes before it are known. */
    void watchCreated(List<Event> changes);

    /** A part of a change came; the others follow. */
    void fragmentReceived();

    /** Whole changes came, or none where only progress is confirmed. */
    void changesReceived(List<Event> changes, long revision);

    /** The revision to watch from was compacted, or the store's history is another one. */
    void snapshotNeeded(SnapshotReason reason);

    /** The watch ended. */
    void watchFailed(String reason);
  }

  /** Why a watch cannot go on without a snapshot. */
  enum SnapshotReason {
    COMPACTED,
    OTHER_HISTORY
  }

  private final ConnectionScheduler.Scope scope;
  private final Listener listener;
  private final List<Event> fragments = new ArrayList<>();
  private ClientCallStreamObserver<WatchRequest> requests;
  private boolean isClosed;

  private WatchStream(ConnectionScheduler.Scope scope, Listener listener) {
    this.scope = scope;
    this.listener = listener;
  }

  /** Opens a watch of all keys that begin with a prefix. */
  static WatchStream open(
      ManagedChannel channel,
      ConnectionScheduler.Scope scope,
      String keyPrefix,
      long fromRevision,
      Listener listener) {
    WatchStream stream = new WatchStream(scope, listener);
    WatchGrpc.newStub(channel).watch(stream.new ResponseObserver());
    stream.requests.onNext(
        WatchRequest.newBuilder().setCreateRequest(createRequest(keyPrefix, fromRevision)).build());
    return stream;
  }

  private static WatchCreateRequest createRequest(String keyPrefix, long fromRevision) {
    return WatchCreateRequest.newBuilder()
        .setKey(EtcdRequests.bytes(keyPrefix))
        .setRangeEnd(EtcdRequests.rangeEnd(keyPrefix))
        .setStartRevision(fromRevision)
        .setProgressNotify(true)
        .setFragment(true)
        .build();
  }

  /** Asks the store to confirm that it has delivered everything. */
  void requestProgress() {
    requests.onNext(
        WatchRequest.newBuilder()
            .setProgressRequest(WatchProgressRequest.getDefaultInstance())
            .build());
  }

  /** Ends the watch; nothing more is delivered. */
  void close(String reason) {
    isClosed = true;
    requests.cancel(reason, null);
  }

  private final class ResponseObserver
      implements ClientResponseObserver<WatchRequest, WatchResponse> {
    @Override
    public void beforeStart(ClientCallStreamObserver<WatchRequest> stream) {
      requests = stream;
      stream.disableAutoRequestWithInitial(1);
    }

    @Override
    public void onNext(WatchResponse response) {
      scope.execute(
          () -> {
            responseReceived(response);
            if (!isClosed) {
              requests.request(1);
            }
          });
    }

    @Override
    public void onError(Throwable failure) {
      Status status = Status.fromThrowable(failure);
      scope.execute(
          () -> listener.watchFailed("watch: " + status.getCode() + " " + status.getDescription()));
    }

    @Override
    public void onCompleted() {
      scope.execute(() -> listener.watchFailed("watch: ended by the store"));
    }
  }

  private void responseReceived(WatchResponse response) {
    if (response.getCanceled()) {
      canceled(response);
      return;
    }
    if (!listener.isExpected(response.getHeader())) {
      listener.snapshotNeeded(SnapshotReason.OTHER_HISTORY);
      return;
    }
    fragments.addAll(response.getEventsList());
    if (response.getFragment()) {
      listener.fragmentReceived();
      return;
    }
    List<Event> changes = List.copyOf(fragments);
    fragments.clear();
    if (response.getCreated()) {
      listener.watchCreated(changes);
    } else {
      listener.changesReceived(changes, response.getHeader().getRevision());
    }
  }

  private void canceled(WatchResponse response) {
    if (response.getCompactRevision() > 0) {
      listener.snapshotNeeded(SnapshotReason.COMPACTED);
    } else {
      listener.watchFailed("watch cancelled: " + response.getCancelReason());
    }
  }
}
