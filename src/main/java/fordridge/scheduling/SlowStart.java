package fordridge.scheduling;

import static fordridge.model.Durations.toSeconds;

import fordridge.model.Machine;
import fordridge.model.PlacementAttempt;
import fordridge.model.SchedulerState;
import java.time.Duration;

/** Limits the attempts at recently started machines to a share that rises with their age. */
record SlowStart(SchedulerState state) {
  static final Duration DEFAULT_WARM_UP_TIME = Duration.ofSeconds(20);
  static final Duration DEFAULT_OVERLOAD_SPAN = Duration.ofSeconds(1);
  static final double DEFAULT_INITIAL_SHARE = 0.2;

  /** Least share of the attempts per span that is allowed, whatever initial share is configured. */
  private static final double MIN_SHARE = 0.5;

  boolean isWarmingUp(Machine machine) {
    var warmUpTime = state.settings.slowStart().warmUpTime();
    return machine.startedAt != null && state.isWithin(warmUpTime, machine.startedAt);
  }

  /** Counts an attempt that was decided now against the machine's quota. */
  void attemptSent(PlacementAttempt attempt) {
    if (isWarmingUp(attempt.machine)) {
      attempt.machine.slowStartAttempts.add(state.now);
      attempt.slowStartCountedAt = state.now;
    }
  }

  /**
   * Whether the current quota allows the attempt to be sent now. If so, it counts as sent now
   * instead of when it was decided: attempts that waited for a connection reach the machine
   * together with those that are sent now.
   */
  boolean confirmSend(PlacementAttempt attempt) {
    if (!isWarmingUp(attempt.machine) || state.now.equals(attempt.slowStartCountedAt)) {
      return true;
    }
    if (attempt.slowStartCountedAt != null) {
      attempt.machine.slowStartAttempts.remove(attempt.slowStartCountedAt);
      attempt.slowStartCountedAt = null;
    }
    if (!allowsAttempt(attempt.machine)) {
      return false;
    }
    attemptSent(attempt);
    return true;
  }

  /**
   * Whether the quota allows another attempt at the machine. Where the quota is less than one
   * attempt per span, schedulers take turns by position. The order of turns depends on the
   * machine's id: otherwise, after an outage, a scheduler's turn would come at all machines at
   * once.
   */
  boolean allowsAttempt(Machine machine) {
    if (!isWarmingUp(machine)) {
      return true;
    }
    var settings = state.settings.slowStart();
    Duration span = settings.overloadSpan();
    // Attempts that were sent before this scheduler was itself restarted are not known; they are
    // assumed to have used up its quota.
    if (state.isWithin(span, state.startedAt) && machine.startedAt.compareTo(state.startedAt) < 0) {
      return false;
    }
    long spansSinceStart = state.since(machine.startedAt).toNanos() / span.toNanos();
    double warmUpProgress = spansSinceStart * toSeconds(span) / toSeconds(settings.warmUpTime());
    double initial = settings.initialShare();
    double share = Math.max(MIN_SHARE, initial + (1 - initial) * warmUpProgress);
    double quota = share * settings.attemptsPerSpan() / state.schedulerCount;
    int sent = machine.slowStartAttempts.count(state.now, span);
    if (quota >= 1) {
      return sent < (int) quota;
    }
    long turnCount = (long) Math.ceil(2 / quota);
    return sent == 0
        && (spansSinceStart + machine.id) % turnCount == state.settings.position() % turnCount;
  }
}
