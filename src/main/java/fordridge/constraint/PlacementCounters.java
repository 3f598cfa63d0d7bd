package fordridge.constraint;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * All counters that a constraint set needs. Which counters count a VM is determined once for each
 * combination of tenant, priority class and service.
 */
final class PlacementCounters {
  private record VmCounters(List<DomainCounter> all, List<DomainCounter> confirmedOnly) {}

  private final List<PlacementConstraint> constraints;
  private final MachineCatalog catalog;
  private final Map<CounterKey, DomainCounter> counters = new HashMap<>();
  private final Map<VmAttributes, VmCounters> countersByVm = new HashMap<>();
  private long version;

  PlacementCounters(List<PlacementConstraint> constraints, MachineCatalog catalog) {
    this.constraints = constraints;
    this.catalog = catalog;
  }

  /** Drops all counts. */
  void clear() {
    counters.clear();
    countersByVm.clear();
    version++;
  }

  /** Adds VMs to the counters of all attempts; a negative {@code delta} removes them. */
  void add(VmAttributes vm, int machine, int delta) {
    addTo(countersOf(vm).all, machine, delta);
  }

  /**
   * Adds VMs to the counters that exclude attempts of unknown outcome; a negative {@code delta}
   * removes them.
   */
  void addConfirmed(VmAttributes vm, int machine, int delta) {
    addTo(countersOf(vm).confirmedOnly, machine, delta);
  }

  private void addTo(List<DomainCounter> targets, int machine, int delta) {
    targets.forEach(counter -> counter.add(machine, delta));
    version++;
  }

  /** A number that increases with every change. */
  long version() {
    return version;
  }

  DomainCounter counter(CounterKey key) {
    return counters.computeIfAbsent(key, newKey -> new DomainCounter(catalog, newKey.level()));
  }

  /**
   * Returns the counter of the targets of an affinity: VMs that run or whose attempt was sent and
   * is still awaited. Attempts of unknown outcome are targets only while there are no such VMs.
   */
  DomainCounter affinityCounter(PlacementConstraint.Affinity affinity) {
    DomainCounter confirmed = counter(CounterKey.confirmedOnly(affinity.other(), affinity.level()));
    return confirmed.isEmpty()
        ? counter(CounterKey.allServices(affinity.other(), affinity.level()))
        : confirmed;
  }

  private VmCounters countersOf(VmAttributes vm) {
    return countersByVm.computeIfAbsent(vm, this::findCounters);
  }

  private VmCounters findCounters(VmAttributes vm) {
    Set<DomainCounter> all = new LinkedHashSet<>();
    Set<DomainCounter> confirmedOnly = new LinkedHashSet<>();
    for (PlacementConstraint constraint : constraints) {
      for (CounterKey key : CounterKey.keysOf(constraint, vm.service())) {
        if (key.covers(vm)) {
          (key.confirmedOnly() ? confirmedOnly : all).add(counter(key));
        }
      }
    }
    return new VmCounters(new ArrayList<>(all), new ArrayList<>(confirmedOnly));
  }
}
