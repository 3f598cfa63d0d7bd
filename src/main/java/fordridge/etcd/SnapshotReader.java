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
import java.util.function.Supplier;

/**
 * Reads all records of the cluster page by page, each page at the revision of the first one.
 *
 * <p>If that revision is compacted between two pages, the snapshot is restarted. Confined to the
 * etcd client's thread.
 */
final class SnapshotReader {
  /** Receives the pages of a snapshot. */
  interface Listener {
    /** A snapshot starts; it supersedes a previous snapshot that did not complete. */
    void snapshotStarted(long clusterId, long revision);

    /** A page was received. */
    void snapshotPageReceived(List<KeyValue> records);

    /** All pages were received. */
    void snapshotCompleted(long revision);

    /** A page could not be read. */
    void snapshotFailed(Status status);
  }

  private static final long LATEST_REVISION = 0;

  private final String keyPrefix;
  private final int pageSize;
  private final Supplier<Duration> callTimeout;
  private final Listener listener;
  private volatile int snapshotCount;

  SnapshotReader(
      String keyPrefix, int pageSize, Supplier<Duration> callTimeout, Listener listener) {
    this.keyPrefix = keyPrefix;
    this.pageSize = pageSize;
    this.callTimeout = callTimeout;
    this.listener = listener;
  }

  /** Starts reading a snapshot over a channel. */
  @SuppressWarnings("NonAtomicVolatileUpdate") // Written on the client's thread only.
  void start(ManagedChannel channel, ConnectionExecutor.Scope scope) {
    snapshotCount++;
    requestPage(channel, scope, EtcdRequests.bytes(keyPrefix), LATEST_REVISION);
  }

  /** The number of snapshots started so far. Thread-safe. */
  int snapshotCount() {
    return snapshotCount;
  }

  private void requestPage(
      ManagedChannel channel, ConnectionExecutor.Scope scope, ByteString from, long revision) {
    KVGrpc.newStub(channel)
        .withDeadlineAfter(callTimeout.get().toMillis(), TimeUnit.MILLISECONDS)
        .range(
            EtcdRequests.page(from, keyPrefix, pageSize, revision),
            new ScopedObserver<>(
                scope,
                page -> pageReceived(channel, scope, page, revision),
                status -> pageFailed(channel, scope, status)));
  }

  private void pageReceived(
      ManagedChannel channel,
      ConnectionExecutor.Scope scope,
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

  private void pageFailed(ManagedChannel channel, ConnectionExecutor.Scope scope, Status status) {
    boolean isCompacted = status.getCode() == Status.Code.OUT_OF_RANGE;
    if (isCompacted) {
      start(channel, scope);
    } else {
      listener.snapshotFailed(status);
    }
  }
}
