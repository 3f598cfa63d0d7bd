package fordridge.emulator;

import com.google.protobuf.ByteString;
import fordridge.etcd.api.Event;
import fordridge.etcd.api.ResponseHeader;
import io.grpc.Status;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ScheduledExecutorService;

/**
 * What the services of the emulated etcd share. The object itself is the lock: all of its state,
 * and all that is reached through it, is used by its holder only.
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

  /** Delayed work runs on the executor, which takes the lock itself. */
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

  /** Watches of another cluster than before. */
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

  /** Commits the change that was begun in the store, and sends it to the watches. */
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

  /** Ends a lease and deletes its keys. */
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
