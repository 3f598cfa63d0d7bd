package fordridge.etcd;

import com.google.protobuf.ByteString;
import fordridge.etcd.api.KVGrpc;
import fordridge.etcd.api.KeyValue;
import fordridge.etcd.api.RangeResponse;
import io.grpc.ManagedChannel;
import io.grpc.Status;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Reads all records of the cluster page by page, every page at the revision of the first one.
 *
 * <p>A compaction between two pages starts the snapshot anew. Confined to the client's thread.
 */
final class SnapshotReader {
  /** Takes the snapshot as it comes. */
  interface Listener {
    /** A snapshot starts; what came of a snapshot before it that did not complete is void. */
    void snapshotStarted(long clusterId, long revision);

    /** A page came. */
    void snapshotPageReceived(List<KeyValue> records);

    /** All pages came. */
    void snapshotCompleted(long revision);

    /** A page could not be read. */
    void snapshotFailed(Status status);
  }

  private static final long LATEST_REVISION = 0;

  private final String keyPrefix;
  private final int pageSize;
  private final Duration callTimeout;
  private final Listener listener;
  private volatile int snapshotCount;

  SnapshotReader(String keyPrefix, int pageSize, Duration callTimeout, Listener listener) {
    this.keyPrefix = keyPrefix;
    this.pageSize = pageSize;
    this.callTimeout = callTimeout;
    this.listener = listener;
  }

  /** Starts a snapshot over a channel. */
  @SuppressWarnings("NonAtomicVolatileUpdate") // Only the client's thread writes.
  void start(ManagedChannel channel, ConnectionScheduler.Scope scope) {
    snapshotCount++;
    requestPage(channel, scope, EtcdRequests.bytes(keyPrefix), LATEST_REVISION);
  }

  /** Snapshots started so far; from any thread. */
  int snapshotCount() {
    return snapshotCount;
  }

  private void requestPage(
      ManagedChannel channel, ConnectionScheduler.Scope scope, ByteString from, long revision) {
    KVGrpc.newStub(channel)
        .withDeadlineAfter(callTimeout.toMillis(), TimeUnit.MILLISECONDS)
        .range(
            EtcdRequests.page(from, keyPrefix, pageSize, revision),
            new ScopedObserver<>(
                scope,
                page -> pageReceived(channel, scope, page, revision),
                status -> pageFailed(channel, scope, status)));
  }

  private void pageReceived(
      ManagedChannel channel,
      ConnectionScheduler.Scope scope,
      RangeResponse page,
      long requestedRevision) {
    boolean isFirstPage = requestedRevision == LATEST_REVISION;
    long revision = isFirstPage ? page.getHeader().getRevision() : requestedRevision;
    if (isFirstPage) {
      listener.snapshotStarted(page.getHeader().getClusterId(), revision);
    }
    listener.snapshotPageReceived(page.getKvsList());
    if (page.getMore() && page.getKvsCount() > 0) {
      requestPage(channel, scope, EtcdRequests.nextPage(page), revision);
    } else {
      listener.snapshotCompleted(revision);
    }
  }

  private void pageFailed(ManagedChannel channel, ConnectionScheduler.Scope scope, Status status) {
    boolean isCompacted = status.getCode() == Status.Code.OUT_OF_RANGE;
    if (isCompacted) {
      start(channel, scope);
    } else {
      listener.snapshotFailed(status);
    }
  }
}
