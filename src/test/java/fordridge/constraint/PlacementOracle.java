package fordridge.constraint;

import fordridge.constraint.PlacementConstraint.Affinity;
import fordridge.constraint.PlacementConstraint.AntiAffinity;
import fordridge.constraint.PlacementConstraint.MachineLabels;
import fordridge.constraint.PlacementConstraint.Scope;
import fordridge.constraint.PlacementConstraint.SpreadLimit;
import fordridge.constraint.PlacementConstraint.SpreadSkew;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Test oracle that evaluates single placements by a scan of all running VMs.
 *
 * <p>It implements the language as defined in {@code docs/constraints.md}, for one machine at a
 * time, and shares no code with the index.
 */
record PlacementOracle(
    List<PlacementConstraint> constraints,
    List<MachineTopology> fleet,
    Collection<RunningVm> running) {

  /** A running VM and its machine. */
  record RunningVm(VmAttributes vm, MachineTopology machine) {}

  /** Whether all required constraints allow the VM on the machine. */
  boolean isAllowed(VmAttributes vm, MachineTopology machine) {
    return satisfiesConstraints(vm, machine, constraints.size())
        && constraints.stream()
            .noneMatch(constraint -> violatesReverseAntiAffinity(constraint, vm, machine));
  }

  /** Whether the VM satisfies the first {@code count} constraints on that machine. */
  private boolean satisfiesConstraints(VmAttributes vm, MachineTopology machine, int count) {
    for (int i = 0; i < count; i++) {
      PlacementConstraint constraint = constraints.get(i);
      if (constraint.isRequired()
          && constraint.scope().covers(vm)
          && !satisfies(constraint, i, vm, machine)) {
        return false;
      }
    }
    return true;
  }

  private boolean satisfies(
      PlacementConstraint constraint, int position, VmAttributes vm, MachineTopology machine) {
    if (constraint.clause() instanceof MachineLabels labels) {
      return labels.predicate().matches(machine);
    }
    if (constraint.clause() instanceof Affinity affinity) {
      return satisfiesAffinity(affinity, machine);
    }
    if (constraint.clause() instanceof AntiAffinity antiAffinity) {
      return countIn(machine, antiAffinity.level(), counts(antiAffinity)) == 0;
    }
    if (constraint.clause() instanceof SpreadLimit limit) {
      Map<String, Integer> counts =
          counts(constraint.scope(), limit.level(), limit.perService(), vm);
      return countIn(machine, limit.level(), counts) < limit.limit();
    }
    return satisfiesSkew(
        constraint.scope(), (SpreadSkew) constraint.clause(), position, vm, machine);
  }

  private boolean satisfiesAffinity(Affinity affinity, MachineTopology machine) {
    Map<String, Integer> counts = counts(affinity.other(), affinity.level());
    return counts.isEmpty() || counts.containsKey(domain(machine, affinity.level()));
  }

  /**
   * Compares with the domain with the fewest VMs among those that the preceding constraints allow.
   */
  private boolean satisfiesSkew(
      Scope scope, SpreadSkew skew, int position, VmAttributes vm, MachineTopology machine) {
    Map<String, Integer> counts = counts(scope, skew.level(), skew.perService(), vm);
    int minCount =
        fleet.stream()
            .filter(candidate -> satisfiesConstraints(vm, candidate, position))
            .mapToInt(candidate -> countIn(candidate, skew.level(), counts))
            .min()
            .orElse(Integer.MAX_VALUE);
    int machineCount = countIn(machine, skew.level(), counts);
    return machineCount == 0 || machineCount + 1 - minCount <= skew.maxSkew();
  }

  private boolean violatesReverseAntiAffinity(
      PlacementConstraint constraint, VmAttributes vm, MachineTopology machine) {
    return constraint.isRequired()
        && constraint.clause() instanceof AntiAffinity antiAffinity
        && antiAffinity.other().covers(vm)
        && countIn(machine, antiAffinity.level(), counts(constraint.scope(), antiAffinity.level()))
            > 0;
  }

  private Map<String, Integer> counts(AntiAffinity antiAffinity) {
    return counts(antiAffinity.other(), antiAffinity.level());
  }

  private Map<String, Integer> counts(
      Scope scope, TopologyLevel level, boolean ownServiceOnly, VmAttributes vm) {
    Map<String, Integer> counts = new HashMap<>();
    running.stream()
        .filter(candidate -> scope.covers(candidate.vm))
        .filter(candidate -> !ownServiceOnly || candidate.vm.service() == vm.service())
        .forEach(candidate -> counts.merge(domain(candidate.machine, level), 1, Integer::sum));
    return counts;
  }

  private Map<String, Integer> counts(Scope scope, TopologyLevel level) {
    return counts(scope, level, false, null);
  }

  private static int countIn(
      MachineTopology machine, TopologyLevel level, Map<String, Integer> counts) {
    return counts.getOrDefault(domain(machine, level), 0);
  }

  private static String domain(MachineTopology machine, TopologyLevel level) {
    return switch (level) {
      case MACHINE -> machine.name();
      case CELL -> machine.zone() + "/" + machine.cell();
      case ZONE -> machine.zone();
    };
  }
}
