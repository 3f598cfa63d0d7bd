package fordridge.constraint;

import fordridge.constraint.PlacementConstraint.LabelPredicate;
import java.util.ArrayList;
import java.util.Collection;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import org.roaringbitmap.RoaringBitmap;

/**
 * All machines that were ever listed, with their domains and label matches.
 *
 * <p>Each machine has a dense number that it keeps; sets of machines are bitmaps of these numbers.
 * Callers must not modify returned bitmaps, unless they are documented as new.
 */
final class MachineCatalog {
  /** Stands for a machine that was never listed. */
  static final int UNKNOWN_MACHINE = -1;

  private static final RoaringBitmap NO_MACHINES = new RoaringBitmap();

  private final Map<String, Integer> numberByName = new LinkedHashMap<>();
  private final List<MachineTopology> machines = new ArrayList<>();
  private final List<Map<TopologyLevel, PlacementDomain>> domainsByMachine = new ArrayList<>();
  private final Map<TopologyLevel, Map<PlacementDomain, RoaringBitmap>> machinesByDomain =
      new EnumMap<>(TopologyLevel.class);
  private final Map<LabelPredicate, RoaringBitmap> machinesByPredicate = new HashMap<>();
  private final RoaringBitmap listed = new RoaringBitmap();
  private final RoaringBitmap draining = new RoaringBitmap();
  private long version;

  MachineCatalog() {}

  /** Creates an independent copy. */
  MachineCatalog(MachineCatalog other) {
    numberByName.putAll(other.numberByName);
    machines.addAll(other.machines);
    listed.or(other.listed);
    draining.or(other.draining);
    indexDomains();
  }

  /**
   * Replaces the listed machines; machines that left the list keep their number and last labels.
   */
  void replaceListed(Collection<MachineTopology> nowListed) {
    listed.clear();
    for (MachineTopology machine : nowListed) {
      Integer number = numberByName.get(machine.name());
      if (number == null) {
        number = machines.size();
        numberByName.put(machine.name(), number);
        machines.add(machine);
      } else {
        machines.set(number, machine);
      }
      listed.add(number);
    }
    indexDomains();
    version++;
  }

  private void indexDomains() {
    machinesByPredicate.clear();
    machinesByDomain.clear();
    domainsByMachine.clear();
    for (int number = 0; number < machines.size(); number++) {
      Map<TopologyLevel, PlacementDomain> domains = new EnumMap<>(TopologyLevel.class);
      for (TopologyLevel level : TopologyLevel.values()) {
        PlacementDomain domain = PlacementDomain.of(machines.get(number), level);
        domains.put(level, domain);
        machinesByDomain
            .computeIfAbsent(level, key -> new HashMap<>())
            .computeIfAbsent(domain, key -> new RoaringBitmap())
            .add(number);
      }
      domainsByMachine.add(domains);
    }
  }

  /** Replaces the set of draining machines; names that were never listed are ignored. */
  void replaceDraining(Collection<String> names) {
    draining.clear();
    names.stream()
        .map(numberByName::get)
        .filter(Objects::nonNull)
        .forEach(number -> draining.add(number.intValue()));
    version++;
  }

  /** A number that increases with every change. */
  long version() {
    return version;
  }

  /** Returns the number of the machine, or {@link #UNKNOWN_MACHINE}. */
  int numberOf(String name) {
    return numberByName.getOrDefault(name, UNKNOWN_MACHINE);
  }

  MachineTopology machine(int number) {
    return machines.get(number);
  }

  boolean isListed(int number) {
    return number != UNKNOWN_MACHINE && listed.contains(number);
  }

  boolean isDraining(int number) {
    return number != UNKNOWN_MACHINE && draining.contains(number);
  }

  RoaringBitmap listedMachines() {
    return listed;
  }

  /** Returns a new bitmap of the machines that are listed and not draining. */
  RoaringBitmap schedulableMachines() {
    return RoaringBitmap.andNot(listed, draining);
  }

  PlacementDomain domainOf(int number, TopologyLevel level) {
    return domainsByMachine.get(number).get(level);
  }

  /** Returns all machines of a domain, including those that left the list. */
  RoaringBitmap machinesIn(PlacementDomain domain) {
    return machinesByDomainOf(domain.level()).getOrDefault(domain, NO_MACHINES);
  }

  /** Returns all domains of a level with their machines. */
  Map<PlacementDomain, RoaringBitmap> machinesByDomainOf(TopologyLevel level) {
    return machinesByDomain.getOrDefault(level, Map.of());
  }

  /**
   * Returns all machines whose labels satisfy the predicate, including those that left the list.
   */
  RoaringBitmap machinesMatching(LabelPredicate predicate) {
    return machinesByPredicate.computeIfAbsent(predicate, this::findMatching);
  }

  private RoaringBitmap findMatching(LabelPredicate predicate) {
    RoaringBitmap matching = new RoaringBitmap();
    for (int number = 0; number < machines.size(); number++) {
      if (predicate.matches(machines.get(number))) {
        matching.add(number);
      }
    }
    return matching;
  }
}
