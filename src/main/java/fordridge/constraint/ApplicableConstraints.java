package fordridge.constraint;

import java.util.ArrayList;
import java.util.List;

/**
 * The constraints of a set that concern a VM.
 *
 * @param own those whose scope covers it, in the set's order
 * @param reverseAntiAffinities required ones that keep the VMs of their scope apart from it, in the
 *     set's order
 */
record ApplicableConstraints(
    List<PlacementConstraint> own, List<PlacementConstraint> reverseAntiAffinities) {

  static ApplicableConstraints select(List<PlacementConstraint> constraints, VmAttributes vm) {
    List<PlacementConstraint> own = new ArrayList<>();
    List<PlacementConstraint> reverseAntiAffinities = new ArrayList<>();
    for (PlacementConstraint constraint : constraints) {
      if (constraint.scope().covers(vm)) {
        own.add(constraint);
      }
      if (constraint.isRequired() && hasAntiAffinityTo(constraint, vm)) {
        reverseAntiAffinities.add(constraint);
      }
    }
    return new ApplicableConstraints(List.copyOf(own), List.copyOf(reverseAntiAffinities));
  }

  private static boolean hasAntiAffinityTo(PlacementConstraint constraint, VmAttributes vm) {
    return constraint.clause() instanceof PlacementConstraint.AntiAffinity antiAffinity
        && antiAffinity.other().covers(vm);
  }

  boolean isEmpty() {
    return own.isEmpty() && reverseAntiAffinities.isEmpty();
  }

  boolean hasPreferences() {
    return own.stream().anyMatch(constraint -> !constraint.isRequired());
  }

  /** The counter of an anti-affinity's own scope: where VMs that it is kept apart from are. */
  static CounterKey scopeCounterKey(PlacementConstraint constraint) {
    PlacementConstraint.AntiAffinity antiAffinity =
        (PlacementConstraint.AntiAffinity) constraint.clause();
    return CounterKey.allServices(constraint.scope(), antiAffinity.level());
  }
}
