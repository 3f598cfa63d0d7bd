package fordridge.emulator;

import com.google.protobuf.ByteString;
import io.grpc.Server;
import io.grpc.netty.NettyServerBuilder;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * An emulated etcd on loopback that serves the published v3 API from memory: ranges, puts, deletes,
 * transactions, compaction, leases and watches. Faults can be injected. It emulates a cluster of a
 * single member, which is the leader unless {@link #setLeaderless} is in force. Thread-safe.
 */
public final class EmulatedEtcd implements AutoCloseable {
  private static final int DEFAULT_PROGRESS_INTERVAL_MILLIS = 500;
  private static final Duration LEASE_EXPIRY_CHECK_INTERVAL = Duration.ofMillis(20);
  private static final int MAX_MESSAGE_BYTES = 16 << 20;
  private static final int MIN_KEEPALIVE_INTERVAL_MILLIS = 50;

  /** Is notified of what is sent to each client; called with the lock of the state held. */
  interface SendListener {
    /** Ignores all events. */
    SendListener NONE =
        new SendListener() {
          @Override
          public void snapshotSent(String client) {}

          @Override
          public void recordSent(String client, String key, boolean isDeleted) {}
        };

    /**
     * A client is sent the latest state of a range; {@link #recordSent} follows for each record.
     */
    void snapshotSent(String client);

    /** A client is sent a record or the deletion of one. */
    void recordSent(String client, String key, boolean isDeleted);
  }

  private final ScheduledExecutorService executor = Timers.singleThread("emulated-etcd");
  private final EtcdClientInterceptor interceptor = new EtcdClientInterceptor();
  private final EtcdState state = new EtcdState(executor);
  private final Server server;

  /** Starts a server on a free port. */
  public EmulatedEtcd() throws IOException {
    this(0, DEFAULT_PROGRESS_INTERVAL_MILLIS);
  }

  /**
   * Starts a server.
   *
   * @param port the loopback port; 0 for a free one
   * @param progressIntervalMillis the interval at which progress notifications are sent to the
   *     watches that ask for them
   */
  public EmulatedEtcd(int port, long progressIntervalMillis) throws IOException {
    server =
        NettyServerBuilder.forAddress(new InetSocketAddress(InetAddress.getLoopbackAddress(), port))
            .intercept(interceptor)
            .addService(new EtcdKvService(state))
            .addService(new EtcdWatchService(state))
            .addService(new EtcdLeaseService(state))
            .maxInboundMessageSize(MAX_MESSAGE_BYTES)
            .permitKeepAliveTime(MIN_KEEPALIVE_INTERVAL_MILLIS, TimeUnit.MILLISECONDS)
            .permitKeepAliveWithoutCalls(true)
            .build()
            .start();
    Timers.repeat(executor, LEASE_EXPIRY_CHECK_INTERVAL, this::revokeExpired);
    Timers.repeat(executor, Duration.ofMillis(progressIntervalMillis), this::sendProgress);
  }

  private void revokeExpired() {
    synchronized (state) {
      state.revokeExpired();
    }
  }

  private void sendProgress() {
    synchronized (state) {
      state.sendPeriodicProgress();
    }
  }

  /** The port on loopback. */
  public int port() {
    return server.getPort();
  }

  /** Rejects calls without this authentication token from now on. */
  public void requireToken(String token) {
    interceptor.requireToken(token);
  }

  void setSendListener(SendListener listener) {
    synchronized (state) {
      state.setSendListener(listener);
    }
  }

  // Direct access to the store, bypassing the API.

  /** Puts a value and returns the new revision. */
  public long put(String key, String value) {
    return put(key, ByteString.copyFromUtf8(value), 0);
  }

  /** Puts a value attached to a lease (0 for none) and returns the new revision. */
  public long put(String key, ByteString value, long lease) {
    synchronized (state) {
      state.store().begin();
      state.store().put(ByteString.copyFromUtf8(key), value, lease);
      state.commit();
      return state.store().revision();
    }
  }

  /** Writes all values at one new revision, which is returned; a null value deletes its key. */
  public long putAll(Map<String, String> values) {
    synchronized (state) {
      state.store().begin();
      values.forEach(this::putOrDelete);
      state.commit();
      return state.store().revision();
    }
  }

  private void putOrDelete(String key, String value) {
    ByteString keyBytes = ByteString.copyFromUtf8(key);
    if (value == null) {
      state.store().delete(keyBytes, ByteString.EMPTY);
    } else {
      state.store().put(keyBytes, ByteString.copyFromUtf8(value), 0);
    }
  }

  /** Deletes a key and returns the revision after that. */
  public long delete(String key) {
    synchronized (state) {
      state.store().begin();
      state.store().delete(ByteString.copyFromUtf8(key), ByteString.EMPTY);
      state.commit();
      return state.store().revision();
    }
  }

  /** The latest revision. */
  public long revision() {
    synchronized (state) {
      return state.store().revision();
    }
  }

  /** The number of range requests received so far. */
  public long rangeRequestCount() {
    synchronized (state) {
      return state.rangeRequestCount();
    }
  }

  /** The number of open watches. */
  public int watchCount() {
    synchronized (state) {
      return state.watchCount();
    }
  }

  /** Revokes a lease and deletes the keys attached to it. */
  public void revoke(long lease) {
    synchronized (state) {
      state.revoke(lease);
    }
  }

  /** Revokes all leases and deletes the keys attached to them. */
  public void revokeAll() {
    synchronized (state) {
      state.leases().all().forEach(state::revoke);
    }
  }

  // Faults.

  /** Compacts the history up to the latest revision. */
  public void compactToLatestRevision() {
    synchronized (state) {
      try {
        state.store().compact(state.store().revision());
      } catch (MvccStore.RevisionUnavailableException e) {
        // The latest revision is already compacted.
        return;
      }
      state.sendPendingEvents();
    }
  }

  /** Starts or stops withholding all events and progress notifications; watches stay open. */
  public void setSilent(boolean on) {
    synchronized (state) {
      state.faults().isSilent = on;
      if (!on) {
        state.sendPendingEvents();
      }
    }
  }

  /**
   * Removes or restores the leader. Without one, requests fail with "no leader"; the open watches
   * end when it is removed.
   */
  public void setLeaderless(boolean on) {
    synchronized (state) {
      state.faults().isLeaderless = on;
      if (on) {
        state.endWatchStreams();
      }
    }
  }

  /** Delays the responses to range requests. */
  public void setRangeDelayMillis(long delayMillis) {
    synchronized (state) {
      state.faults().rangeDelayMillis = delayMillis;
    }
  }

  /** Delays the watch responses that carry events. */
  public void setEventDelayMillis(long millis) {
    synchronized (state) {
      state.faults().eventDelayMillis = millis;
    }
  }

  /**
   * Limits the events in one watch response, for watches that allow fragments.
   *
   * @param maxEvents the most events in a response
   * @param resetAfter the number of responses with events after which a stream is reset; only the
   *     first stream to reach it is reset; 0 for none
   */
  public void setFragmentation(int maxEvents, int resetAfter) {
    synchronized (state) {
      state.faults().maxEventsPerFragment = maxEvents;
      state.faults().fragmentsBeforeReset = resetAfter;
    }
  }

  /** Starts or stops sending some earlier events again to watches with a start revision. */
  public void setRepeatsEvents(boolean on) {
    synchronized (state) {
      state.faults().repeatsEvents = on;
    }
  }

  /** Ends all watch streams with an error. */
  public void endWatchStreams() {
    synchronized (state) {
      state.endWatchStreams();
    }
  }

  /**
   * Emulates a restore from a backup: sets the revision back, drops the history, and ends all
   * watches.
   *
   * @param otherCluster whether the cluster id changes as well
   */
  public void restore(long revision, boolean otherCluster) {
    synchronized (state) {
      state.store().restore(revision);
      if (otherCluster) {
        state.changeClusterId();
      }
      state.endWatchStreams();
    }
  }

  @Override
  public void close() {
    executor.shutdownNow();
    server.shutdownNow();
  }
}
