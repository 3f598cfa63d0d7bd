package fordridge.constraint;

import java.util.HashMap;
import java.util.Map;
import java.util.function.ObjIntConsumer;
import org.roaringbitmap.RoaringBitmap;

/**
 * Counts VMs by the domains of one level, and maintains a bitmap of the machines in occupied
 * domains, those with at least one VM. A change costs at most the size of one domain.
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

  /** Adds VMs on a machine to the count; a negative {@code delta} removes them. */
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

  /** Returns the machines of the occupied domains; callers must not modify the bitmap. */
  RoaringBitmap occupiedMachines() {
    return occupiedMachines;
  }

  /** Visits each occupied domain with its count, in no particular order. */
  void forEachOccupiedDomain(ObjIntConsumer<PlacementDomain> visitor) {
    countByDomain.forEach(visitor::accept);
  }

  /** Returns a copy of the counts of all occupied domains. */
  Map<PlacementDomain, Integer> copyOfCounts() {
    return Map.copyOf(countByDomain);
  }
}
