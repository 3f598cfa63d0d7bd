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

/**
 * Estimates regular capacity, which no VM has requested, and opportunistic capacity, which VMs have
 * requested but do not use (UBIS).
 */
record CapacityModel(SchedulerState state, FleetUsage usage) {
  /** Highest utilization up to which machines are normally filled. */
  static final double UTILIZATION_LIMIT = 0.9;

  /**
   * Memory utilization limit of classes below the top rank; the rest is kept for VMs of the top
   * rank.
   */
  private static final double LOW_RANK_MEMORY_LIMIT = 0.75;

  private static final int USAGE_WINDOW_SAMPLES = 64;

  /**
   * Sets the initial use of requested resources. Until VMs report their use, it is the use at which
   * a machine that has accepted all it can is exactly full; a higher value would put VMs on more
   * machines than necessary.
   */
  void start() {
    SchedulerSettings.CapacitySettings settings = state.settings.capacity();
    usage.usedCoresRatio =
        RunningMean.withInitialValue(1 / settings.acceptedCoresFactor(), USAGE_WINDOW_SAMPLES);
    usage.usedMemoryRatio =
        RunningMean.withInitialValue(1 / settings.acceptedMemoryFactor(), USAGE_WINDOW_SAMPLES);
  }

  void refreshMeans(List<Machine> live) {
    usage.refresh(live, filter(live, this::hasFreshReport), this::usedCores, this::usedMemory);
  }

  /**
   * Releases reservations that the last machine list or load report can already include; returns
   * true if none is left.
   */
  boolean releaseReservations(Machine machine) {
    var listedUntil = state.listReceivedAt.minus(state.detectionTimeouts(1.0 / 3));
    machine.reservedSinceList.removeSentBefore(listedUntil);
    boolean isFresh = hasFreshReport(machine);
    var lag = isFresh ? state.detectionTimeouts(1.0 / 6) : state.settings.detectionTimeout();
    var reportedUntil = (isFresh ? machine.reportedAt : state.now).minus(lag);
    machine.reservedSinceReport.removeIf(
        attempt -> attempt.outcome != null || attempt.ranBefore(reportedUntil));
    return machine.reservedSinceList.isEmpty() && machine.reservedSinceReport.isEmpty();
  }

  /**
   * Releases the reservations of an attempt that has ended, unless its VM may still run. The list's
   * free capacity either does not count the attempt yet or still counts it; in both cases the
   * reservation is no longer needed. It is not left to the next list to release it, as the list may
   * stay unchanged for long while VMs start and end.
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

  /** Machines with regular capacity for the VM; none if the list does not give free capacity. */
  List<Machine> withRegularCapacity(Vm vm, List<Machine> machines) {
    boolean isListed = state.settings.capacity().listsFreeCapacity();
    return isListed ? withHeadroom(machines, m -> acceptedShare(vm, m, 1, 1)) : List.of();
  }

  /** Machines with opportunistic capacity for the VM; VMs of all priority classes may use it. */
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

  /** Free share of the machine's scarcer resource; 0 if the VM does not fit. */
  private static double freeShare(Vm vm, Machine machine, double cores, double memory) {
    boolean fits = vm.cores <= cores && vm.memory <= memory;
    return fits ? Math.min(cores / machine.cores, memory / machine.memory) : 0;
  }

  /**
   * The memory utilization limit for the VM. Below the top rank it falls with the class's share of
   * all requests, since the more such VMs arrive, the more memory they would take from VMs of the
   * top rank.
   */
  private double memoryLimit(Vm vm) {
    var priorityClass = state.classOf(vm);
    boolean isLowRank = priorityClass.settings.rank() < state.settings.topRank();
    double requestShare = priorityClass.requestCount / Math.max(1, state.requestCount);
    double reductionShare = isLowRank ? Math.min(1, 2 * requestShare) : 0;
    return UTILIZATION_LIMIT - (UTILIZATION_LIMIT - LOW_RANK_MEMORY_LIMIT) * reductionShare;
  }

  /**
   * The core utilization limit for the VM. Once the VM has waited for an eighth of its start
   * objective, the limit rises to the utilization at which the value of one more start equals the
   * speed that it takes from the VMs that already run.
   */
  private double coresLimit(Vm vm) {
    var settings = state.settingsOf(vm);
    if (state.isWithin(scale(settings.startObjective(), 1.0 / 8), vm.arrivedAt)) {
      return UTILIZATION_LIMIT;
    }
    double fullSpeed = settings.fullSpeedUtilization();
    double span = settings.degradationSpan();
    double relativeStartValue =
        settings.startValueSeconds() / state.classOf(vm).lifetimeSeconds.value();
    double breakEven = (fullSpeed + span * (1 + relativeStartValue)) / 2;
    return Math.max(UTILIZATION_LIMIT, Math.min(breakEven, fullSpeed + span));
  }

  /**
   * The larger of two shares: the share of the machine in use, where reservations count at their
   * learned use, and the share already requested of what the machine accepts. Because of the
   * latter, machines that have almost reached what they accept are chosen last.
   */
  double utilization(Machine machine) {
    double acceptedCores = state.settings.capacity().acceptedCoresFactor() * machine.cores;
    double acceptedMemory = state.settings.capacity().acceptedMemoryFactor() * machine.memory;
    double requestedCores = machine.requestedCores() + machine.reservedSinceList.cores();
    double requestedMemory = machine.requestedMemory() + machine.reservedSinceList.memory();
    double requested = Math.max(requestedCores / acceptedCores, requestedMemory / acceptedMemory);
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
      return estimateUse(usage.meanUsedCores, machine.cores, requested, usage.usedPerRequestedCore);
    }
    double used = (machine.cores - machine.spareCores) * usedPerReported(usage.usedCoresRatio);
    return Double.isNaN(machine.utilization)
        ? used
        : Math.max(used, machine.utilization * machine.cores);
  }

  private double usedMemory(Machine machine) {
    double requested = machine.requestedMemory();
    return hasFreshReport(machine)
        ? (machine.memory - machine.spareMemory) * usedPerReported(usage.usedMemoryRatio)
        : estimateUse(
            usage.meanUsedMemory, machine.memory, requested, usage.usedPerRequestedMemory);
  }

  /** Factor from reported to used resources; it differs from 1 where reports count requests. */
  private double usedPerReported(RunningMean ratio) {
    return state.settings.capacity().reportsCountRequests() ? ratio.value() : 1;
  }

  /**
   * Estimated use of a machine without a fresh report: the mean use of the reporting machines, and
   * the machine's requests at the mean use of a request, weighted by the share of machines that
   * report.
   */
  private double estimateUse(
      double meanUsed, double size, double requested, double usedPerRequested) {
    double reportingShare = usage.reportingShare;
    return reportingShare * meanUsed * size + (1 - reportingShare) * requested * usedPerRequested;
  }
}
