package fordridge.scheduling;

import fordridge.model.Machine;
import fordridge.model.PlacementAttempt;
import fordridge.model.PriorityClass;
import fordridge.model.SchedulerState;
import fordridge.model.Vm;
import java.util.Optional;

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
        && !actions.isSendQueueFull(machine)
        && retries.allowsMachine(vm, settings, machine)
        && keepsSpread(vm, settings, machine, 0)
        && actions.constraintPenalty(vm, machine) < Double.POSITIVE_INFINITY;
  }

  /**
   * What was learned since an attempt was decided and forbids that it is sent, if anything. Its own
   * place among the VMs of its service, and in the quota of slow start, is not held against it.
   */
  Optional<OfferObstacle> findObstacle(PlacementAttempt attempt) {
    Optional<OfferObstacle> atClient = findObstacleAtClient(attempt);
    return atClient.isPresent() ? atClient : findObstacleAtMachine(attempt);
  }

  private Optional<OfferObstacle> findObstacleAtClient(PlacementAttempt attempt) {
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

  private Optional<OfferObstacle> findObstacleAtMachine(PlacementAttempt attempt) {
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
