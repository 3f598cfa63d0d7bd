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
 * Where requests may go, from the bytes that peers sent and received, by the protocol page alone:
 * the kind of machine, and how many VMs of a service one scheduler may have on a machine. A VM
 * counts from the request's arrival at the machine, or 0.2 s after it was handed over, until the
 * machine has ended it or the scheduler has given it up. Thread-safe; times are in milliseconds.
 */
final class PlacementLedger {
  static final int MOST_PER_MACHINE = 2;
  static final String LIMITED_CLASS_KIND = "big";

  /** The protocol grants 0.2 s; the rest is for a busy test machine. */
  private static final long HANDOVER_GRACE = 200 + 150;

  /** A withdrawal may overtake, on another connection, what it made room for. */
  private static final long REORDERING = 100;

  /**
   * Two requests on two connections may be read in the other order than that in which they were
   * sent. One of a class without a limit may be sent behind a limited one, and not before it: so it
   * is not held against a limited one that is read within this time of it. Of two limited ones the
   * second breaks the limit in either order.
   */
  private static final long SEND_ORDER_UNKNOWN = 500;

  /** A VM that counts at a machine for a while. */
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
      long latest = isUnlimitedAttempt ? at - SEND_ORDER_UNKNOWN : at;
      return from < latest && until > at + REORDERING;
    }
  }

  private record Request(long service, boolean isLimited) {}

  private record Arrival(String id, String machine, long at) {}

  private final LongSupplier clock;
  private final Map<String, String> kinds = new HashMap<>();
  private final Map<String, Request> requests = new HashMap<>();
  private final Map<Long, List<CountedVm>> countedByService = new HashMap<>();

  /** VMs that their machine has ended; they may be handed over all the same. */
  private final Set<String> ended = new HashSet<>();

  private final List<Arrival> arrivals = new ArrayList<>();

  PlacementLedger(LongSupplier clock) {
    this.clock = clock;
  }

  synchronized void machineAdded(String machine, String kind) {
    kinds.put(machine, kind);
  }

  /** A VM is requested, or was before; {@code isLimited}: of the class with a limit and a kind. */
  synchronized void requested(String id, long service, boolean isLimited) {
    requests.put(id, new Request(service, isLimited));
  }

  /** The last byte of a handover was written to the scheduler. */
  synchronized void handedOver(String id, String machine) {
    if (!ended.contains(id)) {
      count(id, machine, clock.getAsLong() + HANDOVER_GRACE, false);
    }
  }

  /** A request reached the machine whole; its last byte was read at that time. */
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

  /** The machine has ended the VM or request, or has heard that it is given up. */
  synchronized void ended(String id, String machine) {
    Request request = requests.get(id);
    if (request == null) {
      return;
    }
    ended.add(id);
    for (CountedVm vm : countedByService.getOrDefault(request.service, List.of())) {
      if (vm.id.equals(id) && vm.machine.equals(machine)) {
        vm.until = Math.min(vm.until, clock.getAsLong());
      }
    }
  }

  /** The scheduler's process has ended: a new one has what is handed over to it. */
  synchronized void schedulerEnded() {
    long at = clock.getAsLong();
    countedByService.values().forEach(vms -> vms.forEach(vm -> vm.until = Math.min(vm.until, at)));
  }

  /** All that was broken so far. */
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
      if (others.size() >= MOST_PER_MACHINE) {
        violations.add(describe(arrival) + ", where " + others + " of its service count");
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
