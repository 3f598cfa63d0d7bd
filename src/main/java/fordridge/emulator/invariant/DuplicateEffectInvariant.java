package fordridge.emulator.invariant;

import static fordridge.emulator.invariant.Invariant.NO_DUPLICATE_EFFECT;

import fordridge.emulator.record.RecordedEvent;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * A VM has one outstanding attempt at a time, and is attempted again only as the retry safety of
 * its priority class allows: a non-idempotent one only if no earlier attempt can have run, one with
 * an idempotency key only in the machines' deduplication domain and window. A rejected VM has not
 * run.
 */
final class DuplicateEffectInvariant {
  /**
   * Attempts time out at the scheduler, which counts from its decision, about this long before they
   * do at the machine; within it a cancellation may be on its way.
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

  /** A VM is offered to a machine; called before the attempt is added to the state. */
  void attemptOffered(ObservedAttempt attempt) {
    for (ObservedAttempt earlier : state.attempts(attempt.vm)) {
      if (earlier.number == attempt.number && earlier.machine.equals(attempt.machine)) {
        findings.violated(
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
      findings.violated(NO_DUPLICATE_EFFECT, description);
    }
  }

  private void checkRetrySafety(ObservedAttempt attempt, ObservedAttempt earlier) {
    Optional<PriorityClassSettings> settings = state.priorityClass(attempt.priorityClass);
    if (settings.isEmpty() || earlier.hasNeverRun) {
      return;
    }
    switch (settings.get().retrySafety()) {
      case IDEMPOTENT -> {}
      case IDEMPOTENT_WITH_KEY -> checkIdempotencyKey(attempt, earlier, settings.get());
      case NON_IDEMPOTENT ->
          findings.violated(
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
      ObservedAttempt attempt, ObservedAttempt earlier, PriorityClassSettings settings) {
    String description = "attempt " + attempt.number + " of idempotent " + attempt.vm;
    ObservedMachine machine = state.machine(attempt.machine);
    ObservedMachine earlierMachine = state.machine(earlier.machine);
    if (!settings.deduplicationDomain().isSame(machine, earlierMachine)) {
      findings.violated(
          NO_DUPLICATE_EFFECT, description + " offered outside its deduplication domain");
    }
    long windowEndUs = earlier.offeredAtUs + settings.deduplicationWindowUs();
    if (attempt.offeredAtUs > windowEndUs + ObservedState.TOLERANCE_US) {
      findings.violated(
          NO_DUPLICATE_EFFECT, description + " offered after its deduplication window");
    }
  }

  private static String describe(ObservedAttempt attempt) {
    return "attempt " + attempt.number + " of " + attempt.vm;
  }

  /** A VM started for the first time in this attempt; the state has it already. */
  void attemptStarted(ObservedAttempt attempt) {
    Optional<PriorityClassSettings> settings = state.priorityClass(attempt.priorityClass);
    long starts = state.attempts(attempt.vm).stream().filter(ObservedAttempt::isStarted).count();
    boolean isNonIdempotent =
        settings.isPresent() && settings.get().retrySafety() == RetrySafety.NON_IDEMPOTENT;
    if (isNonIdempotent) {
      findings.count(Figure.NON_IDEMPOTENT_STARTS);
      if (starts > 1) {
        findings.violated(
            NO_DUPLICATE_EFFECT,
            "non-idempotent " + attempt.vm + " was started " + starts + " times");
      }
    } else if (starts > 1) {
      findings.count(Figure.REPEATED_IDEMPOTENT_STARTS);
    }
  }

  void attemptRefused(ObservedAttempt attempt) {
    if (attempt.isStarted()) {
      findings.violated(NO_DUPLICATE_EFFECT, describe(attempt) + " refused after it was started");
    }
  }

  /** A client heard that its VM is rejected: unless it may start again, it has not run. */
  void requestRejected(RecordedEvent event, String priorityClass) {
    Optional<PriorityClassSettings> settings = state.priorityClass(priorityClass);
    if (settings.isEmpty() || settings.get().mayStartAgainAnywhere()) {
      return;
    }
    String vm = ResponseInvariant.qualifiedVm(event);
    for (ObservedAttempt attempt : state.attempts(vm)) {
      if (attempt.isStarted()) {
        findings.violated(
            NO_DUPLICATE_EFFECT,
            vm + " rejected though attempt " + attempt.number + " ran on " + attempt.machine);
      }
    }
  }

  /** The recording is over: no cancellation arrives any more. */
  void finish() {
    for (PossibleDuplicate possible : possibleDuplicates) {
      long latestCancellationUs = possible.nowUs() + CANCELLATION_WINDOW_US;
      long cancelledAtUs = possible.earlier().cancelledAtUs().orElse(Long.MAX_VALUE);
      if (cancelledAtUs > latestCancellationUs) {
        findings.violatedAt(possible.line(), NO_DUPLICATE_EFFECT, possible.description());
      }
    }
  }
}
