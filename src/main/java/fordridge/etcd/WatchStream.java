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
 * A watch of all records of the cluster, starting at one revision.
 *
 * <p>The next response is requested after the previous one was handled, so that gRPC flow control
 * bounds the queued responses. Fragments of a response are reassembled. Confined to the etcd
 * client's thread.
 */
final class WatchStream {
  /** Receives the changes and the end of the watch. */
  interface Listener {
    /** Whether a response belongs to the known history of the store; if not, the watch ends. */
    boolean isKnownHistory(ResponseHeader header);

    /** The store has created the watch. */
    void watchCreated(List<Event> changes);

    /** A fragment of a response was received; others follow. */
    void fragmentReceived();

    /** Complete changes were received; none in a progress notification. */
    void changesReceived(List<Event> changes, long revision);

    /** The watch cannot continue without a new snapshot. */
    void snapshotNeeded(SnapshotReason reason);

    /** The watch broke or was cancelled by the store. */
    void watchFailed(String reason);
  }

  /**
   * Why a watch cannot continue without a snapshot: its start revision was compacted, or the store
   * was restored or replaced.
   */
  enum SnapshotReason {
    COMPACTED,
    OTHER_HISTORY
  }

  private final ConnectionExecutor.Scope scope;
  private final Listener listener;
  private final List<Event> fragments = new ArrayList<>();
  private ClientCallStreamObserver<WatchRequest> requests;
  private boolean isClosed;

  private WatchStream(ConnectionExecutor.Scope scope, Listener listener) {
    this.scope = scope;
    this.listener = listener;
  }

  /** Opens a watch of all keys that begin with a prefix. */
  static WatchStream open(
      ManagedChannel channel,
      ConnectionExecutor.Scope scope,
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

  /** Requests a progress notification from the store. */
  void requestProgress() {
    requests.onNext(
        WatchRequest.newBuilder()
            .setProgressRequest(WatchProgressRequest.getDefaultInstance())
            .build());
  }

  /** Cancels the watch. */
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
      scope.execute(() -> listener.watchFailed("watch: closed by the store"));
    }
  }

  private void responseReceived(WatchResponse response) {
    if (response.getCanceled()) {
      watchCanceled(response);
      return;
    }
    if (!listener.isKnownHistory(response.getHeader())) {
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

  private void watchCanceled(WatchResponse response) {
    if (response.getCompactRevision() > 0) {
      listener.snapshotNeeded(SnapshotReason.COMPACTED);
    } else {
      listener.watchFailed("watch cancelled: " + response.getCancelReason());
    }
  }
}
