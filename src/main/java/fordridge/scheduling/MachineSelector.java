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

/** Chooses the machine for a VM among the eligible ones. */
record MachineSelector(
    SchedulerState state,
    SchedulerActions actions,
    CapacityModel capacity,
    CandidateFilter candidates,
    OutlierDetector outliers) {
  /**
   * Number of machines in the final sample, and of machines preferred for a service by its hash.
   */
  private static final int SAMPLE_SIZE = 3;

  /** The machine to offer the VM to, or null if none has capacity. */
  Machine select(Vm vm) {
    var settings = state.settingsOf(vm);
    List<Machine> eligible = new ArrayList<>(state.machines);
    eligible.removeIf(m -> !candidates.isEligible(vm, settings, m));
    List<Machine> machines = findCapacity(vm, eligible);
    // Soft constraints of tenants come before all other preferences; without constraints every
    // penalty is 0.
    double lowestPenalty = min(machines, m -> actions.constraintPenalty(vm, m));
    machines = prefer(machines, m -> actions.constraintPenalty(vm, m) <= lowestPenalty);
    machines = preferUpToHeadroom(vm, prefer(machines, this::isWithinLimit), machines);
    if (settings.requiredKind() == null) {
      machines = avoidRequiredKinds(machines);
    }
    machines = prefer(machines, m -> isWarmFor(m, vm.service));
    if (state.settings.prices().otherZone() > 0) {
      machines = prefer(machines, m -> m.zone.equals(state.settings.zone()));
    }
    return machines.isEmpty() ? null : selectByPressure(vm, machines);
  }

  /** Whether no machine that takes VMs of its class has capacity for a VM of this size. */
  boolean isTooLargeForAll(Vm vm) {
    var settings = state.settingsOf(vm);
    return withCapacity(vm, filter(state.machines, m -> candidates.isOpenToClass(settings, m)))
        .isEmpty();
  }

  /**
   * Whether the machine hosts the service or did so within the detection timeout, so that a start
   * there is warm.
   */
  boolean isWarmFor(Machine machine, long service) {
    return state.isHostedWithin(state.settings.detectionTimeout(), machine, service);
  }

  /** The machines with capacity in the first preferred group that has any. */
  private List<Machine> findCapacity(Vm vm, List<Machine> eligible) {
    List<Machine> found = withCapacityAmongAccepting(vm, eligible);
    // If machines in use are priced, an empty machine is used only if none in use has capacity.
    boolean isPriced = state.settings.prices().machineInUse() > 0;
    List<Machine> used = isPriced ? prefer(eligible, this::isInUse) : eligible;
    found = found.isEmpty() ? withCapacity(vm, preferredForService(vm.service, used)) : found;
    found = found.isEmpty() && isPriced ? withCapacity(vm, used) : found;
    return found.isEmpty() ? withCapacity(vm, eligible) : found;
  }

  /**
   * Machines with capacity that recently accepted a VM of this tenant class; empty unless VMs of
   * the class are being rejected without a reason. The machines that reject them stay empty, so by
   * capacity alone they would get every attempt.
   */
  private List<Machine> withCapacityAmongAccepting(Vm vm, List<Machine> eligible) {
    if (!outliers.isBeingRejected(vm)) {
      return List.of();
    }
    List<Machine> accepting = filter(eligible, m -> outliers.acceptedRecently(vm, m));
    return accepting.isEmpty() ? accepting : withCapacity(vm, accepting);
  }

  /**
   * Machines that run or recently ran the service, and those that rank first for it by a hash that
   * all schedulers share; all machines if there are none.
   */
  private List<Machine> preferredForService(long service, List<Machine> machines) {
    List<Machine> highestRanked = RendezvousHashing.highestRanked(service, machines, SAMPLE_SIZE);
    return prefer(machines, m -> isWarmFor(m, service) || highestRanked.contains(m));
  }

  private boolean isInUse(Machine machine) {
    return !machine.hostedAttempts.isEmpty() || machine.freeCores < machine.cores * 0.999;
  }

  /**
   * Machines with regular capacity for the VM or, if there are none to use, with opportunistic
   * capacity.
   */
  private List<Machine> withCapacity(Vm vm, List<Machine> machines) {
    List<Machine> regular =
        preferUpToHeadroom(vm, capacity.withRegularCapacity(vm, machines), List.of());
    return regular.isEmpty() ? capacity.withOpportunisticCapacity(vm, machines) : regular;
  }

  /**
   * Returns the preferred machines or, by chance, the alternative. All schedulers prefer the same
   * machines by the same outdated list. If the others are likely to have placed more than the
   * preferred machines have free, the probability of using them falls, so that all schedulers
   * together do not overfill them.
   */
  private List<Machine> preferUpToHeadroom(
      Vm vm, List<Machine> preferred, List<Machine> alternative) {
    double headroom = totalHeadroom(preferred);
    return state.random.nextDouble() * coresPlacedByOthersSinceList(vm) < headroom
        ? preferred
        : alternative;
  }

  /**
   * Estimated cores that other schedulers placed since the state that the list shows, if each VM is
   * replaced once in a mean lifetime.
   */
  private double coresPlacedByOthersSinceList(Vm vm) {
    double schedulers = state.schedulerCount;
    var listAge = state.since(state.listReceivedAt).plus(state.detectionTimeouts(1.0 / 3));
    double rate = state.usage.requestedCores / state.classOf(vm).lifetimeSeconds.value();
    return rate * (schedulers - 1) / schedulers * toSeconds(listAge);
  }

  private boolean isWithinLimit(Machine machine) {
    return capacity.utilization(machine) <= CapacityModel.UTILIZATION_LIMIT;
  }

  /**
   * Leaves out machines of kinds that some class requires, unless the other machines are fuller on
   * average.
   */
  private List<Machine> avoidRequiredKinds(List<Machine> machines) {
    List<Machine> others = prefer(machines, m -> !state.settings.isKindRequired(m.kind));
    double utilization = mean(machines, capacity::utilization);
    return mean(others, capacity::utilization) <= utilization ? others : machines;
  }

  /**
   * The machine with the lowest pressure in a sample. Where no machine is warm for the service, the
   * sample is the machines that rank first for it, so that all schedulers start the service on the
   * same machines. Otherwise it is drawn with probability in proportion to headroom: many
   * schedulers read the same list, and with even draws they would fill machines with little
   * headroom as fast as those with much.
   */
  private Machine selectByPressure(Vm vm, List<Machine> machines) {
    boolean isDrawn = isWarmFor(machines.get(0), vm.service);
    var sample =
        isDrawn ? machines : RendezvousHashing.highestRanked(vm.service, machines, SAMPLE_SIZE);
    Machine best = null;
    for (int i = 0; i < SAMPLE_SIZE && i < machines.size(); i++) {
      Machine machine = isDrawn ? drawByHeadroom(machines, state.random) : sample.get(i);
      best = best == null || pressure(machine) < pressure(best) ? machine : best;
    }
    return best;
  }

  /**
   * The fault score plus utilization past the limit, which stands in for pressure that machines do
   * not report.
   */
  private double pressure(Machine machine) {
    double limit = CapacityModel.UTILIZATION_LIMIT;
    double overload = Math.max(0, capacity.utilization(machine) - limit) / (1 - limit);
    return outliers.faultScore(machine) + overload;
  }
}
