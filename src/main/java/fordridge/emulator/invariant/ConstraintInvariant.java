package fordridge.emulator.invariant;

import static fordridge.emulator.invariant.Invariant.TENANT_CONSTRAINTS_RESPECTED;

import fordridge.emulator.record.RecordField;
import fordridge.emulator.record.RecordedEvent;
import java.util.HashMap;
import java.util.Map;

/**
 * Checks that no offer violates a required constraint of a tenant. Offers before the first
 * published set of constraints are not checked.
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
            new ObservedTopology(machine.name, machine.kind, machine.zone, machine.cell),
            attempt.tenant,
            attempt.priorityClass,
            attempt.service);
    placements.put(attempt, placement);
    findings.increment(Statistic.OFFERS_CHECKED_AGAINST_CONSTRAINTS);
    checker
        .checkOffer(attempt.scheduler, placement, attempt.offeredAtUs)
        .ifPresent(
            violated ->
                findings.addViolation(
                    TENANT_CONSTRAINTS_RESPECTED,
                    attempt.vm + " offered to " + attempt.machine + " against " + violated));
  }

  void attemptStarted(ObservedAttempt attempt) {
    ConstraintChecker.Placement placement = placements.get(attempt);
    if (placement != null) {
      placement.isStarted = true;
    }
  }

  /**
   * Records that the message about a VM's end was lost while its scheduler considers the VM
   * running.
   */
  void endNotificationLost(ObservedAttempt attempt) {
    ConstraintChecker.Placement placement = placements.get(attempt);
    if (placement != null) {
      placement.isEndNotificationLost = true;
    }
  }

  void attemptEnded(ObservedAttempt attempt, long nowUs) {
    ConstraintChecker.Placement placement = placements.get(attempt);
    if (placement != null) {
      placement.hasEnded = true;
      placement.endedAtUs = nowUs;
    }
  }
}
