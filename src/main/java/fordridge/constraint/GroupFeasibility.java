package fordridge.constraint;

import fordridge.constraint.FeasibilityResult.Verdict;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BooleanSupplier;

/**
 * Determines whether all members of a group can run at the same time.
 *
 * <p>Machines and running VMs are a snapshot from the creation of the problem, so that it may be
 * solved on another thread. The search does no I/O and reads no clock.
 *
 * <p>Members are evaluated by their final placement. An affinity is satisfied by other members and
 * by VMs that already run. A maximum skew is ignored, as it depends on the order in which VMs are
 * placed. INFEASIBLE is therefore certain, whereas a FEASIBLE placement can still fail in an
 * unfavorable order.
 */
public final class GroupFeasibility {
  private final GroupProblem problem;

  GroupFeasibility(GroupProblem problem) {
    this.problem = problem;
  }

  /**
   * Searches for a placement of all members and, for an infeasible group, for a minimal set of
   * conflicting constraints. The search is bounded; {@code shouldStop} is polled and ends it with
   * what is known so far.
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
    // If the constraints conflict even without capacity, only the constraints are reported.
    boolean isCapacityExceeded =
        new GroupModel(problem, constraints, false, shouldStop).solve().verdict()
            != Verdict.INFEASIBLE;
    List<PlacementConstraint> conflicting =
        new ConflictMinimizer(problem, isCapacityExceeded, shouldStop).minimize(constraints);
    return FeasibilityResult.infeasible(conflicting, isCapacityExceeded);
  }

  /**
   * Returns the level of the smallest domain that affinities require a member to share with another
   * member; empty if there is no such affinity.
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
   * Returns the number of candidate machines of the member with the fewest; 0 for a group without
   * members.
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

  /** Returns the machine with a name that the solution contains. */
  MachineTopology machineByName(String name) {
    return problem.machineByName(name);
  }
}
