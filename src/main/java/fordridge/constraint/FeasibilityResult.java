package fordridge.constraint;

import java.util.List;
import java.util.Map;

/**
 * Whether all members of a group can run at the same time.
 *
 * @param verdict the outcome of the search
 * @param machineByMember for {@link Verdict#FEASIBLE}, a machine for each member, in the order in
 *     which the members should be placed; otherwise empty
 * @param conflictingConstraints for {@link Verdict#INFEASIBLE}, a minimal set of conflicting
 *     constraints, or the smallest found before the search was stopped; otherwise empty
 * @param isCapacityExceeded for {@link Verdict#INFEASIBLE}, whether the machines' capacity is part
 *     of the conflict
 */
public record FeasibilityResult(
    Verdict verdict,
    Map<String, String> machineByMember,
    List<PlacementConstraint> conflictingConstraints,
    boolean isCapacityExceeded) {
  /** The outcome of a search. */
  public enum Verdict {
    /** All members can run at the same time. */
    FEASIBLE,
    /** No placement of all members exists. */
    INFEASIBLE,
    /** The search was stopped, or no machine is schedulable. */
    UNKNOWN
  }

  static FeasibilityResult feasible(Map<String, String> machineByMember) {
    return new FeasibilityResult(Verdict.FEASIBLE, machineByMember, List.of(), false);
  }

  static FeasibilityResult infeasible(
      List<PlacementConstraint> conflictingConstraints, boolean isCapacityExceeded) {
    return new FeasibilityResult(
        Verdict.INFEASIBLE, Map.of(), conflictingConstraints, isCapacityExceeded);
  }

  static FeasibilityResult unknown() {
    return new FeasibilityResult(Verdict.UNKNOWN, Map.of(), List.of(), false);
  }
}
