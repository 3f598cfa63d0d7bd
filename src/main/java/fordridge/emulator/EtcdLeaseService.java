package fordridge.emulator;

import fordridge.etcd.api.LeaseGrantRequest;
import fordridge.etcd.api.LeaseGrantResponse;
import fordridge.etcd.api.LeaseGrpc;
import fordridge.etcd.api.LeaseKeepAliveRequest;
import fordridge.etcd.api.LeaseKeepAliveResponse;
import fordridge.etcd.api.LeaseRevokeRequest;
import fordridge.etcd.api.LeaseRevokeResponse;
import fordridge.etcd.api.LeaseTimeToLiveRequest;
import fordridge.etcd.api.LeaseTimeToLiveResponse;
import io.grpc.stub.ServerCallStreamObserver;
import io.grpc.stub.StreamObserver;

/** The lease service of the emulated etcd. */
final class EtcdLeaseService extends LeaseGrpc.LeaseImplBase {
  private final EtcdState state;

  EtcdLeaseService(EtcdState state) {
    this.state = state;
  }

  @Override
  public void leaseGrant(LeaseGrantRequest request, StreamObserver<LeaseGrantResponse> observer) {
    synchronized (state) {
      if (state.faults().isLeaderless) {
        observer.onError(EtcdState.noLeader().asRuntimeException());
        return;
      }
      long id = state.leases().grant(request.getID(), request.getTTL());
      observer.onNext(
          LeaseGrantResponse.newBuilder()
              .setHeader(state.header())
              .setID(id)
              .setTTL(request.getTTL())
              .build());
    }
    observer.onCompleted();
  }

  @Override
  public void leaseRevoke(
      LeaseRevokeRequest request, StreamObserver<LeaseRevokeResponse> observer) {
    synchronized (state) {
      if (!state.leases().contains(request.getID())) {
        observer.onError(EtcdState.leaseNotFound().asRuntimeException());
        return;
      }
      state.revoke(request.getID());
      observer.onNext(LeaseRevokeResponse.newBuilder().setHeader(state.header()).build());
    }
    observer.onCompleted();
  }

  @Override
  public StreamObserver<LeaseKeepAliveRequest> leaseKeepAlive(
      StreamObserver<LeaseKeepAliveResponse> observer) {
    // gRPC throws on a write to a cancelled stream unless a cancel handler is set.
    ((ServerCallStreamObserver<LeaseKeepAliveResponse>) observer).setOnCancelHandler(() -> {});
    return new KeepAliveStream(observer);
  }

  private final class KeepAliveStream implements StreamObserver<LeaseKeepAliveRequest> {
    private final StreamObserver<LeaseKeepAliveResponse> responses;

    KeepAliveStream(StreamObserver<LeaseKeepAliveResponse> responses) {
      this.responses = responses;
    }

    @Override
    public void onNext(LeaseKeepAliveRequest request) {
      synchronized (state) {
        responses.onNext(
            LeaseKeepAliveResponse.newBuilder()
                .setHeader(state.header())
                .setID(request.getID())
                .setTTL(state.leases().keepAlive(request.getID()))
                .build());
      }
    }

    @Override
    public void onError(Throwable cause) {
      // The client disconnected; its leases expire unless it renews them on another stream.
    }

    @Override
    public void onCompleted() {
      responses.onCompleted();
    }
  }

  @Override
  public void leaseTimeToLive(
      LeaseTimeToLiveRequest request, StreamObserver<LeaseTimeToLiveResponse> observer) {
    synchronized (state) {
      long id = request.getID();
      LeaseTimeToLiveResponse.Builder response =
          LeaseTimeToLiveResponse.newBuilder()
              .setHeader(state.header())
              .setID(id)
              .setTTL(state.leases().remainingSeconds(id))
              .setGrantedTTL(state.leases().grantedTtlSeconds(id));
      if (request.getKeys()) {
        response.addAllKeys(state.store().keysWithLease(id));
      }
      observer.onNext(response.build());
    }
    observer.onCompleted();
  }
}
