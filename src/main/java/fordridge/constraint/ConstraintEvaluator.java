package fordridge.constraint;

import java.util.Map;
import org.roaringbitmap.RoaringBitmap;

/** Evaluates single constraints against the current counts: which machines each allows for a VM. */
final class ConstraintEvaluator {
  private final MachineCatalog catalog;
  private final PlacementCounters counters;
  private final int schedulerCount;

  ConstraintEvaluator(MachineCatalog catalog, PlacementCounters counters, int schedulerCount) {
    this.catalog = catalog;
    this.counters = counters;
    this.schedulerCount = schedulerCount;
  }

  /** Removes from the candidates the machines that the constraint forbids for the VM. */
  void restrict(RoaringBitmap candidates, PlacementConstraint constraint, VmAttributes vm) {
    PlacementConstraint.Clause clause = constraint.clause();
    if (clause instanceof PlacementConstraint.MachineLabels labels) {
      candidates.and(catalog.machinesMatching(labels.predicate()));
    } else if (clause instanceof PlacementConstraint.Affinity affinity) {
      restrictToAffinity(candidates, affinity);
    } else if (clause instanceof PlacementConstraint.AntiAffinity antiAffinity) {
      candidates.andNot(
          counters
              .counter(CounterKey.allServices(antiAffinity.other(), antiAffinity.level()))
              .occupiedMachines());
    } else if (clause instanceof PlacementConstraint.SpreadLimit limit) {
      DomainCounter counter =
          counters.counter(CounterKey.of(constraint.scope(), limit, vm.service()));
      removeFullDomains(candidates, counter, limit.limitPerScheduler(schedulerCount));
    } else if (clause instanceof PlacementConstraint.SpreadSkew skew) {
      DomainCounter counter =
          counters.counter(CounterKey.of(constraint.scope(), skew, vm.service()));
      restrictToSkew(candidates, skew, counter);
    }
  }

  /**
   * Removes from the candidates the machines in domains that hold VMs of the scope of a reverse
   * anti-affinity.
   */
  void restrictByReverseAntiAffinity(
      RoaringBitmap candidates, PlacementConstraint reverseAntiAffinity) {
    CounterKey key = ApplicableConstraints.scopeCounterKey(reverseAntiAffinity);
    candidates.andNot(counters.counter(key).occupiedMachines());
  }

  /** Whether the constraint, evaluated on its own, forbids the machine for the VM. */
  boolean isViolated(PlacementConstraint constraint, VmAttributes vm, int machine) {
    RoaringBitmap candidates = catalog.schedulableMachines();
    candidates.add(machine);
    restrict(candidates, constraint, vm);
    return !candidates.contains(machine);
  }

  private void restrictToAffinity(RoaringBitmap candidates, PlacementConstraint.Affinity affinity) {
    DomainCounter counter = counters.affinityCounter(affinity);
    if (!counter.isEmpty()) {
      candidates.and(counter.occupiedMachines());
    }
  }

  private void removeFullDomains(RoaringBitmap candidates, DomainCounter counter, int limit) {
    counter.forEachOccupiedDomain(
        (domain, count) -> {
          if (count >= limit) {
            candidates.andNot(catalog.machinesIn(domain));
          }
        });
  }

  private void restrictToSkew(
      RoaringBitmap candidates, PlacementConstraint.SpreadSkew skew, DomainCounter counter) {
    int minCount = minCountInCandidateDomains(candidates, skew.level(), counter);
    counter.forEachOccupiedDomain(
        (domain, count) -> {
          if (count + 1 - minCount > skew.maxSkew()) {
            candidates.andNot(catalog.machinesIn(domain));
          }
        });
  }

  /**
   * Returns the lowest count of VMs in any domain with a candidate, or {@link Integer#MAX_VALUE} if
   * there is no candidate.
   */
  private int minCountInCandidateDomains(
      RoaringBitmap candidates, TopologyLevel level, DomainCounter counter) {
    int minCount = Integer.MAX_VALUE;
    for (Map.Entry<PlacementDomain, RoaringBitmap> entry :
        catalog.machinesByDomainOf(level).entrySet()) {
      int count = counter.count(entry.getKey());
      if (count < minCount && RoaringBitmap.intersects(candidates, entry.getValue())) {
        minCount = count;
      }
    }
    return minCount;
  }
}
