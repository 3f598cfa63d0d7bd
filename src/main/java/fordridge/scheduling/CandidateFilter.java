package fordridge.scheduling;

import fordridge.model.Machine;
import fordridge.model.PlacementAttempt;
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
        && keepsSpread(vm, settings, machine, 0)
        && actions.constraintPenalty(vm, machine) < Double.POSITIVE_INFINITY;
  }

  /**
   * Whether an attempt that waited since it was decided may still be sent: nothing that was learned
   * meanwhile forbids it. Its own place among the VMs of its service is not counted against it.
   */
  boolean mayStillSend(PlacementAttempt attempt) {
    Vm vm = attempt.vm;
    Machine machine = attempt.machine;
    PriorityClass settings = state.settingsOf(vm);
    return attempt.isInFlight()
        && !vm.isFinished
        && !state.isStopping
        && !state.isPast(vm.deadline)
        && machine.lifecycle == Machine.Lifecycle.LIVE
        && settings.allowsKind(machine.kind)
        && state.isPast(machine.ejectedUntil)
        && !outliers.isBackedOff(vm, machine)
        && retries.allowsResend(attempt)
        && keepsSpread(vm, settings, machine, 1);
  }

  /** Open to the class, whatever became of a VM's attempts and wherever its service runs. */
  boolean isOpen(PriorityClass settings, Machine machine) {
    return machine.lifecycle == Machine.Lifecycle.LIVE
        && settings.allowsKind(machine.kind)
        && state.isPast(machine.ejectedUntil)
        && slowStart.allowsAttempt(machine)
        && outliers.isTrusted(settings, machine);
  }

  /**
   * This scheduler's VMs of the service in one domain, with this one, stay within the limit; not
   * known while a machine there has not said what it runs.
   *
   * @param own how many of those that are counted are attempts of this VM
   */
  private boolean keepsSpread(Vm vm, PriorityClass settings, Machine machine, int own) {
    return settings.isSpreadUnlimited()
        || (state.countHosted(vm.service, settings.spreadDomain(), machine) - own
                < settings.maxPerDomain()
            && !state.isInventoryAwaitedNear(machine, settings.spreadDomain()));
  }
}
