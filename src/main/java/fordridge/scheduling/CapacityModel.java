package fordridge.scheduling;

import static fordridge.model.Durations.scale;
import static fordridge.model.MachineLists.filter;
import static fordridge.model.MachineLists.withHeadroom;

import fordridge.model.FleetUsage;
import fordridge.model.Machine;
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
  boolean releaseReservations(Machine m) {
    var listed = state.listReceivedAt.minus(state.detectionTimeouts(1.0 / 3));
    m.reservedSinceList.removeSentBefore(listed);
    boolean isFresh = hasFreshReport(m);
    var lag = isFresh ? state.detectionTimeouts(1.0 / 6) : state.settings.detectionTimeout();
    var reported = (isFresh ? m.reportedAt : state.now).minus(lag);
    m.reservedSinceReport.removeIf(a -> a.outcome != null || a.ranBefore(reported));
    return m.reservedSinceList.isEmpty() && m.reservedSinceReport.isEmpty();
  }

  List<Machine> withRegularCapacity(Vm vm, List<Machine> machines) {
    return state.settings.capacity().listsFreeCapacity()
        ? withHeadroom(machines, m -> acceptedShare(vm, m, 1, 1))
        : List.of();
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

  private static double acceptedShare(Vm vm, Machine m, double coresFactor, double memoryFactor) {
    double cores = m.freeCores + (coresFactor - 1) * m.cores - m.reservedSinceList.cores();
    double memory = m.freeMemory + (memoryFactor - 1) * m.memory - m.reservedSinceList.memory();
    return freeShare(vm, m, cores, memory);
  }

  private double unusedShare(Vm vm, Machine m, double coresLimit, double memoryLimit) {
    double cores = coresLimit * m.cores - usedCores(m) - m.reservedSinceReport.cores();
    double memory = memoryLimit * m.memory - usedMemory(m) - m.reservedSinceReport.memory();
    return freeShare(vm, m, cores, memory);
  }

  /** Free capacity as a share of the size, by the scarcer resource; 0 if the VM does not fit. */
  private static double freeShare(Vm vm, Machine m, double cores, double memory) {
    boolean fits = vm.cores <= cores && vm.memory <= memory;
    return fits ? Math.min(cores / m.cores, memory / m.memory) : 0;
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
  double utilization(Machine m) {
    double mostCores = state.settings.capacity().acceptedCoresFactor() * m.cores;
    double mostMemory = state.settings.capacity().acceptedMemoryFactor() * m.memory;
    double requestedCores = m.cores - m.freeCores + m.reservedSinceList.cores();
    double requestedMemory = m.memory - m.freeMemory + m.reservedSinceList.memory();
    double requested = Math.max(requestedCores / mostCores, requestedMemory / mostMemory);
    double cores = usedCores(m) + m.reservedSinceReport.cores() * usage.usedCoresRatio.value();
    double memory = usedMemory(m) + m.reservedSinceReport.memory() * usage.usedMemoryRatio.value();
    return Math.max(requested, Math.max(cores / m.cores, memory / m.memory));
  }

  private boolean hasFreshReport(Machine m) {
    return m.reportedAt != null
        && !Double.isNaN(m.spareCores)
        && state.isWithin(state.detectionTimeouts(2), m.reportedAt);
  }

  private double usedCores(Machine m) {
    if (!hasFreshReport(m)) {
      double requested = m.cores - m.freeCores;
      return estimate(usage.meanUsedCores, m.cores, requested, usage.usedPerRequestedCore);
    }
    double used = (m.cores - m.spareCores) * reportedRatio(usage.usedCoresRatio);
    return Double.isNaN(m.utilization) ? used : Math.max(used, m.utilization * m.cores);
  }

  private double usedMemory(Machine m) {
    double requested = m.memory - m.freeMemory;
    return hasFreshReport(m)
        ? (m.memory - m.spareMemory) * reportedRatio(usage.usedMemoryRatio)
        : estimate(usage.meanUsedMemory, m.memory, requested, usage.usedPerRequestedMemory);
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
