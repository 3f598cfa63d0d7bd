package fordridge.emulator.invariant;

import fordridge.emulator.record.RecordField;
import fordridge.emulator.record.RecordedEvent;
import fordridge.emulator.record.RecordedEventKind;
import java.io.BufferedReader;
import java.io.File;
import java.io.IOException;
import java.nio.file.Files;

/**
 * Checks the invariants against a wire recording.
 *
 * <p>What a machine did counts even where its response was lost. A change of the machine list
 * counts from when it was sent or published, plus the time that the settings allow a scheduler to
 * react to it. Tenants' constraints are checked if the recording contains them.
 */
public final class InvariantChecker {
  private final ObservedState state = new ObservedState();
  private final Findings findings = new Findings();
  private final ResponseInvariant responses = new ResponseInvariant(state, findings);
  private final DuplicateEffectInvariant duplicates = new DuplicateEffectInvariant(state, findings);
  private final DrainInvariant drains = new DrainInvariant(state, findings);
  private final SlowStartInvariant slowStarts = new SlowStartInvariant(state, findings);
  private final SpreadInvariant spread = new SpreadInvariant(state, findings);
  private final ConstraintInvariant constraints = new ConstraintInvariant(state, findings);

  private InvariantChecker() {}

  /** Reads a recording and checks the invariants. */
  public static InvariantReport check(File recording) throws IOException {
    InvariantChecker checker = new InvariantChecker();
    try (BufferedReader in = Files.newBufferedReader(recording.toPath())) {
      long lineNumber = 0;
      for (String line = in.readLine(); line != null; line = in.readLine()) {
        lineNumber++;
        checker.findings.setLine(lineNumber);
        if (!line.isBlank()) {
          RecordedEvent event = RecordedEvent.parse(line, lineNumber);
          event.kind().ifPresent(kind -> checker.observe(event, kind));
        }
      }
    }
    checker.finish();
    return checker.findings.report();
  }

  private void observe(RecordedEvent event, RecordedEventKind kind) {
    switch (kind) {
      case SETTINGS, PRIORITY_CLASS, EMULATOR_STALLED, CONSTRAINTS_PUBLISHED ->
          observeEmulator(event, kind);
      case MACHINE,
          MACHINE_LISTED,
          SNAPSHOT_SENT,
          CHANGE_SENT,
          MACHINE_STARTED,
          MACHINE_OVERLOADED,
          CRASH ->
          observeFleet(event, kind);
      case OFFER, CANCEL, ACCEPTED, REFUSED, STARTED, FINISHED -> observeAttempt(event, kind);
      case STREAM_CUT, STREAM_CLOSED -> {
        if (state.isMachine(event.source())) {
          connectionBroken(event);
        } else {
          responses.clientDisconnected(event);
        }
      }
      case CLIENT_STREAM_BROKEN -> responses.clientDisconnected(event);
      case SESSION_OPENED,
          PLACEMENT_REQUESTED,
          REQUEST_WITHDRAWN,
          REQUEST_ACCEPTED,
          REQUEST_REJECTED,
          REQUEST_FAILED,
          ENDED,
          VM_MIGRATED,
          SEQUENCE_REPEATED ->
          observeClient(event, kind);
      default -> {
        // Events of the other kinds are recorded for human readers only.
      }
    }
  }

  private void observeEmulator(RecordedEvent event, RecordedEventKind kind) {
    switch (kind) {
      case SETTINGS -> state.settingsRecorded(event);
      case PRIORITY_CLASS -> state.priorityClassRecorded(event);
      case EMULATOR_STALLED -> {
        state.emulatorStalled(event);
        findings.recordMaximum(Statistic.LONGEST_EMULATOR_STALL_US, event.whole(RecordField.STALL));
      }
      case CONSTRAINTS_PUBLISHED -> constraints.constraintsPublished(event);
      default -> throw unexpected(kind);
    }
  }

  private void observeFleet(RecordedEvent event, RecordedEventKind kind) {
    switch (kind) {
      case MACHINE -> state.machine(event.source()).setLabels(event);
      case MACHINE_LISTED ->
          state
              .machine(event.text(RecordField.MACHINE))
              .listed(event.text(RecordField.STATE).equals("live"), event.timeUs());
      case SNAPSHOT_SENT -> drains.snapshotSent(event);
      case CHANGE_SENT -> drains.changeSent(event);
      case MACHINE_STARTED -> state.machine(event.source()).started(event);
      case MACHINE_OVERLOADED -> slowStarts.machineOverloaded(event);
      case CRASH -> machineCrashed(event);
      default -> throw unexpected(kind);
    }
  }

  private void observeClient(RecordedEvent event, RecordedEventKind kind) {
    switch (kind) {
      case SESSION_OPENED -> responses.clientConnected(event);
      case PLACEMENT_REQUESTED -> responses.placementRequested(event);
      case REQUEST_WITHDRAWN -> responses.requestWithdrawn(event);
      case REQUEST_ACCEPTED, REQUEST_FAILED -> responses.responded(event, kind);
      case REQUEST_REJECTED ->
          responses
              .responded(event, kind)
              .ifPresent(priorityClass -> duplicates.requestRejected(event, priorityClass));
      case ENDED, VM_MIGRATED -> responses.terminated(event);
      case SEQUENCE_REPEATED -> responses.sequenceRepeated(event);
      default -> throw unexpected(kind);
    }
  }

  private void observeAttempt(RecordedEvent event, RecordedEventKind kind) {
    if (kind == RecordedEventKind.OFFER) {
      attemptOffered(new ObservedAttempt(event));
      return;
    }
    for (ObservedAttempt attempt : state.attemptsOf(event)) {
      switch (kind) {
        case CANCEL -> attempt.cancelled(event.timeUs());
        case ACCEPTED ->
            attempt.isOutcomeDelivered |= state.respondsOnAcceptance() && isDelivered(event);
        case REFUSED -> attemptRefused(attempt, event);
        case STARTED -> attemptStarted(attempt, event);
        case FINISHED -> attemptFinished(attempt, event);
        default -> throw unexpected(kind);
      }
    }
  }

  private void attemptOffered(ObservedAttempt attempt) {
    duplicates.attemptOffered(attempt);
    state.add(attempt);
    constraints.attemptOffered(attempt);
    drains.attemptOffered(attempt);
    slowStarts.attemptOffered(attempt);
    spread.attemptOffered(attempt);
  }

  private void attemptRefused(ObservedAttempt attempt, RecordedEvent event) {
    attempt.hasNeverRun = true;
    attempt.isOutcomeDelivered |= isDelivered(event);
    attemptEnded(attempt, event.timeUs());
    duplicates.attemptRefused(attempt);
  }

  private void attemptStarted(ObservedAttempt attempt, RecordedEvent event) {
    attempt.isOutcomeDelivered |= isDelivered(event);
    if (attempt.isStarted()) {
      // The machine repeats this response after a repeated offer and to a scheduler that
      // reconnected.
      return;
    }
    attempt.started(event.timeUs());
    constraints.attemptStarted(attempt);
    duplicates.attemptStarted(attempt);
  }

  private void attemptFinished(ObservedAttempt attempt, RecordedEvent event) {
    attempt.hasNeverRun |=
        event.isFalse(RecordField.HAS_RUN) && event.text(RecordField.END_KIND).equals("CANCELLED");
    if (!isDelivered(event) && attempt.isOutcomeDelivered) {
      constraints.endNotificationLost(attempt);
    }
    attempt.isOutcomeDelivered |= isDelivered(event);
    attemptEnded(attempt, event.timeUs());
  }

  /** Marks that the attempt no longer occupies its machine. */
  private void attemptEnded(ObservedAttempt attempt, long nowUs) {
    if (attempt.hasEnded) {
      return;
    }
    attempt.hasEnded = true;
    constraints.attemptEnded(attempt, nowUs);
    spread.attemptEnded(attempt);
  }

  private void connectionBroken(RecordedEvent event) {
    String scheduler = event.text(RecordField.SCHEDULER);
    state.forEachActiveAttempt(
        event.source(),
        attempt -> {
          if (attempt.scheduler.equals(scheduler)) {
            attempt.connectionBroken(event.timeUs());
          }
        });
  }

  private void machineCrashed(RecordedEvent event) {
    state.forEachActiveAttempt(
        event.source(),
        attempt -> {
          attempt.connectionBroken(event.timeUs());
          attemptEnded(attempt, event.timeUs());
        });
  }

  private void finish() {
    duplicates.finish();
    responses.finish();
    findings.set(
        Statistic.ATTEMPTS,
        state.allAttempts().stream().mapToLong(attempts -> attempts.size()).sum());
    findings.set(
        Statistic.ATTEMPTS_STARTED,
        state.allAttempts().stream()
            .flatMap(attempts -> attempts.stream())
            .filter(ObservedAttempt::isStarted)
            .count());
  }

  private static boolean isDelivered(RecordedEvent event) {
    return !event.isTrue(RecordField.IS_LOST);
  }

  private static IllegalArgumentException unexpected(RecordedEventKind kind) {
    return new IllegalArgumentException("unexpected kind of event: " + kind);
  }
}
