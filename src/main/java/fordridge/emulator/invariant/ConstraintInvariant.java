package fordridge.emulator.invariant;

import static fordridge.emulator.invariant.Invariant.TENANT_CONSTRAINTS_RESPECTED;

import fordridge.emulator.record.RecordField;
import fordridge.emulator.record.RecordedEvent;
import java.util.HashMap;
import java.util.Map;

/**
 * No offer breaks a tenant's required constraint. Only checked once a set of constraints was
 * published; offers before the first set are not counted.
 */
final class ConstraintInvariant {
  private final ObservedState state;
  private final Findings findings;
  private final ConstraintChecker checker = new ConstraintChecker();
  private final Map<ObservedAttempt, ConstraintChecker.Placement> placements = new HashMap<>();

  ConstraintInvariant(ObservedState state, Findings findings) {
    this.state = state;
    this.findings = findings;
  }

  void constraintsPublished(RecordedEvent event) {
    checker.constraintsPublished(
        event.text(RecordField.CONSTRAINT_TEXT),
        (int) event.whole(RecordField.SCHEDULER_COUNT),
        event.timeUs());
  }

  void attemptOffered(ObservedAttempt attempt) {
    if (!checker.hasConstraints()) {
      return;
    }
    ObservedMachine machine = state.machine(attempt.machine);
    ConstraintChecker.Placement placement =
        new ConstraintChecker.Placement(
            new MachineTopology(machine.name, machine.kind, machine.zone, machine.cell),
            attempt.tenant,
            attempt.priorityClass,
            attempt.service);
    placements.put(attempt, placement);
    findings.count(Figure.OFFERS_CHECKED_AGAINST_CONSTRAINTS);
    checker
        .offered(attempt.scheduler, placement, attempt.offeredAtUs)
        .ifPresent(
            broken ->
                findings.violated(
                    TENANT_CONSTRAINTS_RESPECTED,
                    attempt.vm + " offered to " + attempt.machine + " against " + broken));
  }

  void attemptStarted(ObservedAttempt attempt) {
    ConstraintChecker.Placement placement = placements.get(attempt);
    if (placement != null) {
      placement.isStarted = true;
    }
  }

  /** The end of a VM that its scheduler takes to run was lost on the way. */
  void endLost(ObservedAttempt attempt) {
    ConstraintChecker.Placement placement = placements.get(attempt);
    if (placement != null) {
      placement.isEndLost = true;
    }
  }

  void attemptOver(ObservedAttempt attempt, long nowUs) {
    ConstraintChecker.Placement placement = placements.get(attempt);
    if (placement != null) {
      placement.isOver = true;
      placement.overAtUs = nowUs;
    }
  }
}
