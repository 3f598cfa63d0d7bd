package fordridge.scheduling;

import fordridge.model.Machine;
import fordridge.model.PriorityClass;
import fordridge.model.SchedulerState;
import fordridge.model.Vm;

/** Decides which machines a VM may be offered to at all. */
record CandidateFilter(
    SchedulerState state,
    SchedulerActions actions,
    RetryPolicy retries,
    SlowStart slowStart,
    OutlierDetector outliers) {

  boolean isEligible(Vm vm, PriorityClass settings, Machine machine) {
    return !outliers.isBackedOff(vm, machine)
        && isOpen(settings, machine)
        && retries.allowsMachine(vm, settings, machine)
        && keepsSpread(vm, settings, machine)
        && actions.constraintPenalty(vm, machine) < Double.POSITIVE_INFINITY;
  }

  /** Open to the class, whatever became of a VM's attempts and wherever its service runs. */
  boolean isOpen(PriorityClass settings, Machine machine) {
    return machine.lifecycle == Machine.Lifecycle.LIVE
        && settings.allowsKind(machine.kind)
        && state.isPast(machine.ejectedUntil)
        && slowStart.allowsAttempt(machine)
        && outliers.isTrusted(settings, machine);
  }

  /** This scheduler's VMs of the service in one domain, with this one, stay within the limit. */
  private boolean keepsSpread(Vm vm, PriorityClass settings, Machine machine) {
    return settings.isSpreadUnlimited()
        || state.countHosted(vm.service, settings.spreadDomain(), machine)
            < settings.maxPerDomain();
  }
}
