package fordridge.constraint;

import java.util.ArrayList;
import java.util.List;

/**
 * The constraints of a set that apply to a VM.
 *
 * @param own constraints whose scope covers the VM, in the order of the set
 * @param reverseAntiAffinities required anti-affinities whose other scope covers the VM, so that it
 *     may not share a domain with VMs of their scope; in the order of the set
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

  /**
   * Returns the key of the counter that an anti-affinity is evaluated against in its reverse
   * direction: it counts the VMs of the constraint's own scope.
   */
  static CounterKey scopeCounterKey(PlacementConstraint constraint) {
    PlacementConstraint.AntiAffinity antiAffinity =
        (PlacementConstraint.AntiAffinity) constraint.clause();
    return CounterKey.allServices(constraint.scope(), antiAffinity.level());
  }
}
