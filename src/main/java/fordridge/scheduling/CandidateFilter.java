package fordridge.scheduling;

import fordridge.model.Machine;
import fordridge.model.PlacementAttempt;
import fordridge.model.PriorityClass;
import fordridge.model.SchedulerState;
import fordridge.model.Vm;
import java.util.Optional;

/** Decides which machines are eligible for a VM. */
record CandidateFilter(
    SchedulerState state,
    SchedulerActions actions,
    RetryPolicy retries,
    SlowStart slowStart,
    OutlierDetector outliers) {

  boolean isEligible(Vm vm, PriorityClass settings, Machine machine) {
    return !outliers.isBackedOff(vm, machine)
        && isOpenToClass(settings, machine)
        && !actions.isSendQueueFull(machine)
        && retries.allowsMachine(vm, settings, machine)
        && isWithinSpreadLimit(vm, settings, machine, 0)
        && actions.constraintPenalty(vm, machine) < Double.POSITIVE_INFINITY;
  }

  /**
   * Returns the first reason, if any, why an attempt that was decided earlier must not be sent now.
   * The attempt is already counted among the VMs of its service and in the slow-start quota; its
   * own count is left out of these checks.
   */
  Optional<NotSentReason> findNotSentReason(PlacementAttempt attempt) {
    Optional<NotSentReason> requestReason = findRequestNotSentReason(attempt);
    return requestReason.isPresent() ? requestReason : findMachineNotSentReason(attempt);
  }

  private Optional<NotSentReason> findRequestNotSentReason(PlacementAttempt attempt) {
    if (!attempt.isInFlight()) {
      return Optional.of(NotSentReason.ATTEMPT_ENDED);
    }
    if (attempt.vm.isFinished) {
      return Optional.of(NotSentReason.CLIENT_LEFT);
    }
    if (state.isPast(attempt.vm.deadline)) {
      return Optional.of(NotSentReason.DEADLINE_PASSED);
    }
    if (!retries.stillAllowsSend(attempt)) {
      return Optional.of(NotSentReason.WINDOW_CLOSED);
    }
    return state.isStopping ? Optional.of(NotSentReason.SHUTDOWN) : Optional.empty();
  }

  private Optional<NotSentReason> findMachineNotSentReason(PlacementAttempt attempt) {
    Machine machine = attempt.machine;
    PriorityClass settings = state.settingsOf(attempt.vm);
    if (machine.lifecycle != Machine.Lifecycle.LIVE) {
      return Optional.of(NotSentReason.MACHINE_NOT_LIVE);
    }
    if (!settings.allowsKind(machine.kind)) {
      return Optional.of(NotSentReason.KIND_NOT_ALLOWED);
    }
    if (!state.isPast(machine.ejectedUntil)) {
      return Optional.of(NotSentReason.MACHINE_EJECTED);
    }
    if (outliers.isBackedOff(attempt.vm, machine)) {
      return Optional.of(NotSentReason.BACKED_OFF);
    }
    if (!isWithinSpreadLimit(attempt.vm, settings, machine, 1)) {
      return Optional.of(NotSentReason.SPREAD_LIMIT);
    }
    return slowStart.confirmSend(attempt)
        ? Optional.empty()
        : Optional.of(NotSentReason.SLOW_START);
  }

  /**
   * Whether the machine takes VMs of the class, regardless of a VM's earlier attempts and of where
   * its service runs.
   */
  boolean isOpenToClass(PriorityClass settings, Machine machine) {
    return machine.lifecycle == Machine.Lifecycle.LIVE
        && settings.allowsKind(machine.kind)
        && state.isPast(machine.ejectedUntil)
        && slowStart.allowsAttempt(machine)
        && outliers.isTrusted(settings, machine);
  }

  /**
   * Whether this scheduler's VMs of the service in the machine's domain, including this VM, stay
   * within the spread limit. False while a machine of the domain has not sent its inventory, as the
   * count is then not known.
   *
   * @param ownCounted number of counted attempts that belong to this VM
   */
  private boolean isWithinSpreadLimit(
      Vm vm, PriorityClass settings, Machine machine, int ownCounted) {
    return settings.isSpreadUnlimited()
        || (state.countHosted(vm.service, settings.spreadScope(), machine) - ownCounted
                < settings.maxPerDomain()
            && !state.isInventoryAwaitedNear(machine, settings.spreadScope()));
  }
}
