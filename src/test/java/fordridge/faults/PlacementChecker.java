package fordridge.faults;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.LongSupplier;

/**
 * Checks where requests are sent: only to the kind of machine of their class, and within the number
 * of VMs of a service that one scheduler may have on a machine. It knows only what the peers sent
 * and received, and the rules of the protocol's documentation. A VM counts from the request's
 * arrival at the machine, or from 0.2 s after its handover, until the machine has ended it or the
 * scheduler has given it up. Thread-safe; times are in milliseconds.
 */
final class PlacementChecker {
  static final int MAX_VMS_PER_MACHINE = 2;
  static final String LIMITED_CLASS_KIND = "big";

  /** The protocol allows 0.2 s; the rest is slack for a busy test host. */
  private static final long HANDOVER_GRACE_MILLIS = 200 + 150;

  /** A withdrawal may arrive, on another connection, after the request that takes its place. */
  private static final long REORDERING_MILLIS = 100;

  /**
   * Two requests on two connections may be read in another order than they were sent in. A request
   * of a class without a limit may be sent after a limited one that would break the limit behind
   * it. So it is not counted against a limited request that is read within this time after it. Of
   * two limited requests the second breaks the limit in either order.
   */
  private static final long SEND_ORDER_UNKNOWN_MILLIS = 500;

  /** A VM that counts at a machine during a span of time. */
  private static final class CountedVm {
    final String id;
    final String machine;
    final long from;
    final boolean isUnlimitedAttempt;
    long until = Long.MAX_VALUE;

    CountedVm(String id, String machine, long from, boolean isUnlimitedAttempt) {
      this.id = id;
      this.machine = machine;
      this.from = from;
      this.isUnlimitedAttempt = isUnlimitedAttempt;
    }

    boolean countsAt(long at) {
      long latest = isUnlimitedAttempt ? at - SEND_ORDER_UNKNOWN_MILLIS : at;
      return from < latest && until > at + REORDERING_MILLIS;
    }
  }

  private record Request(long service, boolean isLimited) {}

  private record Arrival(String id, String machine, long at) {}

  private final LongSupplier clock;
  private final Map<String, String> kinds = new HashMap<>();
  private final Map<String, Request> requests = new HashMap<>();
  private final Map<Long, List<CountedVm>> countedByService = new HashMap<>();

  /** VMs that their machine has ended; a handover of them may still follow. */
  private final Set<String> endedVms = new HashSet<>();

  private final List<Arrival> arrivals = new ArrayList<>();

  PlacementChecker(LongSupplier clock) {
    this.clock = clock;
  }

  synchronized void machineAdded(String machine, String kind) {
    kinds.put(machine, kind);
  }

  /** Adds a requested or existing VM; {@code isLimited}: its class has a limit and a kind. */
  synchronized void requested(String id, long service, boolean isLimited) {
    requests.put(id, new Request(service, isLimited));
  }

  /** The last byte of a handover was written to the scheduler. */
  synchronized void handedOver(String id, String machine) {
    if (!endedVms.contains(id)) {
      count(id, machine, clock.getAsLong() + HANDOVER_GRACE_MILLIS, false);
    }
  }

  /** The machine received a complete request, and read its last byte at {@code at}. */
  synchronized void attemptReceived(String id, String machine, long at) {
    arrivals.add(new Arrival(id, machine, at));
    count(id, machine, at, true);
  }

  private void count(String id, String machine, long from, boolean isAttempt) {
    Request request = requests.get(id);
    if (request != null) {
      countedByService
          .computeIfAbsent(request.service, key -> new ArrayList<>())
          .add(new CountedVm(id, machine, from, isAttempt && !request.isLimited));
    }
  }

  /** The machine has ended the VM or request, or has received its withdrawal. */
  synchronized void ended(String id, String machine) {
    Request request = requests.get(id);
    if (request == null) {
      return;
    }
    endedVms.add(id);
    for (CountedVm vm : countedByService.getOrDefault(request.service, List.of())) {
      if (vm.id.equals(id) && vm.machine.equals(machine)) {
        vm.until = Math.min(vm.until, clock.getAsLong());
      }
    }
  }

  /** The scheduler's process has ended: a new one knows only the VMs that are handed over to it. */
  synchronized void schedulerEnded() {
    long at = clock.getAsLong();
    countedByService.values().forEach(vms -> vms.forEach(vm -> vm.until = Math.min(vm.until, at)));
  }

  /** All violations so far. */
  synchronized List<String> violations() {
    List<String> violations = new ArrayList<>();
    for (Arrival arrival : arrivals) {
      Request request = requests.get(arrival.id);
      if (request == null || !request.isLimited) {
        continue;
      }
      if (!LIMITED_CLASS_KIND.equals(kinds.get(arrival.machine))) {
        violations.add(describe(arrival) + ", which is of kind " + kinds.get(arrival.machine));
      }
      Set<String> others = othersAt(arrival, request.service);
      if (others.size() >= MAX_VMS_PER_MACHINE) {
        violations.add(describe(arrival) + ", which already has " + others + " of its service");
      }
    }
    return violations;
  }

  private static String describe(Arrival arrival) {
    return arrival.at + " " + arrival.id + ": sent to " + arrival.machine;
  }

  private Set<String> othersAt(Arrival arrival, long service) {
    Set<String> others = new TreeSet<>();
    for (CountedVm vm : countedByService.getOrDefault(service, List.of())) {
      if (vm.machine.equals(arrival.machine)
          && !vm.id.equals(arrival.id)
          && vm.countsAt(arrival.at)) {
        others.add(vm.id);
      }
    }
    return others;
  }
}
