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
 * The connections to one machine that are not closed, oldest first, with methods to select one. Not
 * thread-safe.
 */
final class ConnectionSet {
  private final Set<MachineConnection> connections = new LinkedHashSet<>();

  void add(MachineConnection connection) {
    connections.add(connection);
  }

  /** Removes the connection; returns false if it was already removed. */
  boolean remove(MachineConnection connection) {
    return connections.remove(connection);
  }

  boolean isEmpty() {
    return connections.isEmpty();
  }

  boolean contains(MachineConnection connection) {
    return connections.contains(connection);
  }

  boolean hasEstablished() {
    return connections.stream().anyMatch(connection -> !connection.isOpening());
  }

  int size() {
    return connections.size();
  }

  /** Returns a copy, so that connections may be closed during iteration. */
  List<MachineConnection> all() {
    return List.copyOf(connections);
  }

  boolean hasOpening() {
    return connections.stream().anyMatch(MachineConnection::isOpening);
  }

  /** Returns the oldest connection that carries the request of this attempt. */
  Optional<MachineConnection> findRequestConnection(PlacementAttempt attempt) {
    return connections.stream().filter(connection -> connection.carries(attempt)).findFirst();
  }

  /**
   * Returns the connection that carries the sent request to which a message of the machine refers:
   * the connection that received the message, else any other. Empty if the message may refer to an
   * earlier attempt: it came on a connection where the VM's request was withdrawn, or on another
   * connection than the request's while an earlier attempt at the machine is unsettled.
   */
  Optional<MachineConnection> findRequestConnection(String vmId, MachineConnection receivedOn) {
    if (receivedOn.findSent(vmId).isPresent()) {
      return Optional.of(receivedOn);
    }
    if (receivedOn.hasWithdrawn(vmId)) {
      return Optional.empty();
    }
    return findRequestConnection(vmId)
        .filter(connection -> !connection.findSent(vmId).orElseThrow().hasUnsettledPredecessor());
  }

  /** Returns the oldest connection that carries a sent request for this VM. */
  Optional<MachineConnection> findRequestConnection(String vmId) {
    return connections.stream()
        .filter(connection -> connection.findSent(vmId).isPresent())
        .findFirst();
  }

  /**
   * Returns the oldest idle connection that is known to work, from its own use or from a message of
   * the machine within the given time.
   *
   * @param healthyFor how long a connection is assumed to work after such proof
   * @param machineHeardAt when the machine was last heard from; zero if that doesn't count as proof
   */
  Optional<MachineConnection> findHealthyIdle(
      Duration healthyFor, Duration machineHeardAt, Duration now) {
    return connections.stream()
        .filter(MachineConnection::isIdle)
        .filter(
            connection ->
                isWithin(healthyFor, Durations.max(connection.lastUsedAt(), machineHeardAt), now))
        .findFirst();
  }

  /** Returns the open connection with the fewest placement requests, the oldest if several. */
  Optional<MachineConnection> leastLoaded() {
    return connections.stream()
        .filter(MachineConnection::isOpen)
        .min(Comparator.comparingInt(MachineConnection::placementRequestCount));
  }

  /** Like {@link #leastLoaded}, but only among connections that carry placement requests. */
  Optional<MachineConnection> leastLoadedBusy() {
    return connections.stream()
        .filter(connection -> connection.isOpen() && connection.hasPlacementRequests())
        .min(Comparator.comparingInt(MachineConnection::placementRequestCount));
  }

  /** Returns the number of connections that carry placement requests. */
  int busyCount() {
    int count = 0;
    for (MachineConnection connection : connections) {
      count += connection.hasPlacementRequests() ? 1 : 0;
    }
    return count;
  }

  /** Returns the newest connection that is established, including one that is retiring. */
  Optional<MachineConnection> newestWritable() {
    return connections.stream()
        .filter(connection -> !connection.isOpening())
        .reduce((earlier, later) -> later);
  }

  /** Returns the newest connection that is open and not retiring. */
  Optional<MachineConnection> newestOpen() {
    return connections.stream().filter(MachineConnection::isOpen).reduce((earlier, later) -> later);
  }

  /** Returns the connection that has been idle longest. */
  Optional<MachineConnection> longestIdle() {
    return connections.stream()
        .filter(MachineConnection::isIdle)
        .min(Comparator.comparing(MachineConnection::lastUsedAt));
  }

  private static boolean isWithin(Duration span, Duration since, Duration now) {
    return now.minus(since).compareTo(span) < 0;
  }
}
