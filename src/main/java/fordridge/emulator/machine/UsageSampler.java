package fordridge.emulator.machine;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Samples the resources that the VMs use: their use varies, memory that runs out evicts VMs, and
 * usage, degraded service and memory pressure are reported for some.
 */
final class UsageSampler {
  private static final double SWING_PROBABILITY = 0.1;
  private static final double MIN_SWING = 0.75;
  private static final double SWING_RANGE = 0.5;

  /** Each VM's usage is reported about this often. */
  private static final double USAGE_REPORT_INTERVAL_MILLIS = 3000;

  private static final double PROBLEM_REPORT_PROBABILITY = 0.3;
  private static final double DEGRADED_BELOW = 0.95;
  private static final double MEMORY_PRESSURE_ABOVE = 0.85;

  private final MachineContext context;
  private final StartUpQueue startUp;
  private double sampledCores;
  private double sampledMemory;

  UsageSampler(MachineContext context, StartUpQueue startUp) {
    this.context = context;
    this.startUp = startUp;
  }

  /** Samples now and at the machine's interval from then on. */
  void sample() {
    varyUsage();
    evictWhileMemoryIsShort();
    sampledCores = usedCores();
    report();
    context
        .events()
        .schedule(context.events().now().plus(context.spec().sampleInterval()), this::sample);
  }

  /** Cores that were not used at the last sample; negative if VMs wanted more than there are. */
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
      if (vm.isRunning() && context.random().nextBoolean(SWING_PROBABILITY)) {
        vm.swingTo(MIN_SWING + context.random().nextDouble() * SWING_RANGE);
      }
    }
  }

  private void evictWhileMemoryIsShort() {
    sampledMemory = usedMemory();
    while (sampledMemory > context.spec().capacity().memory()) {
      Optional<HostedVm> victim = evictionVictim();
      if (victim.isEmpty()) {
        return;
      }
      context.lifecycle().finish(victim.get(), VmEnd.EVICTED);
      sampledMemory = usedMemory();
    }
  }

  /** The running VM of the lowest priority, among equals the one with the largest memory share. */
  private Optional<HostedVm> evictionVictim() {
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
    if (share < DEGRADED_BELOW && context.random().nextBoolean(PROBLEM_REPORT_PROBABILITY)) {
      context.listener().degraded(vm, share);
    }
    double pressure = sampledMemory / context.spec().capacity().memory();
    if (pressure > MEMORY_PRESSURE_ABOVE
        && context.random().nextBoolean(PROBLEM_REPORT_PROBABILITY)) {
      context.listener().memoryPressure(vm, pressure);
    }
  }
}
