package fordridge.scheduling;

import static fordridge.model.Durations.max;
import static fordridge.model.Durations.min;
import static fordridge.model.Durations.ofSeconds;
import static fordridge.model.Durations.scale;
import static fordridge.model.Durations.toSeconds;

import fordridge.model.Machine;
import fordridge.model.PlacementAttempt;
import fordridge.model.PriorityClass;
import fordridge.model.SchedulerState;
import fordridge.model.Vm;
import java.time.Duration;

/**
 * Decides how long an attempt may take, where a VM may be tried again, and when it gets no further
 * attempt.
 */
record RetryPolicy(SchedulerState state) {
  static final int DEFAULT_MAX_ATTEMPTS = 4;

  /**
   * Least time for which a VM is assumed to run if its attempt ended without the machine's
   * confirmation.
   */
  private static final Duration MIN_UNCONFIRMED_RUN_TIME = Duration.ofSeconds(60);

  /** The same time in mean lifetimes of the priority class. */
  private static final double UNCONFIRMED_RUN_LIFETIMES = 10;

  private static final Duration NOT_SENT_RETRY_DELAY = Duration.ofMillis(20);
  static final Duration DEFAULT_START_OBJECTIVE = Duration.ofSeconds(1);
  static final Duration DEFAULT_START_DEADLINE = Duration.ofSeconds(5);

  /** How long to wait for the machine's response to the attempt. */
  Duration timeout(PlacementAttempt attempt) {
    PriorityClass settings = state.settingsOf(attempt.vm);
    double usualStart = state.classOf(attempt.vm).startSeconds(attempt.isWarmStart).value();
    Duration maxWait =
        settings.isIdempotent()
            ? ofSeconds(Math.max(2 * toSeconds(settings.startObjective()), 4 * usualStart))
            : scale(settings.startDeadline(), 0.5);
    return min(maxWait, attempt.vm.deadline.minus(state.now));
  }

  /** Whether the VM may be offered to the machine after its earlier attempts. */
  boolean allowsMachine(Vm vm, PriorityClass settings, Machine machine) {
    PlacementAttempt firstRun = vm.firstAttemptThatMayHaveRun();
    if (firstRun == null || settings.isIdempotent()) {
      return excludedMachine(vm) != machine;
    }
    return isDeduplicated(firstRun, settings)
        && vm.mayHaveRunOnlyInDomainOf(machine, settings.idempotencyScope());
  }

  /**
   * The machine of the last attempt, which the next attempt must not use, or null. An attempt that
   * was not sent excludes no machine: it tells nothing about the machine, which may be the only
   * eligible one.
   */
  Machine excludedMachine(Vm vm) {
    PlacementAttempt last = vm.lastAttempt();
    return last == null || last.outcome == PlacementAttempt.Outcome.NOT_SENT ? null : last.machine;
  }

  /**
   * Whether an attempt that was decided earlier may still be sent, given the attempts before it.
   */
  boolean stillAllowsSend(PlacementAttempt attempt) {
    PriorityClass settings = state.settingsOf(attempt.vm);
    PlacementAttempt firstRun = attempt.vm.firstAttemptThatMayHaveRunBefore(attempt.number);
    return firstRun == null || settings.isIdempotent() || isDeduplicated(firstRun, settings);
  }

  private boolean isDeduplicated(PlacementAttempt firstRun, PriorityClass settings) {
    return !settings.isNonIdempotent()
        && !state.isPast(firstRun.sentAt.plus(settings.deduplicationWindow()));
  }

  /**
   * Whether the VM waits because its last attempt was just not sent: an immediate retry would
   * usually not be sent either.
   */
  boolean waitsAfterUnsentAttempt(Vm vm) {
    PlacementAttempt last = vm.lastAttempt();
    return last != null
        && last.outcome == PlacementAttempt.Outcome.NOT_SENT
        && state.isWithin(NOT_SENT_RETRY_DELAY, last.sentAt);
  }

  /**
   * Whether the VM waits for a newer machine list before its last allowed attempt, after a
   * rejection. Without this wait all attempts would be decided by the same outdated list.
   */
  boolean waitsForNewList(Vm vm) {
    PlacementAttempt last = vm.lastAttempt();
    return last != null
        && last.outcome == PlacementAttempt.Outcome.FULL
        && vm.sentAttemptCount() + 1 >= state.settings.attempts().maxAttempts()
        && state.isWithin(state.detectionTimeouts(1.0 / 6), last.sentAt);
  }

  /** How long a VM is assumed to run if its attempt ended without the machine's confirmation. */
  Duration unconfirmedRunTime(Vm vm) {
    double lifetimes = UNCONFIRMED_RUN_LIFETIMES * state.classOf(vm).lifetimeSeconds.value();
    return max(ofSeconds(lifetimes), MIN_UNCONFIRMED_RUN_TIME);
  }

  /**
   * Whether the VM may be rejected, which tells the client that requesting it again is safe: it
   * never ran, or its class tolerates or prevents a second run.
   */
  boolean mayReject(Vm vm) {
    PriorityClass settings = state.settingsOf(vm);
    boolean neverRan = vm.firstAttemptThatMayHaveRun() == null;
    return neverRan || settings.isIdempotent() || settings.isIdempotentWithKeyAnywhere();
  }

  /**
   * The time from which the VM gets no further attempt: zero if none is allowed, else after seven
   * eighths of its time to the deadline or at the end of its deduplication window, whichever is
   * first.
   */
  Duration giveUpAt(Vm vm) {
    PriorityClass settings = state.settingsOf(vm);
    if (state.isStopping || vm.sentAttemptCount() >= state.settings.attempts().maxAttempts()) {
      return Duration.ZERO;
    }
    Duration latest = vm.arrivedAt.plus(scale(vm.deadline.minus(vm.arrivedAt), 7.0 / 8));
    PlacementAttempt firstRun = settings.isIdempotent() ? null : vm.firstAttemptThatMayHaveRun();
    if (firstRun == null) {
      return latest;
    }
    Duration windowEnd = firstRun.sentAt.plus(settings.deduplicationWindow());
    return settings.isNonIdempotent() ? Duration.ZERO : min(windowEnd, latest);
  }
}
