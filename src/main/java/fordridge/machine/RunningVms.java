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
 * The VMs that run on one machine, by id, and which of them are being terminated. Bound to no
 * connection; not thread-safe.
 */
final class RunningVms {
  private final Map<String, PlacementAttempt> attempts = new HashMap<>();

  private final UnclaimedTerminations unclaimedTerminations = new UnclaimedTerminations();

  /** By VM id, the time by which the machine has to confirm a termination. */
  private final Map<String, Duration> terminationDeadlines = new HashMap<>();

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

  void add(PlacementAttempt attempt) {
    attempts.put(attempt.vm.id, attempt);
  }

  /**
   * Takes over a VM that runs since before the scheduler's start. The result is the machine's
   * notice of its end, if that came before.
   */
  Optional<VmTermination> adopt(PlacementAttempt attempt, Duration now) {
    terminationDeadlines.remove(attempt.vm.id);
    add(attempt);
    return unclaimedTerminations.take(attempt.vm.id, now);
  }

  /** Removes the VM that a notice is about; a notice of an unknown VM is kept for its adoption. */
  Optional<PlacementAttempt> terminated(VmTermination termination, Duration now) {
    Optional<PlacementAttempt> attempt = remove(termination.vmId());
    if (attempt.isEmpty()) {
      unclaimedTerminations.add(termination, now);
    }
    return attempt;
  }

  /** Whether the end of a VM that is not known to run here was notified and is kept. */
  boolean isEndKept(String vmId, Duration now) {
    return unclaimedTerminations.contains(vmId, now);
  }

  /** Ends of unknown VMs that gave way to later ones since the start. */
  long displacedEndCount() {
    return unclaimedTerminations.displacedCount();
  }

  /** Whether the VM is being terminated. */
  boolean isTerminating(String vmId) {
    return terminationDeadlines.containsKey(vmId);
  }

  /** Removes a VM, and its termination if it is being terminated. */
  Optional<PlacementAttempt> remove(String vmId) {
    terminationDeadlines.remove(vmId);
    return Optional.ofNullable(attempts.remove(vmId));
  }

  /** Records that the VM is to be terminated; false if it is already, or does not run here. */
  boolean startTermination(PlacementAttempt attempt, Duration confirmBy) {
    String vmId = attempt.vm.id;
    if (attempts.get(vmId) != attempt || terminationDeadlines.containsKey(vmId)) {
      return false;
    }
    terminationDeadlines.put(vmId, confirmBy);
    return true;
  }

  /** Ids of the VMs whose termination the machine has not confirmed yet. */
  Set<String> terminating() {
    return terminationDeadlines.keySet();
  }

  /** Removes the VMs whose termination was not confirmed in time. */
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
