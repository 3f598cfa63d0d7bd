package fordridge.constraint;

import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The question whether the members of a group can run all at once: machines, members and
 * constraints as they were when it was put. Immutable, and so safe to solve on another thread.
 * Machines, members and the domains of each level are numbered from 0.
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
   * A problem.
   *
   * @param capacities one for each machine, in the machines' order
   * @param membersRepresentClasses whether each member stands for a class of VMs, which need not
   *     keep apart from each other
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

  /** The machine of a name that this problem's solution gave. */
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

  /** The domain's number of each machine; not to be changed. */
  int[] domainByMachine(TopologyLevel level) {
    return domainByMachine.get(level);
  }

  /** The domains of a level in the order of their numbers. */
  List<PlacementDomain> domains(TopologyLevel level) {
    return domains.get(level);
  }

  /** The domain that a machine belongs to. */
  PlacementDomain domainOf(int machine, TopologyLevel level) {
    return domains.get(level).get(domainByMachine.get(level)[machine]);
  }
}
