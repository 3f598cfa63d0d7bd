package fordridge.emulator.machine;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Samples the resources that the VMs use. At each sample it varies the usage, evicts VMs while
 * memory is short, and reports usage, degraded service and memory pressure for some VMs.
 */
final class UsageSampler {
  private static final double VARIATION_PROBABILITY = 0.1;
  private static final double MIN_CORES_VARIATION = 0.75;
  private static final double CORES_VARIATION_RANGE = 0.5;

  /** The mean interval between usage reports of a VM, in milliseconds. */
  private static final double USAGE_REPORT_INTERVAL_MILLIS = 3000;

  private static final double PROBLEM_REPORT_PROBABILITY = 0.3;
  private static final double DEGRADED_SERVICE_THRESHOLD = 0.95;
  private static final double MEMORY_PRESSURE_THRESHOLD = 0.85;

  private final MachineContext context;
  private final StartUpQueue startUp;
  private double sampledCores;
  private double sampledMemory;

  UsageSampler(MachineContext context, StartUpQueue startUp) {
    this.context = context;
    this.startUp = startUp;
  }

  /** Takes a sample now, and schedules the next one after the machine's sample interval. */
  void sample() {
    varyUsage();
    evictUntilMemoryFits();
    sampledCores = usedCores();
    report();
    context
        .events()
        .schedule(context.events().now().plus(context.spec().sampleInterval()), this::sample);
  }

  /**
   * The cores that were not used at the last sample; negative if VMs wanted more than there are.
   */
  double unusedCores() {
    return context.spec().capacity().cores() - sampledCores;
  }

  double unusedMemory() {
    return context.spec().capacity().memory() - sampledMemory;
  }

  /** The utilization of the cores at the last sample, at most 1. */
  double utilization() {
    return Math.min(1, sampledCores / context.spec().capacity().cores());
  }

  private void varyUsage() {
    for (HostedVm vm : context.vms().all()) {
      if (vm.isRunning() && context.random().nextBoolean(VARIATION_PROBABILITY)) {
        vm.setCoresVariation(
            MIN_CORES_VARIATION + context.random().nextDouble() * CORES_VARIATION_RANGE);
      }
    }
  }

  private void evictUntilMemoryFits() {
    sampledMemory = usedMemory();
    while (sampledMemory > context.spec().capacity().memory()) {
      Optional<HostedVm> victim = nextEvictionVictim();
      if (victim.isEmpty()) {
        return;
      }
      context.lifecycle().finish(victim.get(), VmEnd.EVICTED);
      sampledMemory = usedMemory();
    }
  }

  /**
   * The running VM of the lowest priority, among equal priorities the one with the largest memory
   * share.
   */
  private Optional<HostedVm> nextEvictionVictim() {
    HostedVm victim = null;
    for (HostedVm vm : context.vms().all()) {
      if (vm.isRunning() && (victim == null || isEvictedBefore(vm, victim))) {
        victim = vm;
      }
    }
    return Optional.ofNullable(victim);
  }

  private static boolean isEvictedBefore(HostedVm vm, HostedVm other) {
    int priority = vm.offer().priority();
    int otherPriority = other.offer().priority();
    return priority < otherPriority
        || (priority == otherPriority && vm.memoryShare() > other.memoryShare());
  }

  private double usedMemory() {
    double used = 0;
    for (HostedVm vm : context.vms().all()) {
      if (vm.isRunning()) {
        used += vm.usedMemory(context.events().now(), context.faults().usageFactor());
      }
    }
    return used;
  }

  private double usedCores() {
    double used = context.faults().neighbourCoresShare() * context.spec().capacity().cores();
    for (HostedVm vm : context.vms().all()) {
      if (vm.isRunning()) {
        used += vm.usedCores(context.faults().usageFactor());
      }
    }
    return used + startUp.startingCount();
  }

  private void report() {
    Map<String, HostedVm> firstOfScheduler = new HashMap<>();
    double usageProbability =
        context.spec().sampleInterval().toMillis() / USAGE_REPORT_INTERVAL_MILLIS;
    for (HostedVm vm : context.vms().running()) {
      if (context.random().nextBoolean(usageProbability)) {
        double usageFactor = context.faults().usageFactor();
        context.listener().usage(vm, vm.coresDemand(usageFactor), vm.memoryDemand(usageFactor));
      }
      firstOfScheduler.putIfAbsent(vm.offer().attempt().scheduler(), vm);
    }
    firstOfScheduler.values().forEach(this::reportProblems);
  }

  private void reportProblems(HostedVm vm) {
    UsageProfile profile = context.usageProfiles().get(vm.offer().priorityClass());
    double share = profile.serviceShare(sampledCores / context.spec().capacity().cores());
    if (share < DEGRADED_SERVICE_THRESHOLD
        && context.random().nextBoolean(PROBLEM_REPORT_PROBABILITY)) {
      context.listener().degraded(vm, share);
    }
    double pressure = sampledMemory / context.spec().capacity().memory();
    if (pressure > MEMORY_PRESSURE_THRESHOLD
        && context.random().nextBoolean(PROBLEM_REPORT_PROBABILITY)) {
      context.listener().memoryPressure(vm, pressure);
    }
  }
}
