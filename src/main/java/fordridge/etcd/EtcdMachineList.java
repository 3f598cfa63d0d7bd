package fordridge.etcd;

import fordridge.discovery.MachineListSource;
import fordridge.etcd.api.Event;
import fordridge.etcd.api.KeyValue;
import fordridge.etcd.api.ResponseHeader;
import fordridge.membership.EndpointRotation;
import fordridge.membership.MachineListReplica;
import fordridge.membership.MachineListReplica.SyncState;
import fordridge.membership.SchedulerCount;
import fordridge.membership.StoreKeys;
import fordridge.model.Durations;
import fordridge.model.SeededRandom;
import fordridge.settings.DeploymentSettings;
import fordridge.settings.EtcdSettings;
import io.grpc.ManagedChannel;
import io.grpc.Metadata;
import io.grpc.Status;
import io.grpc.netty.NettyChannelBuilder;
import io.grpc.stub.MetadataUtils;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Machine list source that reads a snapshot from etcd, then watches for changes from the next
 * revision on.
 *
 * <p>A broken watch resumes at the last known revision through the next endpoint. If that revision
 * was compacted, or the store was restored from a backup, a new snapshot is read. The records are
 * interpreted by {@link MachineListReplica}, to which this class passes them on a single thread.
 */
public final class EtcdMachineList implements MachineListSource {
  private static final Logger LOG = LoggerFactory.getLogger(EtcdMachineList.class);
  private static final String THREAD_NAME = "etcd";
  private static final int PROGRESS_REQUESTS_PER_SILENCE = 3;
  private static final Duration MIN_WATCHDOG_INTERVAL = Duration.ofMillis(5);

  /**
   * A resumed watch must confirm progress within this multiple of the silence timeout, which is
   * extended after each round of failures.
   */
  private static final int RESUME_TIMEOUT_FACTOR = 2;

  private final EtcdSettings settings;
  private final String schedulerName;
  private final StoreKeys keys;
  private final MachineListReplica replica;
  private final EndpointRotation endpoints;
  private final SchedulerCount activeSchedulers;
  private final MachineListPublisher publisher = new MachineListPublisher();
  private final ConnectionExecutor executor =
      new ConnectionExecutor(THREAD_NAME, failure -> connectionFailed(failure.toString()));
  private final SnapshotReader snapshotReader;
  private final long createdAtNanos = System.nanoTime();
  private final CompletableFuture<Void> firstSnapshot = new CompletableFuture<>();

  // Confined to the thread of the executor.
  private ConnectionExecutor.Scope connection;
  private ManagedChannel channel;
  private WatchStream watch;
  private Duration watchOpenedAt = Duration.ZERO;
  private SchedulerRegistration registration;

  // Written on the thread of the executor, read on any thread.
  private volatile String lastFailure = "";
  private volatile int schedulerCount;
  private volatile Map<String, String> sharedSettings = Map.of();

  /**
   * Connects to the store and waits for the first snapshot.
   *
   * @param schedulerName name under which this scheduler registers
   * @param seed seed of the random choice of endpoints and delays
   * @throws IOException if no snapshot was read within {@code etcd.start_within}
   */
  public EtcdMachineList(DeploymentSettings deployment, String schedulerName, long seed)
      throws IOException {
    this.settings = deployment.etcd();
    this.schedulerName = schedulerName;
    keys = new StoreKeys(settings.prefix());
    replica = new MachineListReplica(keys, settings.silenceTimeout());
    endpoints = new EndpointRotation(settings.endpoints().size(), new SeededRandom(seed));
    activeSchedulers = new SchedulerCount(deployment.totalSchedulers(), settings.leaseTtl());
    schedulerCount = activeSchedulers.count();
    snapshotReader =
        new SnapshotReader(
            keys.commonPrefix(),
            settings.snapshotPageSize(),
            () -> settings.callTimeout().multipliedBy(endpoints.timeoutFactor()),
            new SnapshotListener());
    executor.execute(() -> executor.newScope().execute(this::connect));
    executor.executeRepeatedly(this::checkLiveness, watchdogInterval());
    awaitFirstSnapshot();
  }

  private Duration watchdogInterval() {
    Duration interval = settings.silenceTimeout().dividedBy(PROGRESS_REQUESTS_PER_SILENCE);
    return interval.compareTo(MIN_WATCHDOG_INTERVAL) < 0 ? MIN_WATCHDOG_INTERVAL : interval;
  }

  private void awaitFirstSnapshot() throws IOException {
    long timeoutMillis = settings.startTimeout().toMillis();
    try {
      firstSnapshot.get(timeoutMillis, TimeUnit.MILLISECONDS);
    } catch (TimeoutException | ExecutionException e) {
      close();
      String reason = lastFailure.isEmpty() ? "" : ": " + lastFailure;
      throw new IOException(
          "no machine list from etcd at "
              + settings.endpoints()
              + " under "
              + settings.prefix()
              + " within "
              + timeoutMillis
              + "ms"
              + reason);
    } catch (InterruptedException e) {
      close();
      Thread.currentThread().interrupt();
      throw new IOException("interrupted");
    }
  }

  private Duration now() {
    return Duration.ofNanos(System.nanoTime() - createdAtNanos);
  }

  private void connect() {
    connection = executor.newScope();
    channel = openChannel(settings.endpoints().get(endpoints.current()));
    if (replica.revision() > 0 && replica.syncState() == SyncState.STALE) {
      openWatch(replica.revision() + 1);
    } else {
      snapshotReader.start(channel, connection);
    }
    register();
  }

  private ManagedChannel openChannel(String endpoint) {
    long silenceMillis = settings.silenceTimeout().toMillis();
    NettyChannelBuilder builder =
        EtcdRequests.channelTo(endpoint)
            .directExecutor()
            .disableRetry()
            .userAgent("fordridge/" + schedulerName)
            .keepAliveTime(silenceMillis, TimeUnit.MILLISECONDS)
            .keepAliveTimeout(silenceMillis, TimeUnit.MILLISECONDS);
    if (!settings.token().isEmpty()) {
      Metadata header = new Metadata();
      header.put(Metadata.Key.of("token", Metadata.ASCII_STRING_MARSHALLER), settings.token());
      builder.intercept(MetadataUtils.newAttachHeadersInterceptor(header));
    }
    return builder.build();
  }

  private void openWatch(long fromRevision) {
    watchOpenedAt = now();
    watch =
        WatchStream.open(
            channel, connection, keys.commonPrefix(), fromRevision, new WatchListener());
  }

  private void register() {
    if (settings.isRegistering()) {
      registration =
          new SchedulerRegistration(
              channel,
              connection,
              keys.scheduler(schedulerName),
              settings.leaseTtl(),
              settings.callTimeout());
      registration.start();
    }
  }

  private void connectionFailed(String reason) {
    if (executor.isShutdown()) {
      return;
    }
    lastFailure = reason;
    connection = executor.newScope();
    replica.connectionLost();
    activeSchedulers.connectionLost();
    closeWatch("failed");
    registration = null;
    if (channel != null) {
      channel.shutdownNow();
      channel = null;
    }
    publisher.publishStale();
    LOG.atInfo()
        .addKeyValue("endpoint", settings.endpoints().get(endpoints.current()))
        .log("etcd: connection failed: {}", reason);
    connection.schedule(this::connect, endpoints.failed());
  }

  private void closeWatch(String reason) {
    if (watch != null) {
      watch.close(reason);
      watch = null;
    }
  }

  /** Applies snapshots to the replica. */
  private final class SnapshotListener implements SnapshotReader.Listener {
    @Override
    public void snapshotStarted(long clusterId, long revision) {
      replica.snapshotStarted(clusterId, revision, now());
    }

    @Override
    public void snapshotPageReceived(List<KeyValue> records) {
      replica.snapshotPageReceived(
          records.stream().map(record -> StoreRecordCodec.decode(record, keys)).toList(), now());
      // Publish drains immediately instead of after the remaining pages.
      if (publisher.hasPublished()) {
        publishUpdates(false);
      }
    }

    @Override
    public void snapshotCompleted(long revision) {
      replica.snapshotCompleted(now());
      endpoints.succeeded();
      publishCurrent(true);
      if (publisher.isEmpty()) {
        LOG.warn(
            "etcd: no machines under {}; requests stay pending until one is registered",
            keys.commonPrefix());
      }
      firstSnapshot.complete(null);
      openWatch(revision + 1);
    }

    @Override
    public void snapshotFailed(Status status) {
      connectionFailed("snapshot: " + status.getCode() + " " + status.getDescription());
    }
  }

  /** Applies the changes of the watch to the replica. */
  private final class WatchListener implements WatchStream.Listener {
    @Override
    public boolean isKnownHistory(ResponseHeader header) {
      return header.getRevision() <= 0
          || (header.getRevision() >= replica.revision()
              && header.getClusterId() == replica.clusterId());
    }

    @Override
    public void snapshotNeeded(WatchStream.SnapshotReason reason) {
      if (reason == WatchStream.SnapshotReason.COMPACTED) {
        LOG.info("etcd: revision {} is compacted; reading a new snapshot", replica.revision());
      }
      closeWatch(reason.name());
      connection = executor.newScope();
      replica.connectionLost();
      if (reason == WatchStream.SnapshotReason.COMPACTED) {
        publisher.publishStale();
      }
      if (registration != null) {
        registration.stop();
      }
      snapshotReader.start(channel, connection);
      register();
    }

    @Override
    public void fragmentReceived() {
      replica.progressConfirmed(replica.revision(), now());
    }

    @Override
    public void watchCreated(List<Event> changes) {
      boolean wasInSync = replica.syncState() == SyncState.IN_SYNC;
      applyChanges(changes);
      if (!changes.isEmpty() || !wasInSync) {
        publishCurrent(false);
      }
    }

    @Override
    public void changesReceived(List<Event> changes, long revision) {
      boolean wasInSync = replica.syncState() == SyncState.IN_SYNC;
      applyChanges(changes);
      replica.progressConfirmed(changes.isEmpty() ? revision : replica.revision(), now());
      endpoints.succeeded();
      if (!changes.isEmpty() || !wasInSync) {
        publishCurrent(false);
      }
    }

    @Override
    public void watchFailed(String reason) {
      connectionFailed(reason);
    }
  }

  private void applyChanges(List<Event> changes) {
    for (Event change : changes) {
      KeyValue record = change.getKv();
      if (change.getType() == Event.EventType.DELETE) {
        replica.recordDeleted(record.getKey().toStringUtf8(), record.getModRevision(), now());
      } else {
        replica.recordPut(StoreRecordCodec.decode(record, keys), now());
      }
    }
  }

  /** Requests a progress notification, and closes a connection that is silent for too long. */
  private void checkLiveness() {
    try {
      if (watch != null && replica.checkSilence(now())) {
        connectionFailed("no response for " + settings.silenceTimeout().toMillis() + "ms");
        return;
      }
      if (watch != null) {
        watch.requestProgress();
      }
      if (watch != null && isResumeOverdue()) {
        connectionFailed("no progress notification on the resumed watch");
        return;
      }
      updateSchedulerCount();
    } catch (RuntimeException e) {
      LOG.error("etcd: liveness check of the connection failed", e);
      connectionFailed(e.toString());
    }
  }

  private boolean isResumeOverdue() {
    Duration timeout =
        settings
            .silenceTimeout()
            .multipliedBy((long) RESUME_TIMEOUT_FACTOR * endpoints.timeoutFactor());
    Duration waitingSince = Durations.max(watchOpenedAt, replica.lastInputAt());
    return replica.syncState() == SyncState.STALE
        && now().minus(waitingSince).compareTo(timeout) > 0;
  }

  private void updateSchedulerCount() {
    if (!settings.isRegistering() || replica.syncState() != SyncState.IN_SYNC) {
      return;
    }
    int before = schedulerCount;
    int count = activeSchedulers.updateRegistrations(replica.registeredSchedulers(), now());
    if (count != before) {
      LOG.info("etcd: {} schedulers share the cluster, previously {}", count, before);
      schedulerCount = count;
    }
  }

  private void publishCurrent(boolean isSnapshot) {
    publisher.markCurrent();
    if (replica.takeSharedSettingsChanged()) {
      sharedSettings = replica.sharedSettings();
    }
    updateSchedulerCount();
    publishUpdates(isSnapshot);
  }

  private void publishUpdates(boolean isSnapshot) {
    replica.takeWarnings().forEach(warning -> LOG.warn("etcd: {}", warning));
    publisher.publish(replica.takeUpdates(), isSnapshot);
  }

  @Override
  public Update latest() {
    return publisher.latest();
  }

  @Override
  public void watch(Consumer<Update> listener) {
    executor.execute(() -> publisher.addListener(listener));
  }

  @Override
  public int schedulerCount() {
    return schedulerCount;
  }

  @Override
  public Optional<String> sharedSetting(String name) {
    return Optional.ofNullable(sharedSettings.get(name));
  }

  /** The number of snapshots started so far. */
  public int snapshotCount() {
    return snapshotReader.snapshotCount();
  }

  @Override
  public void close() {
    executor.execute(
        () -> {
          connection = executor.newScope();
          if (channel != null) {
            channel.shutdownNow();
          }
        });
    executor.shutdown();
  }
}
