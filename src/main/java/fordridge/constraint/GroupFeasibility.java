package fordridge.constraint;

import fordridge.constraint.FeasibilityResult.Verdict;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BooleanSupplier;

/**
 * Answers whether the members of a group can run all at once, on machines and beside VMs as they
 * were when the question was put; may be asked on another thread. Free of I/O and clocks.
 *
 * <p>Members are judged by where they end up. Affinity holds among the members themselves and with
 * what ran already. A maximum skew is left out, as it depends on the order in which VMs are placed;
 * so INFEASIBLE is certain, and FEASIBLE is a place for each that the order may still spoil.
 */
public final class GroupFeasibility {
  private final GroupProblem problem;

  GroupFeasibility(GroupProblem problem) {
    this.problem = problem;
  }

  /**
   * Searches for a placement of all members, and for an infeasible group for a smallest set of
   * conflicting constraints. The search is bounded; {@code shouldStop} is polled and ends it with
   * what is known by then.
   */
  public FeasibilityResult solve(BooleanSupplier shouldStop) {
    if (problem.machineCount() == 0) {
      return FeasibilityResult.unknown();
    }
    if (problem.memberCount() == 0) {
      return FeasibilityResult.feasible(Map.of());
    }
    List<PlacementConstraint> constraints = problem.constraints().constraints();
    FeasibilityResult result = new GroupModel(problem, constraints, true, shouldStop).solve();
    if (result.verdict() != Verdict.INFEASIBLE) {
      return result;
    }
    // A conflict that exists without capacity is reported as one of the constraints alone.
    boolean isCapacityExceeded =
        new GroupModel(problem, constraints, false, shouldStop).solve().verdict()
            != Verdict.INFEASIBLE;
    List<PlacementConstraint> conflicting =
        new ConflictMinimizer(problem, isCapacityExceeded, shouldStop).minimize(constraints);
    return FeasibilityResult.infeasible(conflicting, isCapacityExceeded);
  }

  /**
   * The smallest domains that a member must share with another member; empty if it need not share
   * any.
   */
  Optional<TopologyLevel> requiredSharedLevel(GroupMember member) {
    Optional<TopologyLevel> smallest = Optional.empty();
    for (PlacementConstraint constraint : problem.constraints().constraints()) {
      if (constraint.clause() instanceof PlacementConstraint.Affinity affinity
          && hasAffinityWithOtherMember(member, constraint.scope(), affinity.other())
          && (smallest.isEmpty() || affinity.level().compareTo(smallest.get()) < 0)) {
        smallest = Optional.of(affinity.level());
      }
    }
    return smallest;
  }

  private boolean hasAffinityWithOtherMember(
      GroupMember member, PlacementConstraint.Scope scope, PlacementConstraint.Scope other) {
    return problem.members().stream()
        .filter(candidate -> !candidate.id().equals(member.id()))
        .anyMatch(
            candidate ->
                (scope.covers(member.vm()) && other.covers(candidate.vm()))
                    || (scope.covers(candidate.vm()) && other.covers(member.vm())));
  }

  /**
   * How many machines are open to the member that has the fewest; 0 for a group without members.
   */
  int minCandidateMachines() {
    MemberCandidates candidates =
        new MemberCandidates(problem, problem.constraints().constraints(), true);
    int minCandidates = problem.memberCount() == 0 ? 0 : Integer.MAX_VALUE;
    for (int member = 0; member < problem.memberCount(); member++) {
      minCandidates = Math.min(minCandidates, candidates.find(member).length);
    }
    return minCandidates;
  }

  /** The machine of a name that the solution gave. */
  MachineTopology machineByName(String name) {
    return problem.machineByName(name);
  }
}
