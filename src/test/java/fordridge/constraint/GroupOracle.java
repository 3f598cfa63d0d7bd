package fordridge.constraint;

import fordridge.constraint.PlacementConstraint.Affinity;
import fordridge.constraint.PlacementConstraint.AntiAffinity;
import fordridge.constraint.PlacementConstraint.MachineLabels;
import fordridge.constraint.PlacementConstraint.Scope;
import fordridge.constraint.PlacementConstraint.SpreadLimit;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Test oracle that evaluates placements of whole groups by exhaustive search.
 *
 * <p>It implements the definition of the language directly, between the members and against the VMs
 * that already run.
 *
 * @param constraints required constraints without maximum skews
 * @param running VMs that already run; their machines are part of each placement
 * @param coresPerMachine cores of each machine that are available to the members
 */
record GroupOracle(
    List<PlacementConstraint> constraints,
    List<MachineTopology> fleet,
    List<GroupMember> running,
    List<GroupMember> group,
    double coresPerMachine) {

  /** Returns the same problem with other constraints and other capacity. */
  GroupOracle withConstraintsAndCores(
      List<PlacementConstraint> otherConstraints, double otherCoresPerMachine) {
    return new GroupOracle(otherConstraints, fleet, running, group, otherCoresPerMachine);
  }

  /**
   * Whether any placement of all members satisfies all constraints, in addition to the running VMs.
   */
  boolean hasPlacement(Map<String, String> machineByRunning) {
    return hasPlacement(machineByRunning, 0);
  }

  private boolean hasPlacement(Map<String, String> machineByVm, int next) {
    if (next == group.size()) {
      return isSatisfiedBy(machineByVm);
    }
    for (MachineTopology machine : fleet) {
      Map<String, String> extended = new LinkedHashMap<>(machineByVm);
      extended.put(group.get(next).id(), machine.name());
      if (hasPlacement(extended, next + 1)) {
        return true;
      }
    }
    return false;
  }

  /** Whether a placement of all VMs satisfies capacity and every constraint on each member. */
  boolean isSatisfiedBy(Map<String, String> machineByVm) {
    return fleet.stream().allMatch(machine -> fits(machine, machineByVm))
        && constraints.stream()
            .allMatch(
                constraint ->
                    group.stream().allMatch(member -> satisfies(constraint, member, machineByVm)));
  }

  private boolean fits(MachineTopology machine, Map<String, String> machineByVm) {
    double cores =
        group.stream()
            .filter(member -> machineByVm.get(member.id()).equals(machine.name()))
            .mapToDouble(GroupMember::cores)
            .sum();
    return cores <= coresPerMachine;
  }

  private boolean satisfies(
      PlacementConstraint constraint, GroupMember member, Map<String, String> machineByVm) {
    Scope scope = constraint.scope();
    if (constraint.clause() instanceof AntiAffinity antiAffinity) {
      return satisfiesAntiAffinity(scope, antiAffinity, member, machineByVm);
    }
    if (!scope.covers(member.vm())) {
      return true;
    }
    if (constraint.clause() instanceof Affinity affinity) {
      return satisfiesAffinity(affinity, member, machineByVm);
    }
    if (constraint.clause() instanceof SpreadLimit limit) {
      return satisfiesLimit(scope, limit, member, machineByVm);
    }
    return !(constraint.clause() instanceof MachineLabels labels)
        || labels.predicate().matches(machineOf(member, machineByVm));
  }

  private boolean satisfiesAntiAffinity(
      Scope scope, AntiAffinity antiAffinity, GroupMember member, Map<String, String> machineByVm) {
    return allVms().stream()
        .filter(second -> !second.id().equals(member.id()))
        .filter(second -> haveAntiAffinity(scope, antiAffinity.other(), member, second))
        .noneMatch(second -> sharesDomain(member, second, antiAffinity.level(), machineByVm));
  }

  private static boolean haveAntiAffinity(
      Scope scope, Scope other, GroupMember first, GroupMember second) {
    return (scope.covers(first.vm()) && other.covers(second.vm()))
        || (scope.covers(second.vm()) && other.covers(first.vm()));
  }

  private boolean satisfiesAffinity(
      Affinity affinity, GroupMember member, Map<String, String> machineByVm) {
    List<GroupMember> others =
        allVms().stream()
            .filter(second -> !second.id().equals(member.id()))
            .filter(second -> affinity.other().covers(second.vm()))
            .toList();
    return others.isEmpty()
        || others.stream()
            .anyMatch(second -> sharesDomain(member, second, affinity.level(), machineByVm));
  }

  private boolean satisfiesLimit(
      Scope scope, SpreadLimit limit, GroupMember member, Map<String, String> machineByVm) {
    long count =
        allVms().stream()
            .filter(second -> scope.covers(second.vm()))
            .filter(second -> !limit.perService() || second.vm().service() == member.vm().service())
            .filter(second -> sharesDomain(member, second, limit.level(), machineByVm))
            .count();
    return count <= limit.limit();
  }

  private List<GroupMember> allVms() {
    List<GroupMember> all = new ArrayList<>(running);
    all.addAll(group);
    return all;
  }

  private boolean sharesDomain(
      GroupMember first, GroupMember second, TopologyLevel level, Map<String, String> machineByVm) {
    MachineTopology firstMachine = machineOf(first, machineByVm);
    MachineTopology secondMachine = machineOf(second, machineByVm);
    return switch (level) {
      case MACHINE -> firstMachine.name().equals(secondMachine.name());
      case CELL ->
          firstMachine.zone().equals(secondMachine.zone())
              && firstMachine.cell() == secondMachine.cell();
      case ZONE -> firstMachine.zone().equals(secondMachine.zone());
    };
  }

  private MachineTopology machineOf(GroupMember vm, Map<String, String> machineByVm) {
    return fleet.stream()
        .filter(machine -> machine.name().equals(machineByVm.get(vm.id())))
        .findFirst()
        .orElseThrow();
  }
}
