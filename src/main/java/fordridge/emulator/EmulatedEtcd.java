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
 * An emulated etcd on loopback, by the published v3 API: ranges, puts, deletes, transactions,
 * compaction, leases and watches over a store in memory, with faults to inject. It is one member
 * that always leads unless it is made leaderless. Thread-safe.
 */
public final class EmulatedEtcd implements AutoCloseable {
  private static final int DEFAULT_PROGRESS_INTERVAL_MILLIS = 500;
  private static final Duration LEASE_EXPIRY_CHECK_INTERVAL = Duration.ofMillis(20);
  private static final int MAX_MESSAGE_BYTES = 16 << 20;
  private static final int MIN_KEEPALIVE_INTERVAL_MILLIS = 50;

  /** Hears what is sent to which client; called under the lock of the state. */
  interface SendListener {
    /** Hears nothing. */
    SendListener NONE =
        new SendListener() {
          @Override
          public void snapshotSent(String client) {}

          @Override
          public void recordSent(String client, String key, boolean isDeleted) {}
        };

    /** A client is sent the present state of a range; its records follow. */
    void snapshotSent(String client);

    /** A client is sent a record, or that it was deleted. */
    void recordSent(String client, String key, boolean isDeleted);
  }

  private final ScheduledExecutorService executor = Timers.singleThread("emulated-etcd");
  private final EtcdClientInterceptor interceptor = new EtcdClientInterceptor();
  private final EtcdState state = new EtcdState(executor);
  private final Server server;

  /** Begins to serve on a free port. */
  public EmulatedEtcd() throws IOException {
    this(0, DEFAULT_PROGRESS_INTERVAL_MILLIS);
  }

  /**
   * Begins to serve.
   *
   * @param port on loopback; 0 for a free one
   * @param progressIntervalMillis how often progress is sent to the watches that want it
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

  /** Calls without this token fail from now on. */
  public void requireToken(String token) {
    interceptor.requireToken(token);
  }

  void setSendListener(SendListener listener) {
    synchronized (state) {
      state.setSendListener(listener);
    }
  }

  // Direct access to the store, beside its clients.

  /** Puts a value; the new revision. */
  public long put(String key, String value) {
    return put(key, ByteString.copyFromUtf8(value), 0);
  }

  /** Puts a value with a lease, 0 for none; the new revision. */
  public long put(String key, ByteString value, long lease) {
    synchronized (state) {
      state.store().begin();
      state.store().put(ByteString.copyFromUtf8(key), value, lease);
      state.commit();
      return state.store().revision();
    }
  }

  /** Puts values at one revision, which is returned; a null value deletes. */
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

  /** Deletes a key; the revision after that. */
  public long delete(String key) {
    synchronized (state) {
      state.store().begin();
      state.store().delete(ByteString.copyFromUtf8(key), ByteString.EMPTY);
      state.commit();
      return state.store().revision();
    }
  }

  /** The present revision. */
  public long revision() {
    synchronized (state) {
      return state.store().revision();
    }
  }

  /** The number of range requests so far. */
  public long ranges() {
    synchronized (state) {
      return state.rangeRequestCount();
    }
  }

  /** The number of open watches. */
  public int watchers() {
    synchronized (state) {
      return state.watchCount();
    }
  }

  /** Ends a lease and deletes its keys. */
  public void revoke(long lease) {
    synchronized (state) {
      state.revoke(lease);
    }
  }

  /** Ends all leases and deletes their keys. */
  public void revokeAll() {
    synchronized (state) {
      state.leases().all().forEach(state::revoke);
    }
  }

  // Faults.

  /** Compacts the history up to the present revision, if there is any. */
  public void compactNow() {
    synchronized (state) {
      try {
        state.store().compact(state.store().revision());
      } catch (MvccStore.RevisionUnavailableException e) {
        // The present revision is compacted already.
        return;
      }
      state.sendPendingEvents();
    }
  }

  /** Watches stay open and nothing is sent: no events, no progress. */
  public void setSilent(boolean on) {
    synchronized (state) {
      state.faults().isSilent = on;
      if (!on) {
        state.sendPendingEvents();
      }
    }
  }

  /** Requests fail for want of a leader; watches end. */
  public void leaderless(boolean on) {
    synchronized (state) {
      state.faults().isLeaderless = on;
      if (on) {
        state.endWatchStreams();
      }
    }
  }

  /** Ranges are answered this much later. */
  public void slowRanges(long millis) {
    synchronized (state) {
      state.faults().rangeDelayMillis = millis;
    }
  }

  /** Events are sent this much later. */
  public void setEventDelayMillis(long millis) {
    synchronized (state) {
      state.faults().eventDelayMillis = millis;
    }
  }

  /**
   * Limits the events in one response, where the watch allows fragments.
   *
   * @param maxEvents events in a response
   * @param resetAfter the first stream that has been sent so many responses is reset; 0 for none
   */
  public void fragments(int maxEvents, int resetAfter) {
    synchronized (state) {
      state.faults().maxEventsPerFragment = maxEvents;
      state.faults().fragmentsBeforeReset = resetAfter;
    }
  }

  /** Watches that return are sent some events again that they have seen. */
  public void repeat(boolean on) {
    synchronized (state) {
      state.faults().repeatsEvents = on;
    }
  }

  /** Ends all watches. */
  public void cut() {
    synchronized (state) {
      state.endWatchStreams();
    }
  }

  /** Goes back to a revision without history, as after a restore from a backup. */
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
