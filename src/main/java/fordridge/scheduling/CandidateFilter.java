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
        && keepsSpread(vm, settings, machine, 0)
        && actions.constraintPenalty(vm, machine) < Double.POSITIVE_INFINITY;
  }

  /**
   * Returns the first reason, if any, why an attempt that was decided earlier must not be sent now.
   * The attempt is already counted among the VMs of its service and in the slow-start quota; its
   * own count is left out of these checks.
   */
  Optional<OfferObstacle> findObstacle(PlacementAttempt attempt) {
    Optional<OfferObstacle> requestObstacle = findRequestObstacle(attempt);
    return requestObstacle.isPresent() ? requestObstacle : findMachineObstacle(attempt);
  }

  private Optional<OfferObstacle> findRequestObstacle(PlacementAttempt attempt) {
    if (!attempt.isInFlight()) {
      return Optional.of(OfferObstacle.ATTEMPT_ENDED);
    }
    if (attempt.vm.isFinished) {
      return Optional.of(OfferObstacle.CLIENT_LEFT);
    }
    if (state.isPast(attempt.vm.deadline)) {
      return Optional.of(OfferObstacle.DEADLINE_PASSED);
    }
    if (!retries.allowsResend(attempt)) {
      return Optional.of(OfferObstacle.WINDOW_CLOSED);
    }
    return state.isStopping ? Optional.of(OfferObstacle.SHUTDOWN) : Optional.empty();
  }

  private Optional<OfferObstacle> findMachineObstacle(PlacementAttempt attempt) {
    Machine machine = attempt.machine;
    PriorityClass settings = state.settingsOf(attempt.vm);
    if (machine.lifecycle != Machine.Lifecycle.LIVE) {
      return Optional.of(OfferObstacle.MACHINE_NOT_LIVE);
    }
    if (!settings.allowsKind(machine.kind)) {
      return Optional.of(OfferObstacle.KIND_NOT_ALLOWED);
    }
    if (!state.isPast(machine.ejectedUntil)) {
      return Optional.of(OfferObstacle.MACHINE_EJECTED);
    }
    if (outliers.isBackedOff(attempt.vm, machine)) {
      return Optional.of(OfferObstacle.BACKED_OFF);
    }
    if (!keepsSpread(attempt.vm, settings, machine, 1)) {
      return Optional.of(OfferObstacle.SPREAD_LIMIT);
    }
    return slowStart.confirmSend(attempt)
        ? Optional.empty()
        : Optional.of(OfferObstacle.SLOW_START);
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
  private boolean keepsSpread(Vm vm, PriorityClass settings, Machine machine, int ownCounted) {
    return settings.isSpreadUnlimited()
        || (state.countHosted(vm.service, settings.spreadDomain(), machine) - ownCounted
                < settings.maxPerDomain()
            && !state.isInventoryAwaitedNear(machine, settings.spreadDomain()));
  }
}
