package fordridge.constraint;

import fordridge.constraint.FeasibilityResult.Verdict;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.stream.Collectors;

/**
 * Decisions about a group that are made before its first member is placed.
 *
 * <p>Either the group can never be placed, or the plan restricts where each member may go, so that
 * the last one still finds a machine. A plan is immutable; computing it does no I/O and reads no
 * clock.
 *
 * <p>The scheduler still selects the machines. A member that has an affinity to another member, or
 * is the target of one, is restricted to the domain that was found for it. If some member has few
 * candidate machines, each member prefers the machine that was found for it, as a free choice could
 * take the only candidate of another member.
 */
public final class GroupPlan {
  /**
   * Penalty of a machine other than the one found for a member; outweighs the preferences of
   * tenants.
   */
  private static final double UNPLANNED_MACHINE_PENALTY = 1e6;

  /**
   * Number of candidate machines per member of the group below which members prefer the machines
   * found for them.
   */
  private static final int AMPLE_CANDIDATES_PER_MEMBER = 4;

  /** Maximum time for computing one plan. */
  public static final Duration TIME_LIMIT = Duration.ofSeconds(1);

  private final List<String> placementOrder;
  private final Optional<String> rejectionReason;
  private final Map<String, PlacementDomain> fixedDomainByMember;
  private final Map<String, String> preferredMachineByMember;

  private GroupPlan(
      List<String> placementOrder,
      Optional<String> rejectionReason,
      Map<String, PlacementDomain> fixedDomainByMember,
      Map<String, String> preferredMachineByMember) {
    this.placementOrder = placementOrder;
    this.rejectionReason = rejectionReason;
    this.fixedDomainByMember = fixedDomainByMember;
    this.preferredMachineByMember = preferredMachineByMember;
  }

  /**
   * Computes a plan with the capacity that is free now or, if that is not enough, with the total
   * capacity of the machines, as capacity may become free in time. A group is rejected only if even
   * empty machines cannot hold it. A group for which no result was found in time is placed without
   * a plan.
   */
  public static GroupPlan compute(
      GroupFeasibility withFreeCapacity,
      GroupFeasibility withTotalCapacity,
      List<GroupMember> members,
      BooleanSupplier shouldStop) {
    FeasibilityResult result = withFreeCapacity.solve(shouldStop);
    if (result.verdict() == Verdict.FEASIBLE) {
      return fromSolution(result, withFreeCapacity, members);
    }
    result = withTotalCapacity.solve(shouldStop);
    return switch (result.verdict()) {
      case FEASIBLE -> fromSolution(result, withTotalCapacity, members);
      case INFEASIBLE -> rejected(result, members.size());
      case UNKNOWN -> withoutRestrictions(members.stream().map(GroupMember::id).toList());
    };
  }

  /** Creates a plan that restricts no member. */
  public static GroupPlan withoutRestrictions(List<String> placementOrder) {
    return new GroupPlan(List.copyOf(placementOrder), Optional.empty(), Map.of(), Map.of());
  }

  private static GroupPlan fromSolution(
      FeasibilityResult solution, GroupFeasibility feasibility, List<GroupMember> members) {
    boolean areCandidatesScarce =
        feasibility.minCandidateMachines() < AMPLE_CANDIDATES_PER_MEMBER * members.size();
    Map<String, PlacementDomain> fixedDomains = new HashMap<>();
    for (GroupMember member : members) {
      MachineTopology machine =
          feasibility.machineByName(solution.machineByMember().get(member.id()));
      feasibility
          .requiredSharedLevel(member)
          .ifPresent(level -> fixedDomains.put(member.id(), PlacementDomain.of(machine, level)));
    }
    return new GroupPlan(
        List.copyOf(solution.machineByMember().keySet()),
        Optional.empty(),
        fixedDomains,
        areCandidatesScarce ? Map.copyOf(solution.machineByMember()) : Map.of());
  }

  private static GroupPlan rejected(FeasibilityResult result, int groupSize) {
    String constraints =
        result.conflictingConstraints().stream()
            .map(constraint -> "rule '" + constraint.name() + "' (" + constraint.clause() + ")")
            .collect(Collectors.joining(" and "));
    // This text is part of the protocol: it is sent to clients as the reason of a rejection.
    StringBuilder reason = new StringBuilder("no placing of all " + groupSize + " meets ");
    reason.append(constraints);
    if (result.isCapacityExceeded()) {
      reason.append(constraints.isEmpty() ? "" : " and ").append("the size of the machines");
    }
    return new GroupPlan(List.of(), Optional.of(reason.toString()), Map.of(), Map.of());
  }

  /** Returns why the group can never be placed; empty if it may be placed. */
  public Optional<String> rejectionReason() {
    return rejectionReason;
  }

  /**
   * Returns the ids of the members in the order in which they should be placed; empty for a
   * rejected group.
   */
  public List<String> placementOrder() {
    return placementOrder;
  }

  /**
   * Whether the plan fixes the domain of a member, so that it may be placed before the targets of
   * its affinities.
   */
  public boolean hasFixedDomain(String memberId) {
    return fixedDomainByMember.containsKey(memberId);
  }

  /**
   * Returns the penalty of a machine for a member; infinite if the member must not be placed there.
   */
  public double placementPenalty(String memberId, MachineTopology machine) {
    PlacementDomain fixed = fixedDomainByMember.get(memberId);
    if (fixed != null && !PlacementDomain.of(machine, fixed.level()).equals(fixed)) {
      return Double.POSITIVE_INFINITY;
    }
    String preferred = preferredMachineByMember.get(memberId);
    return preferred == null || preferred.equals(machine.name()) ? 0 : UNPLANNED_MACHINE_PENALTY;
  }
}
