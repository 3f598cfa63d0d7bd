package fordridge.etcd;

import fordridge.etcd.api.KVGrpc;
import fordridge.etcd.api.LeaseGrantRequest;
import fordridge.etcd.api.LeaseGrpc;
import fordridge.etcd.api.LeaseKeepAliveRequest;
import fordridge.etcd.api.LeaseKeepAliveResponse;
import fordridge.etcd.api.PutRequest;
import io.grpc.ManagedChannel;
import io.grpc.stub.StreamObserver;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Registers this scheduler in etcd under a lease, and keeps the lease alive while the connection
 * lasts.
 *
 * <p>If the lease expired or could not be granted, a new one is requested at the next keepalive.
 * Confined to the etcd client's thread; each connection has its own instance.
 */
final class SchedulerRegistration {
  private static final Logger LOG = LoggerFactory.getLogger(SchedulerRegistration.class);
  private static final String REGISTRATION_JSON = "{\"v\":2}";
  private static final int KEEPALIVES_PER_TTL = 3;

  private final ManagedChannel channel;
  private final ConnectionExecutor.Scope scope;
  private final String key;
  private final Duration leaseTtl;
  private final Duration callTimeout;
  private boolean isGranting;
  private boolean hasLease;
  private long leaseId;
  private StreamObserver<LeaseKeepAliveRequest> keepAliveRequests;

  SchedulerRegistration(
      ManagedChannel channel,
      ConnectionExecutor.Scope scope,
      String key,
      Duration leaseTtl,
      Duration callTimeout) {
    this.channel = channel;
    this.scope = scope;
    this.key = key;
    this.leaseTtl = leaseTtl;
    this.callTimeout = callTimeout;
  }

  /** Registers the scheduler, and sends keepalives until the scope ends. */
  void start() {
    grantLease();
    scheduleKeepAlive();
  }

  /** Closes the keepalive stream; the registration then expires with its lease. */
  void stop() {
    if (keepAliveRequests != null) {
      keepAliveRequests.onCompleted();
      keepAliveRequests = null;
    }
  }

  private void grantLease() {
    if (isGranting) {
      return;
    }
    isGranting = true;
    long ttlSeconds = Math.max(1, leaseTtl.toSeconds());
    LeaseGrpc.newStub(channel)
        .withDeadlineAfter(callTimeout.toMillis(), TimeUnit.MILLISECONDS)
        .leaseGrant(
            LeaseGrantRequest.newBuilder().setTTL(ttlSeconds).build(),
            new ScopedObserver<>(
                scope, lease -> leaseGranted(lease.getID()), status -> isGranting = false));
  }

  private void leaseGranted(long id) {
    leaseId = id;
    hasLease = true;
    PutRequest put =
        PutRequest.newBuilder()
            .setKey(EtcdRequests.bytes(key))
            .setValue(EtcdRequests.bytes(REGISTRATION_JSON))
            .setLease(id)
            .build();
    KVGrpc.newStub(channel)
        .withDeadlineAfter(callTimeout.toMillis(), TimeUnit.MILLISECONDS)
        .put(
            put,
            new ScopedObserver<>(
                scope, response -> isGranting = false, status -> isGranting = false));
  }

  private void scheduleKeepAlive() {
    scope.schedule(this::keepAlive, leaseTtl.dividedBy(KEEPALIVES_PER_TTL));
  }

  private void keepAlive() {
    if (hasLease) {
      if (keepAliveRequests == null) {
        keepAliveRequests = LeaseGrpc.newStub(channel).leaseKeepAlive(new KeepAliveObserver());
      }
      keepAliveRequests.onNext(LeaseKeepAliveRequest.newBuilder().setID(leaseId).build());
    } else {
      grantLease();
    }
    scheduleKeepAlive();
  }

  private final class KeepAliveObserver implements StreamObserver<LeaseKeepAliveResponse> {
    @Override
    public void onNext(LeaseKeepAliveResponse response) {
      scope.execute(
          () -> {
            boolean isExpired = response.getTTL() <= 0;
            if (isExpired && response.getID() == leaseId) {
              leaseLost();
            }
          });
    }

    @Override
    public void onError(Throwable failure) {
      scope.execute(() -> keepAliveRequests = null);
    }

    @Override
    public void onCompleted() {
      scope.execute(() -> keepAliveRequests = null);
    }
  }

  private void leaseLost() {
    LOG.warn("etcd: lease of this scheduler's registration expired; registering again");
    hasLease = false;
    grantLease();
  }
}
