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
 * What is decided for a group before its first member is placed: that it can never be placed, or
 * where each member must keep to so that the last still finds its place. Immutable once computed;
 * free of I/O and clocks.
 *
 * <p>The scheduler still selects the machines. A member that must be near another, or that another
 * must be near, is bound to the domain that was found for it. Where few machines are open to some
 * member, each prefers the machine that was found for it, as a free choice could take the only
 * place of another.
 */
public final class GroupPlan {
  /** Penalty of a machine that was not found for a member; outweighs the tenants' preferences. */
  private static final double UNPLANNED_MACHINE_PENALTY = 1e6;

  /** Below this many open machines for each member of the group, members prefer what was found. */
  private static final int AMPLE_CANDIDATES_PER_MEMBER = 4;

  /** Longest time that computing one plan may take. */
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
   * Computes a plan by the capacity that is free now, else by the machines' total capacity, as some
   * may come free in time; only what not even empty machines could take is rejected. A group for
   * which no answer was found in time is placed without a plan.
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
      case UNKNOWN -> unconstrained(members.stream().map(GroupMember::id).toList());
    };
  }

  /** A plan that binds no member. */
  public static GroupPlan unconstrained(List<String> placementOrder) {
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
    StringBuilder reason = new StringBuilder("no placing of all " + groupSize + " meets ");
    reason.append(constraints);
    if (result.isCapacityExceeded()) {
      reason.append(constraints.isEmpty() ? "" : " and ").append("the size of the machines");
    }
    return new GroupPlan(List.of(), Optional.of(reason.toString()), Map.of(), Map.of());
  }

  /** Why the group can never be placed; empty where it may be. */
  public Optional<String> rejectionReason() {
    return rejectionReason;
  }

  /** The members' ids in the order in which they are best placed; empty for a rejected group. */
  public List<String> placementOrder() {
    return placementOrder;
  }

  /**
   * Whether a member's place near others is decided here, so that it may be placed before they are
   * there.
   */
  public boolean hasFixedDomain(String memberId) {
    return fixedDomainByMember.containsKey(memberId);
  }

  /** The penalty of a machine for a member; infinite where it must not go. */
  public double placementPenalty(String memberId, MachineTopology machine) {
    PlacementDomain fixed = fixedDomainByMember.get(memberId);
    if (fixed != null && !PlacementDomain.of(machine, fixed.level()).equals(fixed)) {
      return Double.POSITIVE_INFINITY;
    }
    String preferred = preferredMachineByMember.get(memberId);
    return preferred == null || preferred.equals(machine.name()) ? 0 : UNPLANNED_MACHINE_PENALTY;
  }
}
