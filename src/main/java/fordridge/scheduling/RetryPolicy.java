package fordridge.scheduling;

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
      return vm.lastAttempt() == null || vm.lastAttempt().machine != machine;
    }
    return !settings.isNonIdempotent()
        && !state.isPast(ran.sentAt.plus(settings.deduplicationWindow()))
        && vm.mayHaveRunOnlyNear(machine, settings.idempotencyScope());
  }

  /** The last attempt waits after a rejection: at once, all would be decided by one old list. */
  boolean waitsForNewList(Vm vm) {
    PlacementAttempt last = vm.lastAttempt();
    return last != null
        && last.outcome == PlacementAttempt.Outcome.FULL
        && vm.attempts.size() + 1 >= state.settings.attempts().maxAttempts()
        && state.isWithin(state.detectionTimeouts(1.0 / 6), last.sentAt);
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
    if (state.isStopping || vm.attempts.size() >= state.settings.attempts().maxAttempts()) {
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
