package fordridge.constraint;

import fordridge.constraint.PlacementConstraint.Scope;
import java.util.List;
import java.util.OptionalLong;

/**
 * Identifies a counter, which counts the VMs of a scope by the domains of a level.
 *
 * @param scope the VMs to count
 * @param level the level of the domains
 * @param service the only service to count; empty to count all services together
 * @param confirmedOnly whether attempts of unknown outcome are excluded
 */
record CounterKey(Scope scope, TopologyLevel level, OptionalLong service, boolean confirmedOnly) {

  static CounterKey allServices(Scope scope, TopologyLevel level) {
    return new CounterKey(scope, level, OptionalLong.empty(), false);
  }

  static CounterKey confirmedOnly(Scope scope, TopologyLevel level) {
    return new CounterKey(scope, level, OptionalLong.empty(), true);
  }

  static CounterKey of(Scope scope, PlacementConstraint.SpreadLimit limit, long service) {
    return new CounterKey(scope, limit.level(), serviceFilter(limit.perService(), service), false);
  }

  static CounterKey of(Scope scope, PlacementConstraint.SpreadSkew skew, long service) {
    return new CounterKey(scope, skew.level(), serviceFilter(skew.perService(), service), false);
  }

  private static OptionalLong serviceFilter(boolean perService, long service) {
    return perService ? OptionalLong.of(service) : OptionalLong.empty();
  }

  /**
   * Returns the keys of all counters that a constraint needs for a VM of a service; the count of
   * the first key explains a rejection. Empty for label constraints.
   */
  static List<CounterKey> keysOf(PlacementConstraint constraint, long service) {
    if (constraint.clause() instanceof PlacementConstraint.Affinity affinity) {
      return List.of(
          confirmedOnly(affinity.other(), affinity.level()),
          allServices(affinity.other(), affinity.level()));
    }
    if (constraint.clause() instanceof PlacementConstraint.AntiAffinity antiAffinity) {
      return List.of(
          allServices(antiAffinity.other(), antiAffinity.level()),
          allServices(constraint.scope(), antiAffinity.level()));
    }
    if (constraint.clause() instanceof PlacementConstraint.SpreadLimit limit) {
      return List.of(of(constraint.scope(), limit, service));
    }
    if (constraint.clause() instanceof PlacementConstraint.SpreadSkew skew) {
      return List.of(of(constraint.scope(), skew, service));
    }
    return List.of();
  }

  /** Whether the counter counts the VM. */
  boolean covers(VmAttributes vm) {
    return scope.covers(vm) && (service.isEmpty() || service.getAsLong() == vm.service());
  }
}
