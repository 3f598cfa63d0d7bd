package fordridge.emulator.machine;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Starts the accepted VMs, a limited number at a time. A start takes longer if the program is not
 * cached or the machine is warming up.
 */
final class StartUpQueue {
  private final MachineContext context;
  private final ProgramCache programs;
  private final SlowStartRamp slowStart;
  private final Deque<HostedVm> waiting = new ArrayDeque<>();
  private int startingCount;

  StartUpQueue(MachineContext context, ProgramCache programs, SlowStartRamp slowStart) {
    this.context = context;
    this.programs = programs;
    this.slowStart = slowStart;
  }

  void add(HostedVm vm) {
    waiting.addLast(vm);
    startNext();
  }

  /** The number of VMs that are being started now. */
  int startingCount() {
    return startingCount;
  }

  void reset() {
    waiting.clear();
    startingCount = 0;
  }

  private void startNext() {
    while (startingCount < context.spec().startUp().parallelStarts() && !waiting.isEmpty()) {
      HostedVm vm = waiting.pollFirst();
      if (vm.state() != HostedVm.State.STARTING) {
        continue;
      }
      if (vm.isPastDeadline(now())) {
        context.lifecycle().refuse(vm, RefusalReason.NOT_AVAILABLE);
        continue;
      }
      startingCount++;
      context.events().schedule(now().plus(startTime(vm)), () -> finishStart(vm));
    }
  }

  private Duration startTime(HostedVm vm) {
    MachineSpec.StartUp startUp = context.spec().startUp();
    long service = vm.offer().service();
    boolean isCached = programs.contains(service) || context.vms().isServiceRunning(service);
    double factor =
        (isCached ? 1 : startUp.uncachedFactor())
            * context.random().nextVariation()
            * context.faults().slowdown()
            / startUp.speed()
            / slowStart.speedShare();
    return EventQueue.scaled(startUp.work(), factor);
  }

  private void finishStart(HostedVm vm) {
    startingCount--;
    if (vm.state() == HostedVm.State.STARTING) {
      run(vm);
    }
    startNext();
  }

  private void run(HostedVm vm) {
    if (vm.isPastDeadline(now())) {
      context.lifecycle().refuse(vm, RefusalReason.NOT_AVAILABLE);
      return;
    }
    UsageProfile profile = context.usageProfiles().get(vm.offer().priorityClass());
    double coresShare = profile.cores() * variation(profile);
    double memoryShare = profile.memory() * variation(profile);
    vm.markRunning(now(), coresShare, memoryShare);
    context.listener().started(vm);
    if (vm.offer().runTime().compareTo(Duration.ZERO) > 0) {
      context.events().schedule(now().plus(vm.offer().runTime()), () -> finishRunTime(vm));
    }
  }

  private double variation(UsageProfile profile) {
    return Math.exp(profile.sigma() * (context.random().nextVariation() - 1));
  }

  private void finishRunTime(HostedVm vm) {
    if (vm.isRunning()) {
      context.lifecycle().finish(vm, VmEnd.DONE);
    }
  }

  private Duration now() {
    return context.events().now();
  }
}
