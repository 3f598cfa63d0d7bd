package fordridge.emulator;

import com.google.protobuf.ByteString;
import fordridge.etcd.api.Event;
import fordridge.etcd.api.ResponseHeader;
import io.grpc.Status;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ScheduledExecutorService;

/**
 * The state that the services of the emulated etcd share. This object is also the lock: callers
 * must hold its monitor to use this state and any object reached through it.
 */
final class EtcdState {
  private static final long FIRST_CLUSTER_ID = 0xf0fd;
  private static final long MEMBER_ID = 1;
  private static final long RAFT_TERM = 2;

  private final MvccStore store = new MvccStore();
  private final EtcdLeases leases = new EtcdLeases();
  private final EtcdFaults faults = new EtcdFaults();
  private final List<EtcdWatchStream> streams = new ArrayList<>();
  private final ScheduledExecutorService executor;
  private EmulatedEtcd.SendListener sendListener = EmulatedEtcd.SendListener.NONE;
  private long clusterId = FIRST_CLUSTER_ID;
  private long rangeRequestCount;

  /**
   * Creates an empty state.
   *
   * @param executor runs delayed work; its tasks acquire the lock themselves
   */
  EtcdState(ScheduledExecutorService executor) {
    this.executor = executor;
  }

  ScheduledExecutorService executor() {
    return executor;
  }

  MvccStore store() {
    return store;
  }

  EtcdLeases leases() {
    return leases;
  }

  EtcdFaults faults() {
    return faults;
  }

  EmulatedEtcd.SendListener sendListener() {
    return sendListener;
  }

  void setSendListener(EmulatedEtcd.SendListener listener) {
    sendListener = listener;
  }

  long rangeRequestCount() {
    return rangeRequestCount;
  }

  void countRangeRequest() {
    rangeRequestCount++;
  }

  /** Changes the cluster id in all further response headers, as if this were another cluster. */
  void changeClusterId() {
    clusterId++;
  }

  ResponseHeader header() {
    return ResponseHeader.newBuilder()
        .setClusterId(clusterId)
        .setMemberId(MEMBER_ID)
        .setRevision(store.revision())
        .setRaftTerm(RAFT_TERM)
        .build();
  }

  static Status noLeader() {
    return Status.UNAVAILABLE.withDescription("etcdserver: no leader");
  }

  static Status leaseNotFound() {
    return Status.NOT_FOUND.withDescription("etcdserver: requested lease not found");
  }

  /** Commits the pending change of the store and sends its events to the watches. */
  void commit() {
    List<Event> events = store.commit();
    if (!events.isEmpty()) {
      sendPendingEvents();
    }
  }

  void sendPendingEvents() {
    List.copyOf(streams).forEach(EtcdWatchStream::sendPending);
  }

  void sendPeriodicProgress() {
    List.copyOf(streams).forEach(EtcdWatchStream::sendPeriodicProgress);
  }

  void endWatchStreams() {
    List.copyOf(streams).forEach(stream -> stream.end(noLeader()));
  }

  void add(EtcdWatchStream stream) {
    streams.add(stream);
  }

  void remove(EtcdWatchStream stream) {
    streams.remove(stream);
  }

  int watchCount() {
    return streams.stream().mapToInt(EtcdWatchStream::watchCount).sum();
  }

  /** Revokes a lease and deletes the keys attached to it. */
  void revoke(long lease) {
    leases.remove(lease);
    store.begin();
    for (ByteString key : List.copyOf(store.keysWithLease(lease))) {
      store.delete(key, ByteString.EMPTY);
    }
    store.removeLease(lease);
    commit();
  }

  void revokeExpired() {
    leases.expired().forEach(this::revoke);
  }
}
