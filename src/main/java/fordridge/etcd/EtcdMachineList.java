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
 * The machine list from etcd: a snapshot at one revision, then a watch from the next revision on.
 *
 * <p>A broken watch resumes at the last revision over another endpoint; a compacted one, or a store
 * that was restored, leads to a new snapshot. What the records mean is up to {@link
 * MachineListReplica}; this class connects it with the store, on one thread of its own.
 */
public final class EtcdMachineList implements MachineListSource {
  private static final Logger LOG = LoggerFactory.getLogger(EtcdMachineList.class);
  private static final String THREAD_NAME = "etcd";
  private static final int PROGRESS_REQUESTS_PER_SILENCE = 3;
  private static final Duration MIN_WATCHDOG_INTERVAL = Duration.ofMillis(5);

  /** A resumed watch must confirm its progress within this many silence timeouts. */
  private static final int RESUME_TIMEOUT_FACTOR = 2;

  private final EtcdSettings settings;
  private final String schedulerName;
  private final StoreKeys keys;
  private final MachineListReplica replica;
  private final EndpointRotation endpoints;
  private final SchedulerCount schedulers;
  private final MachineListPublisher publisher = new MachineListPublisher();
  private final ConnectionScheduler thread =
      new ConnectionScheduler(THREAD_NAME, failure -> connectionFailed(failure.toString()));
  private final SnapshotReader snapshots;
  private final long createdAtNanos = System.nanoTime();
  private final CompletableFuture<Void> firstSnapshot = new CompletableFuture<>();

  // Confined to the thread.
  private ConnectionScheduler.Scope connection;
  private ManagedChannel channel;
  private WatchStream watch;
  private SchedulerRegistration registration;

  // Written on the thread, read from any.
  private volatile String lastFailure = "";
  private volatile int schedulerCount;
  private volatile Map<String, String> sharedSettings = Map.of();

  /**
   * Connects to the store and waits for the first snapshot.
   *
   * @param schedulerName name of this scheduler's registration
   * @param seed seed of the choice of endpoints
   * @throws IOException if no snapshot came within {@code etcd.start_within}
   */
  public EtcdMachineList(DeploymentSettings deployment, String schedulerName, long seed)
      throws IOException {
    this.settings = deployment.etcd();
    this.schedulerName = schedulerName;
    keys = new StoreKeys(settings.prefix());
    replica = new MachineListReplica(keys, settings.silenceTimeout());
    endpoints = new EndpointRotation(settings.endpoints().size(), new SeededRandom(seed));
    schedulers = new SchedulerCount(deployment.totalSchedulers(), settings.leaseTtl());
    schedulerCount = schedulers.count();
    snapshots =
        new SnapshotReader(
            keys.commonPrefix(),
            settings.snapshotPageSize(),
            settings.callTimeout(),
            new SnapshotListener());
    thread.execute(() -> thread.newScope().execute(this::connect));
    thread.executeRepeatedly(this::checkLiveness, watchdogInterval());
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
          "no list of machines from etcd at "
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
    connection = thread.newScope();
    channel = openChannel(settings.endpoints().get(endpoints.current()));
    if (replica.revision() > 0 && replica.syncState() == SyncState.STALE) {
      openWatch(replica.revision() + 1);
    } else {
      snapshots.start(channel, connection);
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
    if (thread.isShutdown()) {
      return;
    }
    lastFailure = reason;
    connection = thread.newScope();
    replica.connectionLost();
    schedulers.connectionLost();
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

  /** Loads snapshots into the replica. */
  private final class SnapshotListener implements SnapshotReader.Listener {
    @Override
    public void snapshotStarted(long clusterId, long revision) {
      replica.snapshotStarted(clusterId, revision, now());
    }

    @Override
    public void snapshotPageReceived(List<KeyValue> records) {
      replica.snapshotPageReceived(
          records.stream().map(record -> StoreRecordCodec.decode(record, keys)).toList(), now());
      // A drain does not wait for the pages behind it.
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
            "etcd: no machine under {}; every request is pending until there is one",
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
    public boolean isExpected(ResponseHeader header) {
      return header.getRevision() <= 0
          || header.getRevision() >= replica.revision()
              && header.getClusterId() == replica.clusterId();
    }

    @Override
    public void snapshotNeeded(WatchStream.SnapshotReason reason) {
      if (reason == WatchStream.SnapshotReason.COMPACTED) {
        LOG.info("etcd: compacted past revision {}, taking a new snapshot", replica.revision());
      }
      closeWatch(reason.name());
      connection = thread.newScope();
      replica.connectionLost();
      if (reason == WatchStream.SnapshotReason.COMPACTED) {
        publisher.publishStale();
      }
      if (registration != null) {
        registration.stop();
      }
      snapshots.start(channel, connection);
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

  /** Requests progress, and gives up a watch that does not confirm it in time. */
  private void checkLiveness() {
    try {
      if (watch != null && replica.checkSilence(now())) {
        connectionFailed("silent for " + settings.silenceTimeout().toMillis() + "ms");
        return;
      }
      if (watch != null) {
        watch.requestProgress();
      }
      if (watch != null && isResumeOverdue()) {
        connectionFailed("a resumed watch confirms no progress");
        return;
      }
      countSchedulers();
    } catch (RuntimeException e) {
      LOG.error("etcd: the check of the connection failed", e);
      connectionFailed(e.toString());
    }
  }

  private boolean isResumeOverdue() {
    Duration timeout = settings.silenceTimeout().multipliedBy(RESUME_TIMEOUT_FACTOR);
    return replica.syncState() == SyncState.STALE
        && now().minus(replica.lastHeardAt()).compareTo(timeout) > 0;
  }

  private void countSchedulers() {
    if (!settings.isRegistering() || replica.syncState() != SyncState.IN_SYNC) {
      return;
    }
    int before = schedulerCount;
    int count = schedulers.registrationsCounted(replica.registeredSchedulers(), now());
    if (count != before) {
      LOG.info("etcd: {} schedulers share the cluster, {} before", count, before);
      schedulerCount = count;
    }
  }

  private void publishCurrent(boolean isSnapshot) {
    publisher.markCurrent();
    if (replica.takeSharedSettingsChanged()) {
      sharedSettings = replica.sharedSettings();
    }
    countSchedulers();
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
    thread.execute(() -> publisher.addListener(listener));
  }

  @Override
  public int schedulerCount() {
    return schedulerCount;
  }

  @Override
  public Optional<String> sharedSetting(String name) {
    return Optional.ofNullable(sharedSettings.get(name));
  }

  /** Snapshots started so far. */
  public int snapshotCount() {
    return snapshots.snapshotCount();
  }

  @Override
  public void close() {
    thread.execute(
        () -> {
          connection = thread.newScope();
          if (channel != null) {
            channel.shutdownNow();
          }
        });
    thread.shutdown();
  }
}
