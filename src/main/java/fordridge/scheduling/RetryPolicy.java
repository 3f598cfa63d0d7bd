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

/** Decides how long an attempt may take, where a VM may be tried again, and when it is given up. */
record RetryPolicy(SchedulerState state) {
  static final int DEFAULT_MAX_ATTEMPTS = 4;

  /** How long a VM is taken to run of which nothing is heard: some lifetimes, and at least this. */
  private static final Duration MIN_TIME_COUNTED = Duration.ofSeconds(60);

  private static final double LIFETIMES_COUNTED = 10;
  private static final Duration NOT_SENT_RETRY_DELAY = Duration.ofMillis(20);
  static final Duration DEFAULT_START_OBJECTIVE = Duration.ofSeconds(1);
  static final Duration DEFAULT_START_DEADLINE = Duration.ofSeconds(5);

  /** How long to wait for the attempt's response. */
  Duration timeout(PlacementAttempt attempt) {
    PriorityClass settings = state.settingsOf(attempt.vm);
    double start = state.classOf(attempt.vm).startSeconds(attempt.isWarmStart).value();
    Duration wait =
        settings.isIdempotent()
            ? ofSeconds(Math.max(2 * toSeconds(settings.startObjective()), 4 * start))
            : scale(settings.startDeadline(), 0.5);
    return min(wait, attempt.vm.deadline.minus(state.now));
  }

  /** Whether the VM may be offered to the machine after its earlier attempts. */
  boolean allowsMachine(Vm vm, PriorityClass settings, Machine machine) {
    PlacementAttempt ran = vm.firstThatMayHaveRun();
    if (ran == null || settings.isIdempotent()) {
      return excludedMachine(vm) != machine;
    }
    return isDeduplicated(ran, settings)
        && vm.mayHaveRunOnlyNear(machine, settings.idempotencyScope());
  }

  /**
   * The machine of the last attempt, or null: another is tried next. One that was not sent says
   * nothing of its machine, which may well be the only one that will do.
   */
  Machine excludedMachine(Vm vm) {
    PlacementAttempt last = vm.lastAttempt();
    return last == null || last.outcome == PlacementAttempt.Outcome.NOT_SENT ? null : last.machine;
  }

  /** Whether an attempt that was decided earlier may still be sent after those before it. */
  boolean allowsResend(PlacementAttempt attempt) {
    PriorityClass settings = state.settingsOf(attempt.vm);
    PlacementAttempt ran = attempt.vm.firstThatMayHaveRunBefore(attempt.number);
    return ran == null || settings.isIdempotent() || isDeduplicated(ran, settings);
  }

  private boolean isDeduplicated(PlacementAttempt ran, PriorityClass settings) {
    return !settings.isNonIdempotent()
        && !state.isPast(ran.sentAt.plus(settings.deduplicationWindow()));
  }

  /** What could not be sent a moment ago can't be sent at once either, as a rule. */
  boolean waitsAfterNotSent(Vm vm) {
    PlacementAttempt last = vm.lastAttempt();
    return last != null
        && last.outcome == PlacementAttempt.Outcome.NOT_SENT
        && state.isWithin(NOT_SENT_RETRY_DELAY, last.sentAt);
  }

  /** The last attempt waits after a rejection: at once, all would be decided by one old list. */
  boolean waitsForNewList(Vm vm) {
    PlacementAttempt last = vm.lastAttempt();
    return last != null
        && last.outcome == PlacementAttempt.Outcome.FULL
        && vm.sentAttempts() + 1 >= state.settings.attempts().maxAttempts()
        && state.isWithin(state.detectionTimeouts(1.0 / 6), last.sentAt);
  }

  /** How long a VM is taken to run whose attempt ended without a word of its machine. */
  Duration mayRunFor(Vm vm) {
    double lifetimes = LIFETIMES_COUNTED * state.classOf(vm).lifetimeSeconds.value();
    return max(ofSeconds(lifetimes), MIN_TIME_COUNTED);
  }

  /** Whether a rejection is true: requesting the VM again does not run it a second time. */
  boolean mayReject(Vm vm) {
    PriorityClass settings = state.settingsOf(vm);
    boolean neverRan = vm.firstThatMayHaveRun() == null;
    return neverRan || settings.isIdempotent() || settings.isIdempotentWithKeyAnywhere();
  }

  /** When no attempt is allowed any more, or the VM was pending for as long as VMs may be. */
  Duration giveUpAt(Vm vm) {
    PriorityClass settings = state.settingsOf(vm);
    if (state.isStopping || vm.sentAttempts() >= state.settings.attempts().maxAttempts()) {
      return Duration.ZERO;
    }
    Duration latest = vm.arrivedAt.plus(scale(vm.deadline.minus(vm.arrivedAt), 7.0 / 8));
    PlacementAttempt ran = settings.isIdempotent() ? null : vm.firstThatMayHaveRun();
    if (ran == null) {
      return latest;
    }
    Duration windowEnd = ran.sentAt.plus(settings.deduplicationWindow());
    return settings.isNonIdempotent() ? Duration.ZERO : min(windowEnd, latest);
  }
}
