package fordridge.constraint;

import static fordridge.constraint.ConstraintFixtures.indexOf;
import static fordridge.constraint.ConstraintFixtures.parse;
import static fordridge.constraint.ConstraintFixtures.vm;
import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.function.BooleanSupplier;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

class GroupPlanTest {
  private static final int MACHINES_OF_LARGE_FLEET = 20;
  private static final double SUFFICIENT_CORES = 100;

  private static GroupPlan plan(
      ConstraintIndex index,
      List<GroupMember> group,
      double freeCores,
      double totalCores,
      BooleanSupplier shouldStop) {
    return GroupPlan.compute(
        index.groupFeasibility(group, machine -> new MachineCapacity(freeCores, 100)),
        index.groupFeasibility(group, machine -> new MachineCapacity(totalCores, 100)),
        group,
        shouldStop);
  }

  private static GroupPlan plan(
      ConstraintIndex index, List<GroupMember> group, double freeCores, double totalCores) {
    return plan(index, group, freeCores, totalCores, () -> false);
  }

  /**
   * Places the group like the scheduler, each member on any allowed machine of lowest penalty;
   * empty if there is none for some member.
   */
  private static Optional<Map<String, String>> place(
      ConstraintIndex index,
      GroupPlan plan,
      List<GroupMember> group,
      List<MachineTopology> fleet,
      Random random) {
    Map<String, String> machineByMember = new HashMap<>();
    for (String id : plan.placementOrder()) {
      GroupMember member =
          group.stream().filter(candidate -> candidate.id().equals(id)).findFirst().orElseThrow();
      List<String> best = machinesOfLowestPenalty(index, plan, member, fleet);
      if (best.isEmpty()) {
        return Optional.empty();
      }
      String machine = best.get(random.nextInt(best.size()));
      machineByMember.put(id, machine);
      index.attemptSent(id, member.vm(), machine);
    }
    return Optional.of(machineByMember);
  }

  private static List<String> machinesOfLowestPenalty(
      ConstraintIndex index, GroupPlan plan, GroupMember member, List<MachineTopology> fleet) {
    List<String> best = new ArrayList<>();
    double lowest = Double.POSITIVE_INFINITY;
    for (MachineTopology machine : fleet) {
      double penalty = penalty(index, plan, member, machine);
      if (penalty < lowest) {
        lowest = penalty;
        best.clear();
      }
      if (penalty == lowest && penalty < Double.POSITIVE_INFINITY) {
        best.add(machine.name());
      }
    }
    return best;
  }

  private static double penalty(
      ConstraintIndex index, GroupPlan plan, GroupMember member, MachineTopology machine) {
    boolean isAllowed =
        plan.hasFixedDomain(member.id())
            ? index.isAllowedIgnoringAffinity(member.vm(), machine.name())
            : index.isAllowed(member.vm(), machine.name());
    return isAllowed ? plan.placementPenalty(member.id(), machine) : Double.POSITIVE_INFINITY;
  }

  /**
   * With few machines, members go to the machines that the solver found: all are placed, and all
   * constraints are satisfied at the end.
   */
  @Property(tries = 400, seed = "4711")
  void plannedGroupIsPlacedCompletelyOnFewMachines(@ForAll long seed) throws Exception {
    int machines = 1 + new Random(seed).nextInt(5);

    assertPlacementSatisfiesConstraints(new Random(seed), machines, true);
  }

  /**
   * With many machines, the choice is free except for affinities; a group that is placed completely
   * satisfies every constraint.
   */
  @Property(tries = 400, seed = "4711")
  void plannedGroupSatisfiesTheConstraintsOnManyMachines(@ForAll long seed) throws Exception {
    assertPlacementSatisfiesConstraints(new Random(seed), MACHINES_OF_LARGE_FLEET, false);
  }

  private static void assertPlacementSatisfiesConstraints(
      Random random, int machines, boolean mustPlaceAllMembers) throws Exception {
    List<PlacementConstraint> constraints = parse(ConstraintFixtures.randomRequiredSet(random));
    List<MachineTopology> fleet = ConstraintFixtures.randomFleet(random, machines);
    ConstraintIndex index = indexOf(constraints, fleet);
    List<GroupMember> group = new ArrayList<>();
    for (int i = 2 + random.nextInt(3); i > 0; i--) {
      VmAttributes vm = vm("f" + random.nextInt(3), random.nextInt(2));
      group.add(new GroupMember("new" + i, vm, 1, 1));
    }
    GroupPlan plan = plan(index, group, SUFFICIENT_CORES, SUFFICIENT_CORES);
    if (plan.rejectionReason().isPresent()) {
      return;
    }

    Optional<Map<String, String>> placed = place(index, plan, group, fleet, random);

    GroupOracle oracle = new GroupOracle(constraints, fleet, List.of(), group, SUFFICIENT_CORES);
    if (mustPlaceAllMembers) {
      assertThat(placed).as(oracle.toString()).isPresent();
    }
    placed.ifPresent(
        machineByMember ->
            assertThat(oracle.isSatisfiedBy(machineByMember)).as(oracle + " " + placed).isTrue());
  }

  @Example
  void groupIsNotRejectedForCapacityThatMayBecomeFree() throws Exception {
    ConstraintIndex index =
        indexOf(
            parse("rule n: flavour w require near flavour w per machine;"),
            List.of(
                new MachineTopology("a", "std", "x", 0), new MachineTopology("b", "std", "x", 0)));
    List<GroupMember> group =
        List.of(new GroupMember("1", vm("w", 1), 8, 8), new GroupMember("2", vm("w", 1), 8, 8));
    assertThat(plan(index, group, 10, 16).rejectionReason())
        .as("the free capacity is too small, the total capacity is not")
        .isEmpty();
    assertThat(plan(index, group, 10, 10).rejectionReason().orElseThrow())
        .contains("rule 'n'")
        .contains("the size of the machines");
    assertThat(plan(index, group, 10, 10, () -> true).rejectionReason())
        .as("the search was stopped before a result")
        .isEmpty();
  }
}
