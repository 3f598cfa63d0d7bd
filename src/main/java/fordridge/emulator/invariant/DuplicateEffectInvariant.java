package fordridge.emulator.invariant;

import static fordridge.emulator.invariant.Invariant.NO_DUPLICATE_EFFECT;

import fordridge.emulator.record.RecordedEvent;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Checks that a VM has one outstanding attempt at a time and is retried only as the retry safety of
 * its priority class allows. A non-idempotent VM may be retried only if no earlier attempt can have
 * run; a VM with an idempotency key only within the deduplication domain and window of the earlier
 * attempt. A VM whose request is rejected must not have run, unless it may safely start again on
 * any machine.
 */
final class DuplicateEffectInvariant {
  /**
   * How much earlier an attempt may time out at the scheduler than at its machine, in microseconds.
   * The scheduler counts from its decision, the machine from the arrival of the offer; during this
   * time a cancellation may be in transit.
   */
  private static final long CANCELLATION_WINDOW_US = 250_000;

  private record PossibleDuplicate(
      long line, ObservedAttempt earlier, long nowUs, String description) {}

  private final ObservedState state;
  private final Findings findings;
  private final List<PossibleDuplicate> possibleDuplicates = new ArrayList<>();

  DuplicateEffectInvariant(ObservedState state, Findings findings) {
    this.state = state;
    this.findings = findings;
  }

  /**
   * Checks a new attempt against the earlier ones of its VM. To be called before the attempt is
   * added to the state.
   */
  void attemptOffered(ObservedAttempt attempt) {
    for (ObservedAttempt earlier : state.attempts(attempt.vm)) {
      if (earlier.number == attempt.number && earlier.machine.equals(attempt.machine)) {
        findings.addViolation(
            NO_DUPLICATE_EFFECT, describe(attempt) + " offered twice to " + attempt.machine);
      } else {
        checkNotOutstanding(attempt, earlier);
        checkRetrySafety(attempt, earlier);
      }
    }
  }

  private void checkNotOutstanding(ObservedAttempt attempt, ObservedAttempt earlier) {
    long nowUs = attempt.offeredAtUs;
    boolean isOutstanding = earlier.isOutstanding(nowUs, ObservedState.TOLERANCE_US);
    String description =
        describe(attempt)
            + " offered while attempt "
            + earlier.number
            + " is outstanding on "
            + earlier.machine;
    if (isOutstanding && nowUs >= earlier.deadlineUs - CANCELLATION_WINDOW_US) {
      possibleDuplicates.add(new PossibleDuplicate(findings.line(), earlier, nowUs, description));
    } else if (isOutstanding || earlier.isKnownToRun(nowUs, state.toleranceUs(nowUs))) {
      findings.addViolation(NO_DUPLICATE_EFFECT, description);
    }
  }

  private void checkRetrySafety(ObservedAttempt attempt, ObservedAttempt earlier) {
    Optional<RecordedPriorityClass> settings = state.priorityClass(attempt.priorityClass);
    if (settings.isEmpty() || earlier.hasNeverRun) {
      return;
    }
    switch (settings.get().retrySafety()) {
      case IDEMPOTENT -> {}
      case IDEMPOTENT_WITH_KEY -> checkIdempotencyKey(attempt, earlier, settings.get());
      case NON_IDEMPOTENT ->
          findings.addViolation(
              NO_DUPLICATE_EFFECT,
              "attempt "
                  + attempt.number
                  + " of non-idempotent "
                  + attempt.vm
                  + " offered though attempt "
                  + earlier.number
                  + " on "
                  + earlier.machine
                  + " may have run");
    }
  }

  private void checkIdempotencyKey(
      ObservedAttempt attempt, ObservedAttempt earlier, RecordedPriorityClass settings) {
    String description = "attempt " + attempt.number + " of idempotent " + attempt.vm;
    ObservedMachine machine = state.machine(attempt.machine);
    ObservedMachine earlierMachine = state.machine(earlier.machine);
    if (!settings.deduplicationDomain().containsBoth(machine, earlierMachine)) {
      findings.addViolation(
          NO_DUPLICATE_EFFECT, description + " offered outside its deduplication domain");
    }
    long windowEndUs = earlier.offeredAtUs + settings.deduplicationWindowUs();
    if (attempt.offeredAtUs > windowEndUs + ObservedState.TOLERANCE_US) {
      findings.addViolation(
          NO_DUPLICATE_EFFECT, description + " offered after its deduplication window");
    }
  }

  private static String describe(ObservedAttempt attempt) {
    return "attempt " + attempt.number + " of " + attempt.vm;
  }

  /**
   * Checks the first start of an attempt. To be called after the attempt's start is in the state.
   */
  void attemptStarted(ObservedAttempt attempt) {
    Optional<RecordedPriorityClass> settings = state.priorityClass(attempt.priorityClass);
    long starts = state.attempts(attempt.vm).stream().filter(ObservedAttempt::isStarted).count();
    boolean isNonIdempotent =
        settings.isPresent() && settings.get().retrySafety() == RecordedRetrySafety.NON_IDEMPOTENT;
    if (isNonIdempotent) {
      findings.increment(Statistic.NON_IDEMPOTENT_STARTS);
      if (starts > 1) {
        findings.addViolation(
            NO_DUPLICATE_EFFECT,
            "non-idempotent " + attempt.vm + " was started " + starts + " times");
      }
    } else if (starts > 1) {
      findings.increment(Statistic.REPEATED_IDEMPOTENT_STARTS);
    }
  }

  void attemptRefused(ObservedAttempt attempt) {
    if (attempt.isStarted()) {
      findings.addViolation(
          NO_DUPLICATE_EFFECT, describe(attempt) + " refused after it was started");
    }
  }

  /**
   * Checks that a VM whose request was rejected has not run, unless it may safely start again on
   * any machine.
   */
  void requestRejected(RecordedEvent event, String priorityClass) {
    Optional<RecordedPriorityClass> settings = state.priorityClass(priorityClass);
    if (settings.isEmpty() || settings.get().isRestartSafeAnywhere()) {
      return;
    }
    String vm = ResponseInvariant.qualifiedVm(event);
    for (ObservedAttempt attempt : state.attempts(vm)) {
      if (attempt.isStarted()) {
        findings.addViolation(
            NO_DUPLICATE_EFFECT,
            vm + " rejected though attempt " + attempt.number + " ran on " + attempt.machine);
      }
    }
  }

  /**
   * Reports the possible duplicates for which the recording has no cancellation in time. To be
   * called at the end of the recording.
   */
  void finish() {
    for (PossibleDuplicate possible : possibleDuplicates) {
      long latestCancellationUs = possible.nowUs() + CANCELLATION_WINDOW_US;
      long cancelledAtUs = possible.earlier().cancelledAtUs().orElse(Long.MAX_VALUE);
      if (cancelledAtUs > latestCancellationUs) {
        findings.addViolationAt(possible.line(), NO_DUPLICATE_EFFECT, possible.description());
      }
    }
  }
}
