package fordridge.constraint;

import java.util.ArrayList;
import java.util.List;

/**
 * The constraints of a set that concern a VM.
 *
 * @param own those whose scope covers it, in the set's order
 * @param antiAffinitiesOfOthers required ones that keep the VMs of their scope apart from it, in
 *     the set's order
 */
record ApplicableConstraints(
    List<PlacementConstraint> own, List<PlacementConstraint> antiAffinitiesOfOthers) {

  static ApplicableConstraints select(List<PlacementConstraint> constraints, VmAttributes vm) {
    List<PlacementConstraint> own = new ArrayList<>();
    List<PlacementConstraint> antiAffinitiesOfOthers = new ArrayList<>();
    for (PlacementConstraint constraint : constraints) {
      if (constraint.scope().covers(vm)) {
        own.add(constraint);
      }
      if (constraint.isRequired() && keepsApartFrom(constraint, vm)) {
        antiAffinitiesOfOthers.add(constraint);
      }
    }
    return new ApplicableConstraints(List.copyOf(own), List.copyOf(antiAffinitiesOfOthers));
  }

  private static boolean keepsApartFrom(PlacementConstraint constraint, VmAttributes vm) {
    return constraint.clause() instanceof PlacementConstraint.AntiAffinity antiAffinity
        && antiAffinity.other().covers(vm);
  }

  boolean isEmpty() {
    return own.isEmpty() && antiAffinitiesOfOthers.isEmpty();
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
