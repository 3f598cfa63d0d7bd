package fordridge.constraint;

import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The problem of running all members of a group at the same time.
 *
 * <p>It is an immutable snapshot of machines, members and constraints, which is safe to solve on
 * another thread. Machines, members and the domains of each level are numbered from 0.
 */
final class GroupProblem {
  private final List<MachineTopology> machines;
  private final List<MachineCapacity> capacities;
  private final List<GroupMember> members;
  private final GroupConstraints constraints;
  private final boolean membersRepresentClasses;
  private final Map<TopologyLevel, int[]> domainByMachine = new EnumMap<>(TopologyLevel.class);
  private final Map<TopologyLevel, List<PlacementDomain>> domains =
      new EnumMap<>(TopologyLevel.class);

  /**
   * Creates a problem.
   *
   * @param capacities the capacity of each machine, in the order of the machines
   * @param membersRepresentClasses whether each member represents a class of VMs; an anti-affinity
   *     then does not apply between two members that its scope and its other scope both cover
   */
  GroupProblem(
      List<MachineTopology> machines,
      List<MachineCapacity> capacities,
      List<GroupMember> members,
      GroupConstraints constraints,
      boolean membersRepresentClasses) {
    this.machines = List.copyOf(machines);
    this.capacities = List.copyOf(capacities);
    this.members = List.copyOf(members);
    this.constraints = constraints;
    this.membersRepresentClasses = membersRepresentClasses;
    for (TopologyLevel level : TopologyLevel.values()) {
      numberDomains(level);
    }
  }

  private void numberDomains(TopologyLevel level) {
    int[] numbers = new int[machines.size()];
    Map<PlacementDomain, Integer> numberByDomain = new LinkedHashMap<>();
    for (int machine = 0; machine < numbers.length; machine++) {
      PlacementDomain domain = PlacementDomain.of(machines.get(machine), level);
      numbers[machine] = numberByDomain.computeIfAbsent(domain, key -> numberByDomain.size());
    }
    domainByMachine.put(level, numbers);
    domains.put(level, List.copyOf(numberByDomain.keySet()));
  }

  int machineCount() {
    return machines.size();
  }

  MachineTopology machine(int number) {
    return machines.get(number);
  }

  /** Returns the machine with a name that a solution of this problem contains. */
  MachineTopology machineByName(String name) {
    return machines.stream()
        .filter(machine -> machine.name().equals(name))
        .findFirst()
        .orElseThrow();
  }

  MachineCapacity capacity(int machine) {
    return capacities.get(machine);
  }

  List<GroupMember> members() {
    return members;
  }

  int memberCount() {
    return members.size();
  }

  GroupMember member(int number) {
    return members.get(number);
  }

  GroupConstraints constraints() {
    return constraints;
  }

  boolean membersRepresentClasses() {
    return membersRepresentClasses;
  }

  boolean isCovered(int member, PlacementConstraint.Scope scope) {
    return scope.covers(members.get(member).vm());
  }

  /** Returns the number of the domain of each machine; callers must not modify the array. */
  int[] domainByMachine(TopologyLevel level) {
    return domainByMachine.get(level);
  }

  /** Returns the domains of a level, ordered by their numbers. */
  List<PlacementDomain> domains(TopologyLevel level) {
    return domains.get(level);
  }

  /** Returns the domain of a machine at a level. */
  PlacementDomain domainOf(int machine, TopologyLevel level) {
    return domains.get(level).get(domainByMachine.get(level)[machine]);
  }
}
