package fordridge.constraint;

import java.util.HashMap;
import java.util.Map;
import java.util.function.ObjIntConsumer;
import org.roaringbitmap.RoaringBitmap;

/**
 * Counts VMs by the domains of one level, and keeps the machines of all domains that hold any as a
 * bitmap. A change costs the size of one domain at most.
 */
final class DomainCounter {
  private final MachineCatalog catalog;
  private final TopologyLevel level;
  private final Map<PlacementDomain, Integer> countByDomain = new HashMap<>();
  private final RoaringBitmap occupiedMachines = new RoaringBitmap();
  private int total;

  DomainCounter(MachineCatalog catalog, TopologyLevel level) {
    this.catalog = catalog;
    this.level = level;
  }

  /** Counts VMs on a machine: positive to add, negative to take out. */
  void add(int machine, int delta) {
    PlacementDomain domain = catalog.domainOf(machine, level);
    int count = countByDomain.merge(domain, delta, Integer::sum);
    total += delta;
    if (count == 0) {
      countByDomain.remove(domain);
      occupiedMachines.andNot(catalog.machinesIn(domain));
    } else if (count == delta) {
      occupiedMachines.or(catalog.machinesIn(domain));
    }
  }

  int count(PlacementDomain domain) {
    return countByDomain.getOrDefault(domain, 0);
  }

  boolean isEmpty() {
    return total == 0;
  }

  /** Machines of the domains that hold any; not to be changed. */
  RoaringBitmap occupiedMachines() {
    return occupiedMachines;
  }

  /** Visits each domain that holds any, in no particular order. */
  void forEachOccupiedDomain(ObjIntConsumer<PlacementDomain> visitor) {
    countByDomain.forEach(visitor::accept);
  }

  /** A copy of the counts of all domains that hold any. */
  Map<PlacementDomain, Integer> copyOfCounts() {
    return Map.copyOf(countByDomain);
  }
}
