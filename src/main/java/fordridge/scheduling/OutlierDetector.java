package fordridge.scheduling;

import static fordridge.model.Durations.ofSeconds;
import static fordridge.model.Durations.scale;
import static fordridge.model.Durations.toSeconds;

import fordridge.model.GossipCodec;
import fordridge.model.Machine;
import fordridge.model.PlacementAttempt;
import fordridge.model.PlacementAttempt.Outcome;
import fordridge.model.PlacementAttempt.OutcomeReason;
import fordridge.model.PriorityClass;
import fordridge.model.SchedulerState;
import fordridge.model.Vm;
import java.time.Duration;

/**
 * Scores faults of machines, ejects machines that are down and backs off from machines that reject
 * VMs.
 */
record OutlierDetector(SchedulerState state, HealthChecker health) {
  /**
   * Fault severity from which a machine is an outlier, if it is also this many times the fleet's
   * mean.
   */
  private static final double OUTLIER_SEVERITY = 3;

  /** Adds to the machine's fault score, which halves over each detection timeout. */
  void recordFault(Machine machine, double score) {
    machine.faultScore.add(score, state.now, state.settings.detectionTimeout());
  }

  double faultScore(Machine machine) {
    return machine.faultScore.at(state.now, state.settings.detectionTimeout());
  }

  /**
   * Whether a VM of the class may be offered to the machine. Until its fault score has decayed, an
   * outlier gets only one idempotent VM at a time.
   */
  boolean isTrusted(PriorityClass settings, Machine machine) {
    double severity = severity(machine);
    return severity < OUTLIER_SEVERITY
        || severity < OUTLIER_SEVERITY * state.usage.meanFaultSeverity
        || (settings.isIdempotent()
            && machine.unansweredAttempts.isEmpty()
            && state.since(machine.lastAttemptAt).compareTo(state.detectionTimeouts(1.0 / 2)) > 0);
  }

  double severity(Machine machine) {
    return faultScore(machine) + (isUnresponsive(machine) ? OUTLIER_SEVERITY : 0);
  }

  /**
   * Whether the machine's oldest unanswered attempt has waited longer than a start usually takes.
   */
  private boolean isUnresponsive(Machine machine) {
    if (machine.unansweredAttempts.isEmpty()) {
      return false;
    }
    PlacementAttempt oldest = machine.unansweredAttempts.iterator().next();
    double objective = toSeconds(state.settingsOf(oldest.vm).startObjective());
    double usualStart = state.classOf(oldest.vm).startSeconds(oldest.isWarmStart).value();
    return state.secondsSince(oldest.sentAt) / Math.max(objective, 2 * usualStart) > 1;
  }

  /** Adds to the fault score for a late start, reduces it for a start in time. */
  void vmStarted(PlacementAttempt attempt, double seconds) {
    boolean isLate = seconds > toSeconds(state.settingsOf(attempt.vm).startObjective());
    recordFault(attempt.machine, isLate ? 0.3 : -faultScore(attempt.machine) / 5);
  }

  void attemptAccepted(PlacementAttempt attempt) {
    var backoff = attempt.machine.rejectionBackoff(attempt.vm.tenantClass());
    backoff.span = backoff.span.dividedBy(2);
    backoff.acceptedAt = state.now;
  }

  /** Updates the machine's fault score, ejection and backoff after an attempt has ended. */
  void attemptEnded(PlacementAttempt attempt, OutcomeReason reason) {
    Outcome outcome = attempt.outcome;
    boolean isExpected =
        outcome == Outcome.DONE || outcome == Outcome.CANCELLED || outcome == Outcome.NOT_SENT;
    if (attempt.vm.isMigrating || isExpected) {
      return;
    }
    boolean hasReason = reason != OutcomeReason.UNSPECIFIED;
    if (outcome == Outcome.FULL && hasReason) {
      rejectedWithReason(attempt, reason);
    } else if (outcome == Outcome.FULL || (outcome == Outcome.ERROR && !attempt.wasAccepted())) {
      backOff(attempt);
    } else if (outcome == Outcome.RESET && attempt.wasAccepted() && hasReason) {
      recordFault(attempt.machine, reason == OutcomeReason.EVICTED ? 1 : 0);
    } else {
      attemptLost(attempt);
    }
  }

  private void rejectedWithReason(PlacementAttempt attempt, OutcomeReason reason) {
    Duration objective = state.settingsOf(attempt.vm).startObjective();
    boolean isQueueFull = reason == OutcomeReason.QUEUE_FULL;
    Duration span = isQueueFull ? objective : state.settings.detectionTimeout();
    attempt.machine.ejectedUntil = state.now.plus(scale(span, 0.5));
    recordFault(attempt.machine, 0.5);
  }

  /**
   * Backs off from the machine for VMs of this tenant class, after a rejection without a reason or
   * an error before acceptance. A full machine names the resource that it lacks; a machine that
   * gives no reason is assumed to reject the tenant class because of a quota or a fault, whatever
   * capacity it has. Where machines never give reasons, this may leave capacity unused.
   */
  private void backOff(PlacementAttempt attempt) {
    var backoff = attempt.machine.rejectionBackoff(attempt.vm.tenantClass());
    double spanInTimeouts = 4 * toSeconds(backoff.span) / state.detectionTimeoutSeconds();
    backoff.span =
        ofSeconds(Math.max(2, Math.min(spanInTimeouts, 8)) * state.detectionTimeoutSeconds());
    backoff.until = state.now.plus(backoff.span);
    backoff.acceptedAt = null;
    if (attempt.outcome == Outcome.FULL) {
      state.rejectedAt.put(attempt.vm.tenantClass(), state.now);
    } else {
      recordFault(attempt.machine, 0.5);
    }
    int tenantClass = state.tenantClasses.indexOf(attempt.vm.tenantClass());
    if (tenantClass >= 0) {
      health.gossip(GossipCodec.tenantClassRejected(attempt.machine, tenantClass));
    }
  }

  /**
   * Records a fault and ejects a machine that is down, for longer after each attempt, so that an
   * outage does not use up the attempts of VMs.
   */
  private void attemptLost(PlacementAttempt attempt) {
    Machine machine = attempt.machine;
    boolean isUnreachable = attempt.outcome == Outcome.UNREACHABLE;
    recordFault(machine, attempt.wasAccepted() ? 0.5 : 2);
    if (isUnreachable && state.isPast(machine.ejectedUntil)) {
      health.gossip(GossipCodec.unreachable(machine));
    }
    if (isUnreachable || attempt.wasAccepted()) {
      double halfTimeouts = Math.min(faultScore(machine), 4 * OUTLIER_SEVERITY) / 4;
      machine.ejectedUntil =
          state.now.plus(ofSeconds(halfTimeouts * state.detectionTimeoutSeconds() / 2));
    }
  }

  boolean isBackedOff(Vm vm, Machine machine) {
    return machine.hasRejectionBackoffs()
        && !state.isPast(machine.rejectionBackoff(vm.tenantClass()).until);
  }

  /** Whether VMs of this tenant class are being rejected without a reason. */
  boolean isBeingRejected(Vm vm) {
    return state.isWithin(state.detectionTimeouts(2), state.rejectedAt.get(vm.tenantClass()));
  }

  /**
   * Whether the machine recently accepted a VM of this tenant class and has not rejected one since.
   */
  boolean acceptedRecently(Vm vm, Machine machine) {
    Duration span = state.detectionTimeouts(4);
    return machine.hasRejectionBackoffs()
        && state.isWithin(span, machine.rejectionBackoff(vm.tenantClass()).acceptedAt);
  }
}
