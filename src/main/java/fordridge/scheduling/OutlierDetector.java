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

/** Scores faults of machines, ejects those that are down, backs off where VMs are rejected. */
record OutlierDetector(SchedulerState state, HealthChecker health) {
  /** Severity of an outlier, if it is also that many times the fleet's mean. */
  private static final double OUTLIER_SEVERITY = 3;

  /** Faults halve over each detection timeout. */
  void recordFault(Machine machine, double score) {
    machine.faultScore.add(score, state.now, state.settings.detectionTimeout());
  }

  double faultScore(Machine machine) {
    return machine.faultScore.at(state.now, state.settings.detectionTimeout());
  }

  /** An outlier gets one idempotent VM at a time, until its faults fade. */
  boolean isTrusted(PriorityClass settings, Machine machine) {
    double severity = severity(machine);
    return severity < OUTLIER_SEVERITY
        || severity < OUTLIER_SEVERITY * state.usage.meanFaultSeverity
        || (settings.isIdempotent()
            && machine.unansweredAttempts.isEmpty()
            && state.since(machine.lastAttemptAt).compareTo(state.detectionTimeouts(1.0 / 2)) > 0);
  }

  double severity(Machine machine) {
    return faultScore(machine) + (isSilent(machine) ? OUTLIER_SEVERITY : 0);
  }

  /** Whether the oldest attempt there waits for a response for longer than starts usually take. */
  private boolean isSilent(Machine machine) {
    if (machine.unansweredAttempts.isEmpty()) {
      return false;
    }
    PlacementAttempt oldest = machine.unansweredAttempts.iterator().next();
    double objective = toSeconds(state.settingsOf(oldest.vm).startObjective());
    double start = state.classOf(oldest.vm).startSeconds(oldest.isWarmStart).value();
    return state.secondsSince(oldest.sentAt) / Math.max(objective, 2 * start) > 1;
  }

  /** A late start is a fault, one in time shrinks the score. */
  void vmStarted(PlacementAttempt attempt, double seconds) {
    boolean isLate = seconds > toSeconds(state.settingsOf(attempt.vm).startObjective());
    recordFault(attempt.machine, isLate ? 0.3 : -faultScore(attempt.machine) / 5);
  }

  void attemptAccepted(PlacementAttempt attempt) {
    var backoff = attempt.machine.rejectionBackoff(attempt.vm.tenantClass());
    backoff.span = backoff.span.dividedBy(2);
    backoff.acceptedAt = state.now;
  }

  /** Draws what follows for the machine from how an attempt there ended. */
  void attemptEnded(PlacementAttempt attempt, OutcomeReason reason) {
    Outcome outcome = attempt.outcome;
    boolean isExpected =
        outcome == Outcome.DONE || outcome == Outcome.CANCELLED || outcome == Outcome.NOT_SENT;
    if (attempt.vm.isMigrating || isExpected) {
      return;
    }
    boolean hasReason = reason != OutcomeReason.UNSPECIFIED;
    if (outcome == Outcome.FULL && hasReason) {
      full(attempt, reason);
    } else if (outcome == Outcome.FULL || (outcome == Outcome.ERROR && !attempt.wasAccepted())) {
      rejected(attempt);
    } else if (outcome == Outcome.RESET && attempt.wasAccepted() && hasReason) {
      recordFault(attempt.machine, reason == OutcomeReason.EVICTED ? 1 : 0);
    } else {
      lost(attempt);
    }
  }

  private void full(PlacementAttempt attempt, OutcomeReason reason) {
    Duration objective = state.settingsOf(attempt.vm).startObjective();
    boolean isQueue = reason == OutcomeReason.QUEUE_FULL;
    Duration span = isQueue ? objective : state.settings.detectionTimeout();
    attempt.machine.ejectedUntil = state.now.plus(scale(span, 0.5));
    recordFault(attempt.machine, 0.5);
  }

  /**
   * A machine that is truly full says of what; one that does not rejects this tenant class whatever
   * it has free, by a quota or a fault. Where reasons are never given, this may cost capacity.
   */
  private void rejected(PlacementAttempt attempt) {
    var backoff = attempt.machine.rejectionBackoff(attempt.vm.tenantClass());
    double timeouts = 4 * toSeconds(backoff.span) / state.timeoutSeconds();
    backoff.span = ofSeconds(Math.max(2, Math.min(timeouts, 8)) * state.timeoutSeconds());
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

  /** A machine that is down is ejected for longer each time: an outage must not use up attempts. */
  private void lost(PlacementAttempt attempt) {
    Machine machine = attempt.machine;
    boolean isUnreachable = attempt.outcome == Outcome.UNREACHABLE;
    recordFault(machine, attempt.wasAccepted() ? 0.5 : 2);
    if (isUnreachable && state.isPast(machine.ejectedUntil)) {
      health.gossip(GossipCodec.unreachable(machine));
    }
    if (isUnreachable || attempt.wasAccepted()) {
      double timeouts = Math.min(faultScore(machine), 4 * OUTLIER_SEVERITY) / 4;
      machine.ejectedUntil = state.now.plus(ofSeconds(timeouts * state.timeoutSeconds() / 2));
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

  /** Whether the machine accepted a VM of this tenant class lately. */
  boolean acceptedLately(Vm vm, Machine machine) {
    Duration span = state.detectionTimeouts(4);
    return machine.hasRejectionBackoffs()
        && state.isWithin(span, machine.rejectionBackoff(vm.tenantClass()).acceptedAt);
  }
}
