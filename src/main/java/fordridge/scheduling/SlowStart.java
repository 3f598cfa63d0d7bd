package fordridge.scheduling;

import static fordridge.model.Durations.toSeconds;

import fordridge.model.Machine;
import fordridge.model.PlacementAttempt;
import fordridge.model.SchedulerState;
import java.time.Duration;

/** Limits attempts at machines that came up lately: to a part that rises with their age. */
record SlowStart(SchedulerState state) {
  static final Duration DEFAULT_WARM_UP_TIME = Duration.ofSeconds(20);
  static final Duration DEFAULT_OVERLOAD_SPAN = Duration.ofSeconds(1);
  static final double DEFAULT_INITIAL_SHARE = 0.2;
  private static final double LEAST_SHARE = 0.5;

  boolean isWarmingUp(Machine machine) {
    var warmUpTime = state.settings.slowStart().warmUpTime();
    return machine.startedAt != null && state.isWithin(warmUpTime, machine.startedAt);
  }

  /** The attempt was decided: it takes its place in the quota from now on. */
  void attemptSent(PlacementAttempt attempt) {
    if (isWarmingUp(attempt.machine)) {
      attempt.machine.slowStartAttempts.add(state.now);
      attempt.slowStartCountedAt = state.now;
    }
  }

  /**
   * Whether the attempt may be sent now, by the quota of now; if so it counts as sent at this
   * instant, and no longer as when it was decided: what waited for a connection falls on the
   * machine together with what is sent by now.
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
   * Where the quota is under one attempt in a span, schedulers take turns by position, at each
   * machine at another time: else, after an outage, a scheduler's turn comes everywhere at once.
   */
  boolean allowsAttempt(Machine machine) {
    if (!isWarmingUp(machine)) {
      return true;
    }
    var settings = state.settings.slowStart();
    Duration span = settings.overloadSpan();
    // What this scheduler sent there before its own restart is not known: taken as its quota.
    if (state.isWithin(span, state.startedAt) && machine.startedAt.compareTo(state.startedAt) < 0) {
      return false;
    }
    long turn = state.since(machine.startedAt).toNanos() / span.toNanos();
    double age = turn * toSeconds(span) / toSeconds(settings.warmUpTime());
    double initial = settings.initialShare();
    double share = Math.max(LEAST_SHARE, initial + (1 - initial) * age);
    double quota = share * settings.attemptsPerSpan() / state.schedulerCount;
    int sent = machine.slowStartAttempts.count(state.now, span);
    if (quota >= 1) {
      return sent < (int) quota;
    }
    long turns = (long) Math.ceil(2 / quota);
    return sent == 0 && (turn + machine.id) % turns == state.settings.position() % turns;
  }
}
