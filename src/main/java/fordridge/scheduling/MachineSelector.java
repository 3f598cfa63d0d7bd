package fordridge.scheduling;

import static fordridge.model.Durations.toSeconds;
import static fordridge.model.MachineLists.drawByHeadroom;
import static fordridge.model.MachineLists.filter;
import static fordridge.model.MachineLists.mean;
import static fordridge.model.MachineLists.min;
import static fordridge.model.MachineLists.prefer;
import static fordridge.model.MachineLists.totalHeadroom;

import fordridge.model.Machine;
import fordridge.model.RendezvousHashing;
import fordridge.model.SchedulerState;
import fordridge.model.Vm;
import java.util.ArrayList;
import java.util.List;

/** Chooses the machine for a VM among those that it may be offered to. */
record MachineSelector(
    SchedulerState state,
    SchedulerActions actions,
    CapacityModel capacity,
    CandidateFilter candidates,
    OutlierDetector outliers) {
  /** Machines that are compared in the end, and preferred machines of a service. */
  private static final int SAMPLE_SIZE = 3;

  /** The machine to offer the VM to, or null if none has capacity. */
  Machine select(Vm vm) {
    var settings = state.settingsOf(vm);
    List<Machine> eligible = new ArrayList<>(state.machines);
    eligible.removeIf(m -> !candidates.isEligible(vm, settings, m));
    List<Machine> machines = findCapacity(vm, eligible);
    // Tenants' preferences come first; without constraints all machines are alike.
    double least = min(machines, m -> actions.constraintPenalty(vm, m));
    machines = prefer(machines, m -> actions.constraintPenalty(vm, m) <= least);
    machines = shareOut(vm, prefer(machines, this::isWithinLimit), machines);
    if (settings.requiredKind() == null) {
      machines = spareRequiredKinds(machines);
    }
    machines = prefer(machines, m -> hasProgram(m, vm.service));
    if (state.settings.prices().otherZone() > 0) {
      machines = prefer(machines, m -> m.zone.equals(state.settings.zone()));
    }
    return machines.isEmpty() ? null : leastPressed(vm, machines);
  }

  /** Whether no machine that is open to its class has capacity for so large a VM. */
  boolean isTooLargeForAll(Vm vm) {
    var settings = state.settingsOf(vm);
    return withCapacity(vm, filter(state.machines, m -> candidates.isOpen(settings, m))).isEmpty();
  }

  /** Whether the machine hosts the service or did lately: a start there is a warm start. */
  boolean hasProgram(Machine machine, long service) {
    return state.isHostedWithin(state.settings.detectionTimeout(), machine, service);
  }

  /** Those with capacity, in the first of the preferred groups where any has. */
  private List<Machine> findCapacity(Vm vm, List<Machine> eligible) {
    List<Machine> found = withCapacityAmongProven(vm, eligible);
    // Where machines in use have a price, an empty one is opened only when none in use will do.
    boolean isPriced = state.settings.prices().machineInUse() > 0;
    List<Machine> used = isPriced ? prefer(eligible, this::isInUse) : eligible;
    found = found.isEmpty() ? withCapacity(vm, homes(vm.service, used)) : found;
    found = found.isEmpty() && isPriced ? withCapacity(vm, used) : found;
    return found.isEmpty() ? withCapacity(vm, eligible) : found;
  }

  /** While such VMs are rejected: those that reject stay empty, and would draw every attempt. */
  private List<Machine> withCapacityAmongProven(Vm vm, List<Machine> eligible) {
    if (!outliers.isBeingRejected(vm)) {
      return List.of();
    }
    List<Machine> proven = filter(eligible, m -> outliers.acceptedLately(vm, m));
    return proven.isEmpty() ? proven : withCapacity(vm, proven);
  }

  /** Machines where the service runs or, by a hash that all schedulers share, should run. */
  private List<Machine> homes(long service, List<Machine> machines) {
    List<Machine> first = RendezvousHashing.first(service, machines, SAMPLE_SIZE);
    return prefer(machines, m -> hasProgram(m, service) || first.contains(m));
  }

  private boolean isInUse(Machine machine) {
    return !machine.hostedAttempts.isEmpty() || machine.freeCores < machine.cores * 0.999;
  }

  /** Regular capacity first, opportunistic capacity where no machine has any. */
  private List<Machine> withCapacity(Vm vm, List<Machine> machines) {
    List<Machine> regular = shareOut(vm, capacity.withRegularCapacity(vm, machines), List.of());
    return regular.isEmpty() ? capacity.withOpportunisticCapacity(vm, machines) : regular;
  }

  /**
   * All schedulers prefer the same by one outdated list: where they place more than the preferred
   * machines have free, only that part of the VMs goes there, by chance.
   */
  private List<Machine> shareOut(Vm vm, List<Machine> preferred, List<Machine> otherwise) {
    double headroom = totalHeadroom(preferred);
    return state.random.next() * coresPlacedUnseen(vm) < headroom ? preferred : otherwise;
  }

  /** Cores that others placed since what the list shows, if all is renewed once in a lifetime. */
  private double coresPlacedUnseen(Vm vm) {
    double schedulers = state.schedulerCount;
    var listAge = state.since(state.listReceivedAt).plus(state.detectionTimeouts(1.0 / 3));
    double rate = state.usage.requestedCores / state.classOf(vm).lifetimeSeconds.value();
    return rate * (schedulers - 1) / schedulers * toSeconds(listAge);
  }

  private boolean isWithinLimit(Machine machine) {
    return capacity.utilization(machine) <= CapacityModel.UTILIZATION_LIMIT;
  }

  /** Spares kinds that some class cannot do without, but not until the others are fuller. */
  private List<Machine> spareRequiredKinds(List<Machine> machines) {
    List<Machine> others = prefer(machines, m -> !state.settings.isKindRequired(m.kind));
    double utilization = mean(machines, capacity::utilization);
    return mean(others, capacity::utilization) <= utilization ? others : machines;
  }

  /**
   * The least pressed of a sample: those that rank first for the service where no machine has its
   * program, so that schedulers meet there; else drawn by headroom, as evenly all fill the same.
   */
  private Machine leastPressed(Vm vm, List<Machine> machines) {
    boolean isDrawn = hasProgram(machines.get(0), vm.service);
    var sample = isDrawn ? machines : RendezvousHashing.first(vm.service, machines, SAMPLE_SIZE);
    Machine best = null;
    for (int i = 0; i < SAMPLE_SIZE && i < machines.size(); i++) {
      Machine machine = isDrawn ? drawByHeadroom(machines, state.random) : sample.get(i);
      best = best == null || pressure(machine) < pressure(best) ? machine : best;
    }
    return best;
  }

  /** Utilization past the limit counts like reports of pressure, which are not always sent. */
  private double pressure(Machine machine) {
    double limit = CapacityModel.UTILIZATION_LIMIT;
    double overload = Math.max(0, capacity.utilization(machine) - limit) / (1 - limit);
    return outliers.faultScore(machine) + overload;
  }
}
