package fordridge.machine;

import fordridge.model.PlacementAttempt;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * The VMs that run on one machine, by id, and which of them are being terminated. They are not
 * bound to a connection. Not thread-safe.
 */
final class RunningVms {
  private final Map<String, PlacementAttempt> attempts = new HashMap<>();

  /** The connection of each VM's placement request, by VM id; adopted VMs have none. */
  private final Map<String, MachineConnection> setUpConnections = new HashMap<>();

  private final UnclaimedTerminations unclaimedTerminations;

  /** The time by which the machine has to confirm a termination, by VM id. */
  private final Map<String, Duration> terminationDeadlines = new HashMap<>();

  RunningVms(RetainedEntries retained) {
    unclaimedTerminations = new UnclaimedTerminations(retained.unclaimedTerminations);
  }

  int size() {
    return attempts.size();
  }

  boolean isEmpty() {
    return attempts.isEmpty();
  }

  Optional<PlacementAttempt> find(String vmId) {
    return Optional.ofNullable(attempts.get(vmId));
  }

  List<PlacementAttempt> all() {
    return List.copyOf(attempts.values());
  }

  /** Returns a copy of the ids of the VMs. */
  Set<String> ids() {
    return Set.copyOf(attempts.keySet());
  }

  /** Adds a VM whose placement request was sent on the given connection. */
  void add(PlacementAttempt attempt, MachineConnection setUpConnection) {
    attempts.put(attempt.vm.id, attempt);
    setUpConnections.put(attempt.vm.id, setUpConnection);
  }

  /**
   * Returns the connection on which the VM's placement request was sent, which may be closed; empty
   * if the VM was adopted or doesn't run here.
   */
  Optional<MachineConnection> setUpConnection(String vmId) {
    return Optional.ofNullable(setUpConnections.get(vmId));
  }

  /** The machine sent a message on the VM, which runs here, on another connection. */
  void setConnection(String vmId, MachineConnection connection) {
    if (attempts.containsKey(vmId)) {
      setUpConnections.put(vmId, connection);
    }
  }

  /** Whether the placement request of any of the VMs was sent on the connection. */
  boolean isAnySetUpOn(MachineConnection connection) {
    return setUpConnections.containsValue(connection);
  }

  /**
   * Adopts a VM that was started before the scheduler. Returns the machine's termination notice for
   * it if that arrived earlier.
   */
  Optional<VmTermination> adopt(PlacementAttempt attempt, Duration now) {
    terminationDeadlines.remove(attempt.vm.id);
    setUpConnections.remove(attempt.vm.id);
    attempts.put(attempt.vm.id, attempt);
    return unclaimedTerminations.take(attempt.vm.id, now);
  }

  /** Removes the VM of a termination notice; keeps the notice for adoption if it is unknown. */
  Optional<PlacementAttempt> terminated(VmTermination termination, Duration now) {
    Optional<PlacementAttempt> attempt = remove(termination.vmId());
    if (attempt.isEmpty()) {
      unclaimedTerminations.add(termination, now);
    }
    return attempt;
  }

  /** Whether a termination notice for a VM that is not known to run here is kept. */
  boolean hasUnclaimedTermination(String vmId, Duration now) {
    return unclaimedTerminations.contains(vmId, now);
  }

  /** Drops the termination notices of unknown VMs that have expired. */
  void expireUnclaimedTerminations(Duration now) {
    unclaimedTerminations.removeSurplus(now);
  }

  /** Number of notices for unknown VMs that were displaced by later ones since the start. */
  long displacedTerminationCount() {
    return unclaimedTerminations.displacedCount();
  }

  /** Whether the VM is being terminated. */
  boolean isTerminating(String vmId) {
    return terminationDeadlines.containsKey(vmId);
  }

  /** Removes a VM, and its confirmation deadline if it is being terminated. */
  Optional<PlacementAttempt> remove(String vmId) {
    terminationDeadlines.remove(vmId);
    setUpConnections.remove(vmId);
    return Optional.ofNullable(attempts.remove(vmId));
  }

  /**
   * Records that the VM is being terminated; returns false if it already is, or does not run here.
   */
  boolean startTermination(PlacementAttempt attempt, Duration confirmationDeadline) {
    String vmId = attempt.vm.id;
    if (attempts.get(vmId) != attempt || terminationDeadlines.containsKey(vmId)) {
      return false;
    }
    terminationDeadlines.put(vmId, confirmationDeadline);
    return true;
  }

  /** Returns the ids of the VMs whose termination the machine has not confirmed yet. */
  Set<String> terminating() {
    return terminationDeadlines.keySet();
  }

  /** Removes and returns the VMs whose termination was not confirmed in time. */
  List<PlacementAttempt> takeUnconfirmed(Duration now) {
    List<PlacementAttempt> unconfirmed = new ArrayList<>();
    for (Map.Entry<String, Duration> deadline : List.copyOf(terminationDeadlines.entrySet())) {
      if (now.compareTo(deadline.getValue()) >= 0) {
        remove(deadline.getKey()).ifPresent(unconfirmed::add);
      }
    }
    return unconfirmed;
  }
}
