package fordridge.emulator;

import fordridge.etcd.api.WatchGrpc;
import fordridge.etcd.api.WatchRequest;
import fordridge.etcd.api.WatchResponse;
import io.grpc.stub.ServerCallStreamObserver;
import io.grpc.stub.StreamObserver;

/** The watch service of the emulated etcd. */
final class EtcdWatchService extends WatchGrpc.WatchImplBase {
  private final EtcdState state;

  EtcdWatchService(EtcdState state) {
    this.state = state;
  }

  @Override
  public StreamObserver<WatchRequest> watch(StreamObserver<WatchResponse> observer) {
    EtcdWatchStream stream =
        new EtcdWatchStream(state, (ServerCallStreamObserver<WatchResponse>) observer);
    synchronized (state) {
      if (state.faults().isLeaderless) {
        observer.onError(EtcdState.noLeader().asRuntimeException());
      } else {
        state.add(stream);
      }
    }
    return stream;
  }
}
