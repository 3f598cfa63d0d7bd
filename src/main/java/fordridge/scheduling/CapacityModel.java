package fordridge.scheduling;

import static fordridge.model.Durations.scale;
import static fordridge.model.MachineLists.filter;
import static fordridge.model.MachineLists.withHeadroom;

import fordridge.model.FleetUsage;
import fordridge.model.Machine;
import fordridge.model.PlacementAttempt;
import fordridge.model.RunningMean;
import fordridge.model.SchedulerSettings;
import fordridge.model.SchedulerState;
import fordridge.model.Vm;
import java.util.List;

/** Estimates regular capacity, which nobody requested, and opportunistic capacity (UBIS). */
record CapacityModel(SchedulerState state, FleetUsage usage) {
  /** Utilization up to which machines are filled. */
  static final double UTILIZATION_LIMIT = 0.9;

  /** That of memory for classes below the top rank, whose VMs must find some left. */
  private static final double LOW_RANK_MEMORY_LIMIT = 0.75;

  private static final int USAGE_SAMPLES = 64;

  /** Until use is reported, it is what lets a machine bear all it accepts: more opens too many. */
  void start() {
    SchedulerSettings.Capacity settings = state.settings.capacity();
    usage.usedCoresRatio = RunningMean.ofGuess(1 / settings.acceptedCoresFactor(), USAGE_SAMPLES);
    usage.usedMemoryRatio = RunningMean.ofGuess(1 / settings.acceptedMemoryFactor(), USAGE_SAMPLES);
  }

  void refreshMeans(List<Machine> live) {
    usage.refresh(live, filter(live, this::hasFreshReport), this::usedCores, this::usedMemory);
  }

  /** Reservations go once a list or report that can include them came; true if none is left. */
  boolean releaseReservations(Machine machine) {
    var listed = state.listReceivedAt.minus(state.detectionTimeouts(1.0 / 3));
    machine.reservedSinceList.removeSentBefore(listed);
    boolean isFresh = hasFreshReport(machine);
    var lag = isFresh ? state.detectionTimeouts(1.0 / 6) : state.settings.detectionTimeout();
    var reported = (isFresh ? machine.reportedAt : state.now).minus(lag);
    machine.reservedSinceReport.removeIf(a -> a.outcome != null || a.ranBefore(reported));
    return machine.reservedSinceList.isEmpty() && machine.reservedSinceReport.isEmpty();
  }

  /**
   * What the list says is free does not include an attempt that is still reserved, or includes it
   * though it is over: either way its reservation is not needed any more. The list may have no news
   * for long while VMs come and go.
   */
  void attemptEnded(PlacementAttempt attempt) {
    if (attempt.mayStillRun) {
      return;
    }
    attempt.machine.reservedSinceList.remove(attempt);
    if (attempt.hasNeverRun()) {
      attempt.machine.reservedSinceReport.remove(attempt);
    }
  }

  List<Machine> withRegularCapacity(Vm vm, List<Machine> machines) {
    boolean isListed = state.settings.capacity().listsFreeCapacity();
    return isListed ? withHeadroom(machines, m -> acceptedShare(vm, m, 1, 1)) : List.of();
  }

  /** All priority classes are opted in to opportunistic capacity. */
  List<Machine> withOpportunisticCapacity(Vm vm, List<Machine> machines) {
    double cores = state.settings.capacity().acceptedCoresFactor();
    double memory = state.settings.capacity().acceptedMemoryFactor();
    double coresLimit = coresLimit(vm);
    double memoryLimit = memoryLimit(vm);
    return withHeadroom(
        machines,
        m ->
            Math.min(
                acceptedShare(vm, m, cores, memory), unusedShare(vm, m, coresLimit, memoryLimit)));
  }

  private static double acceptedShare(
      Vm vm, Machine machine, double coresFactor, double memoryFactor) {
    double cores =
        machine.freeCores + (coresFactor - 1) * machine.cores - machine.reservedSinceList.cores();
    double memory =
        machine.freeMemory
            + (memoryFactor - 1) * machine.memory
            - machine.reservedSinceList.memory();
    return freeShare(vm, machine, cores, memory);
  }

  private double unusedShare(Vm vm, Machine machine, double coresLimit, double memoryLimit) {
    double cores =
        coresLimit * machine.cores - usedCores(machine) - machine.reservedSinceReport.cores();
    double memory =
        memoryLimit * machine.memory - usedMemory(machine) - machine.reservedSinceReport.memory();
    return freeShare(vm, machine, cores, memory);
  }

  /** Free capacity as a share of the size, by the scarcer resource; 0 if the VM does not fit. */
  private static double freeShare(Vm vm, Machine machine, double cores, double memory) {
    boolean fits = vm.cores <= cores && vm.memory <= memory;
    return fits ? Math.min(cores / machine.cores, memory / machine.memory) : 0;
  }

  /** The more of what comes is of a lower class, the more it must be kept from filling all. */
  private double memoryLimit(Vm vm) {
    var priorityClass = state.classOf(vm);
    boolean isLowRank = priorityClass.settings.rank() < state.settings.topRank();
    double requestShare = priorityClass.requests / Math.max(1, state.requestCount);
    double part = isLowRank ? Math.min(1, 2 * requestShare) : 0;
    return UTILIZATION_LIMIT - (UTILIZATION_LIMIT - LOW_RANK_MEMORY_LIMIT) * part;
  }

  /** For a VM that waited, up to where one more start is worth what it takes from other VMs. */
  private double coresLimit(Vm vm) {
    var settings = state.settingsOf(vm);
    if (state.isWithin(scale(settings.startObjective(), 1.0 / 8), vm.arrivedAt)) {
      return UTILIZATION_LIMIT;
    }
    double fullSpeed = settings.fullSpeedUtilization();
    double span = settings.degradationSpan();
    double gain = settings.startValueSeconds() / state.classOf(vm).lifetimeSeconds.value();
    double level = (fullSpeed + span * (1 + gain)) / 2;
    return Math.max(UTILIZATION_LIMIT, Math.min(level, fullSpeed + span));
  }

  /**
   * The share of the machine in use, with reservations at learned use; or, if that is more, the
   * requested share of what it accepts: near the top of it, others come first.
   */
  double utilization(Machine machine) {
    double mostCores = state.settings.capacity().acceptedCoresFactor() * machine.cores;
    double mostMemory = state.settings.capacity().acceptedMemoryFactor() * machine.memory;
    double requestedCores = machine.requestedCores() + machine.reservedSinceList.cores();
    double requestedMemory = machine.requestedMemory() + machine.reservedSinceList.memory();
    double requested = Math.max(requestedCores / mostCores, requestedMemory / mostMemory);
    double cores =
        usedCores(machine) + machine.reservedSinceReport.cores() * usage.usedCoresRatio.value();
    double memory =
        usedMemory(machine) + machine.reservedSinceReport.memory() * usage.usedMemoryRatio.value();
    return Math.max(requested, Math.max(cores / machine.cores, memory / machine.memory));
  }

  private boolean hasFreshReport(Machine machine) {
    return machine.reportedAt != null
        && !Double.isNaN(machine.spareCores)
        && state.isWithin(state.detectionTimeouts(2), machine.reportedAt);
  }

  private double usedCores(Machine machine) {
    if (!hasFreshReport(machine)) {
      double requested = machine.requestedCores();
      return estimate(usage.meanUsedCores, machine.cores, requested, usage.usedPerRequestedCore);
    }
    double used = (machine.cores - machine.spareCores) * reportedRatio(usage.usedCoresRatio);
    return Double.isNaN(machine.utilization)
        ? used
        : Math.max(used, machine.utilization * machine.cores);
  }

  private double usedMemory(Machine machine) {
    double requested = machine.requestedMemory();
    return hasFreshReport(machine)
        ? (machine.memory - machine.spareMemory) * reportedRatio(usage.usedMemoryRatio)
        : estimate(usage.meanUsedMemory, machine.memory, requested, usage.usedPerRequestedMemory);
  }

  private double reportedRatio(RunningMean ratio) {
    return state.settings.capacity().reportsCountRequests() ? ratio.value() : 1;
  }

  /** Use without a report: by the fleet's mean as far as it reports, else by what is requested. */
  private double estimate(double meanUsed, double size, double requested, double usedPerRequested) {
    double reporting = usage.reportingShare;
    return reporting * meanUsed * size + (1 - reporting) * requested * usedPerRequested;
  }
}
