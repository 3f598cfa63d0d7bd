package fordridge.machine;

import java.time.Duration;
import java.util.Optional;

/**
 * Selects an open connection to one machine for a placement request or health check, or opens a new
 * one. Not thread-safe.
 */
final class ConnectionOpener {
  private final OfferConnectionQuota offers;
  private final MachineTransport transport;
  private final ConnectionSet connections;
  private final LivenessDetector liveness;
  private final LostNoticeRecovery recovery;
  private ConnectionTimeouts timeouts;

  /** Whether the machine's last connection was closed to free it for other machines. */
  private boolean isLastConnectionReclaimed;

  ConnectionOpener(
      ConnectionTimeouts timeouts,
      OfferConnectionQuota offers,
      MachineTransport transport,
      ConnectionSet connections,
      LivenessDetector liveness,
      LostNoticeRecovery recovery) {
    this.timeouts = timeouts;
    this.offers = offers;
    this.transport = transport;
    this.connections = connections;
    this.liveness = liveness;
    this.recovery = recovery;
  }

  void setTimeouts(ConnectionTimeouts newTimeouts) {
    timeouts = newTimeouts;
  }

  /**
   * Selects a connection for a placement request: an idle one that is known to work, else a new
   * one, else the open one with the fewest placement requests. If no further connection may carry
   * placement requests, selects only among those that already do.
   *
   * @param idempotent whether the VM can safely be placed again if the connection turns out broken
   */
  Optional<MachineConnection> acquireForOffer(boolean idempotent, Duration now) {
    if (offers.isExhausted()) {
      return connections.leastLoadedBusy();
    }
    Optional<MachineConnection> connection = findHealthyIdle(idempotent, now);
    if (connection.isEmpty() && offers.mayOpen() && transport.canOpen()) {
      offers.connectionOpened();
      connection = Optional.of(open(now));
    }
    connection = connection.or(connections::leastLoaded);
    if (connection.isPresent() && !connection.get().hasPlacementRequests()) {
      offers.connectionBecameBusy();
    }
    return connection;
  }

  /**
   * Selects a connection for a health check: an idle one that is known to work, else a new one,
   * else the open one with the fewest placement requests.
   */
  Optional<MachineConnection> acquireForHealthCheck(Duration now) {
    Optional<MachineConnection> healthyIdle = findHealthyIdle(true, now);
    if (healthyIdle.isPresent()) {
      return healthyIdle;
    }
    return transport.canOpen() ? Optional.of(open(now)) : connections.leastLoaded();
  }

  private Optional<MachineConnection> findHealthyIdle(boolean idempotent, Duration now) {
    Duration healthyFor = idempotent ? timeouts.idleTimeout() : timeouts.recentUseWindow();
    Duration machineHeardAt = idempotent ? liveness.lastHeardAt() : Duration.ZERO;
    return connections.findHealthyIdle(healthyFor, machineHeardAt, now);
  }

  /** Opens a connection; the caller has checked that one may be opened. */
  MachineConnection open(Duration now) {
    MachineConnection connection = new MachineConnection(now, now.plus(timeouts.connectTimeout()));
    liveness.connectStarted(now);
    isLastConnectionReclaimed = false;
    connections.add(connection);
    recovery.connectionOpened(connection);
    transport.open(connection);
    return connection;
  }

  /** A connection of this machine was closed to free it for other machines. */
  void connectionReclaimed() {
    isLastConnectionReclaimed = connections.isEmpty();
  }

  /** Whether the last connection was closed to free it for other machines. */
  boolean isLastConnectionReclaimed() {
    return isLastConnectionReclaimed;
  }
}
