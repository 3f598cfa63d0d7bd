package fordridge.machine;

import fordridge.model.Durations;
import fordridge.model.PlacementAttempt;
import java.time.Duration;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * The connections to one machine that are not closed, oldest first, and the choice among them. Not
 * thread-safe.
 */
final class ConnectionSet {
  private final Set<MachineConnection> connections = new LinkedHashSet<>();

  void add(MachineConnection connection) {
    connections.add(connection);
  }

  /** Removes the connection; false if it was removed before. */
  boolean remove(MachineConnection connection) {
    return connections.remove(connection);
  }

  boolean isEmpty() {
    return connections.isEmpty();
  }

  int size() {
    return connections.size();
  }

  /** A copy, so that connections may be closed while it is gone through. */
  List<MachineConnection> all() {
    return List.copyOf(connections);
  }

  boolean hasOpening() {
    return connections.stream().anyMatch(MachineConnection::isOpening);
  }

  /** The oldest connection that carries the request of this attempt. */
  Optional<MachineConnection> findCarrier(PlacementAttempt attempt) {
    return connections.stream().filter(connection -> connection.carries(attempt)).findFirst();
  }

  /**
   * The connection that carries the sent request which the machine speaks of: the one that it
   * speaks on, else any other. What it says on a connection where the VM's request was withdrawn,
   * or elsewhere while an earlier attempt there is unsettled, may be about that one: empty.
   */
  Optional<MachineConnection> findCarrier(String vmId, MachineConnection heardOn) {
    if (heardOn.findSent(vmId).isPresent()) {
      return Optional.of(heardOn);
    }
    if (heardOn.hasWithdrawn(vmId)) {
      return Optional.empty();
    }
    return findCarrier(vmId)
        .filter(carrier -> !carrier.findSent(vmId).orElseThrow().hasUnsettledPredecessor());
  }

  /** The oldest connection that carries a sent request of this VM. */
  Optional<MachineConnection> findCarrier(String vmId) {
    return connections.stream()
        .filter(connection -> connection.findSent(vmId).isPresent())
        .findFirst();
  }

  /**
   * The oldest idle connection that was proven good recently.
   *
   * @param proofAt when the machine was last proven alive by other means than its own use
   */
  Optional<MachineConnection> findProvenIdle(Duration goodFor, Duration proofAt, Duration now) {
    return connections.stream()
        .filter(MachineConnection::isIdle)
        .filter(idle -> isWithin(goodFor, Durations.max(idle.lastUsedAt(), proofAt), now))
        .findFirst();
  }

  /** The open connection that carries the fewest placement requests, the oldest of these. */
  Optional<MachineConnection> leastLoaded() {
    return connections.stream()
        .filter(MachineConnection::isOpen)
        .min(Comparator.comparingInt(MachineConnection::placementRequestCount));
  }

  /** The open connection that carries the fewest placement requests, if any carries some. */
  Optional<MachineConnection> leastLoadedCarrier() {
    return connections.stream()
        .filter(connection -> connection.isOpen() && connection.isCarrier())
        .min(Comparator.comparingInt(MachineConnection::placementRequestCount));
  }

  /** How many connections carry placement requests. */
  int carrierCount() {
    int count = 0;
    for (MachineConnection connection : connections) {
      count += connection.isCarrier() ? 1 : 0;
    }
    return count;
  }

  /** The newest connection on which something can be said to the machine. */
  Optional<MachineConnection> newestWritable() {
    return connections.stream()
        .filter(connection -> !connection.isOpening())
        .reduce((earlier, later) -> later);
  }

  /** The newest connection that is open and not retiring. */
  Optional<MachineConnection> newestOpen() {
    return connections.stream().filter(MachineConnection::isOpen).reduce((earlier, later) -> later);
  }

  /** The connection that is idle for longest. */
  Optional<MachineConnection> longestIdle() {
    return connections.stream()
        .filter(MachineConnection::isIdle)
        .min(Comparator.comparing(MachineConnection::lastUsedAt));
  }

  private static boolean isWithin(Duration span, Duration since, Duration now) {
    return now.minus(since).compareTo(span) < 0;
  }
}
