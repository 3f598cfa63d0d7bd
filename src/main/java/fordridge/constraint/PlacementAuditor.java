package fordridge.constraint;

import fordridge.constraint.PlacementTracker.TrackedAttempt;
import fordridge.constraint.RejectionReason.Cause;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;

/**
 * Finds running VMs whose placement violates constraints or could be improved.
 *
 * <p>Each VM is evaluated as if it alone were not running. The cost grows with the number of
 * running VMs, so audits serve operators and checks of new constraint sets, not placements.
 */
final class PlacementAuditor {
  private final MachineCatalog catalog;
  private final PlacementTracker tracker;
  private final VmConstraintCache constraintCache;
  private final RejectionExplainer explainer;

  PlacementAuditor(
      MachineCatalog catalog,
      PlacementTracker tracker,
      VmConstraintCache constraintCache,
      RejectionExplainer explainer) {
    this.catalog = catalog;
    this.tracker = tracker;
    this.constraintCache = constraintCache;
    this.explainer = explainer;
  }

  /**
   * Returns the attempts whose machine is forbidden by a required constraint or is no longer
   * listed, each with the reasons.
   */
  Map<Object, List<RejectionReason>> findViolatingPlacements() {
    Map<Object, List<RejectionReason>> violating = new LinkedHashMap<>();
    tracker
        .attempts()
        .forEach(
            (attempt, tracked) -> {
              List<RejectionReason> reasons = explainExcludingItself(attempt, tracked);
              reasons.removeIf(reason -> isNotViolation(reason, tracked.machine()));
              if (!reasons.isEmpty()) {
                violating.put(attempt, reasons);
              }
            });
    return violating;
  }

  /** A VM may stay on a draining machine, and preferences are not binding. */
  private boolean isNotViolation(RejectionReason reason, int machine) {
    return reason.constraint().isEmpty()
        ? catalog.isDraining(machine)
        : reason.cause() == Cause.PREFERENCE;
  }

  /**
   * Returns at most {@code limit} attempts for which another allowed machine satisfies the
   * preferences better, each with one such machine.
   */
  Map<Object, List<RejectionReason>> findImprovablePlacements(int limit) {
    Map<Object, List<RejectionReason>> improvable = new LinkedHashMap<>();
    tracker
        .attempts()
        .forEach(
            (attempt, tracked) -> {
              if (improvable.size() < limit
                  && constraintCache.applicableConstraints(tracked.vm()).hasPreferences()) {
                tracker.runWithout(attempt, () -> addIfImprovable(attempt, tracked, improvable));
              }
            });
    return improvable;
  }

  private void addIfImprovable(
      Object attempt, TrackedAttempt tracked, Map<Object, List<RejectionReason>> improvable) {
    OptionalInt better = findBetterMachine(tracked);
    if (better.isEmpty()) {
      return;
    }
    List<RejectionReason> reasons = explain(tracked);
    reasons.removeIf(reason -> reason.cause() != Cause.PREFERENCE);
    reasons.add(
        RejectionReason.withoutConstraint(
            Cause.BETTER_MACHINE_AVAILABLE,
            // This text is part of the protocol: it is sent in replies to operators.
            "machine " + catalog.machine(better.getAsInt()).name() + " would do better"));
    improvable.put(attempt, reasons);
  }

  private OptionalInt findBetterMachine(TrackedAttempt tracked) {
    double penalty = constraintCache.preferencePenalty(tracked.vm(), tracked.machine());
    if (penalty == 0) {
      return OptionalInt.empty();
    }
    for (int machine : constraintCache.allowedMachines(tracked.vm())) {
      if (constraintCache.preferencePenalty(tracked.vm(), machine) < penalty) {
        return OptionalInt.of(machine);
      }
    }
    return OptionalInt.empty();
  }

  private List<RejectionReason> explainExcludingItself(Object attempt, TrackedAttempt tracked) {
    List<RejectionReason> reasons = new ArrayList<>();
    tracker.runWithout(attempt, () -> reasons.addAll(explain(tracked)));
    return reasons;
  }

  private List<RejectionReason> explain(TrackedAttempt tracked) {
    return explainer.explain(tracked.vm(), catalog.machine(tracked.machine()).name());
  }
}
