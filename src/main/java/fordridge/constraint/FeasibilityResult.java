package fordridge.constraint;

import java.util.List;
import java.util.Map;

/**
 * Whether the members of a group can run all at once.
 *
 * @param verdict the answer
 * @param machineByMember for {@link Verdict#FEASIBLE} a machine for each member, in the order in
 *     which they are best placed; empty otherwise
 * @param conflictingConstraints for {@link Verdict#INFEASIBLE} a smallest set of constraints that
 *     conflict, or the smallest found before the search was stopped; empty otherwise
 * @param isCapacityExceeded for {@link Verdict#INFEASIBLE}, whether the conflict is with the
 *     machines' capacity
 */
public record FeasibilityResult(
    Verdict verdict,
    Map<String, String> machineByMember,
    List<PlacementConstraint> conflictingConstraints,
    boolean isCapacityExceeded) {
  /** The answers. */
  public enum Verdict {
    /** All members can run at once. */
    FEASIBLE,
    /** No placement of all members exists. */
    INFEASIBLE,
    /** The search was stopped, or there are no machines to judge by. */
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
