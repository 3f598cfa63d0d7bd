package fordridge.machine;

import java.time.Duration;
import java.util.Optional;

/** Finds or opens the connection to one machine that is to carry something. Not thread-safe. */
final class ConnectionOpener {
  private final OfferAllowance offers;
  private final MachineTransport transport;
  private final ConnectionSet connections;
  private final LivenessDetector liveness;
  private ConnectionTimeouts timeouts;

  /** Its last connection was closed in favour of other machines. */
  private boolean hasYielded;

  ConnectionOpener(
      ConnectionTimeouts timeouts,
      OfferAllowance offers,
      MachineTransport transport,
      ConnectionSet connections,
      LivenessDetector liveness) {
    this.timeouts = timeouts;
    this.offers = offers;
    this.transport = transport;
    this.connections = connections;
    this.liveness = liveness;
  }

  void setTimeouts(ConnectionTimeouts newTimeouts) {
    timeouts = newTimeouts;
  }

  /**
   * An idle connection known to be good, else a new one, else the open one that carries least; one
   * that carries some already if no further connection may.
   *
   * @param idempotent whether the VM may be placed again without harm should the connection be dead
   */
  Optional<MachineConnection> acquireForOffer(boolean idempotent, Duration now) {
    if (offers.isExhausted()) {
      return connections.leastLoadedCarrier();
    }
    Optional<MachineConnection> connection = findProvenIdle(idempotent, now);
    if (connection.isEmpty() && offers.mayOpen() && transport.canOpen()) {
      offers.opened();
      connection = Optional.of(open(now));
    }
    connection = connection.or(connections::leastLoaded);
    if (connection.isPresent() && !connection.get().isCarrier()) {
      offers.carrierTaken();
    }
    return connection;
  }

  /** An idle connection known to be good, else a new one, else the open one that carries least. */
  Optional<MachineConnection> acquireForHealthCheck(Duration now) {
    Optional<MachineConnection> proven = findProvenIdle(true, now);
    if (proven.isPresent()) {
      return proven;
    }
    return transport.canOpen() ? Optional.of(open(now)) : connections.leastLoaded();
  }

  private Optional<MachineConnection> findProvenIdle(boolean idempotent, Duration now) {
    Duration goodFor = idempotent ? timeouts.idleTimeout() : timeouts.provenFor();
    Duration proofAt = idempotent ? liveness.lastHeardAt() : Duration.ZERO;
    return connections.findProvenIdle(goodFor, proofAt, now);
  }

  /** Opens a connection, which may be done. */
  MachineConnection open(Duration now) {
    MachineConnection connection = new MachineConnection(now, now.plus(timeouts.connectTimeout()));
    liveness.connectStarted(now);
    hasYielded = false;
    connections.add(connection);
    transport.open(connection);
    return connection;
  }

  /** A connection was closed in favour of other machines. */
  void connectionYielded() {
    hasYielded = connections.isEmpty();
  }

  /** Whether its last connection was closed in favour of other machines. */
  boolean hasYielded() {
    return hasYielded;
  }
}
