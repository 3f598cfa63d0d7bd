package fordridge.constraint;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

class GroupPlanTest {
  private static List<MachineTopology> fleet(Random r, int machines) {
    List<MachineTopology> some = new ArrayList<>();
    for (int i = 0; i < machines; i++) {
      some.add(
          new MachineTopology(
              "m" + i, r.nextBoolean() ? "std" : "big", "z" + r.nextInt(2), r.nextInt(2)));
    }
    return some;
  }

  private static GroupPlan plan(
      ConstraintIndex b, List<GroupMember> group, double now, double empty) {
    return GroupPlan.compute(
        b.groupFeasibility(group, m -> new MachineCapacity(now, 100)),
        b.groupFeasibility(group, m -> new MachineCapacity(empty, 100)),
        group,
        () -> false);
  }

  /**
   * Places as the module does: any machine that is allowed and least unfit. Null if one finds none.
   */
  private static Map<String, String> place(
      ConstraintIndex b,
      GroupPlan plan,
      List<GroupMember> group,
      List<MachineTopology> fleet,
      Random r) {
    Map<String, String> at = new HashMap<>();
    for (String id : plan.placementOrder()) {
      GroupMember p = group.stream().filter(x -> x.id().equals(id)).findFirst().orElseThrow();
      List<String> best = new ArrayList<>();
      double least = Double.POSITIVE_INFINITY;
      for (MachineTopology s : fleet) {
        boolean open =
            plan.hasFixedDomain(id)
                ? b.isAllowedIgnoringAffinity(
                    new VmAttributes("", p.vm().priorityClass(), p.vm().service()), s.name())
                : b.isAllowed(
                    new VmAttributes("", p.vm().priorityClass(), p.vm().service()), s.name());
        double constraintPenalty = open ? plan.placementPenalty(id, s) : Double.POSITIVE_INFINITY;
        if (constraintPenalty < least) {
          least = constraintPenalty;
          best.clear();
        }
        if (constraintPenalty == least && constraintPenalty < Double.POSITIVE_INFINITY) {
          best.add(s.name());
        }
      }
      if (best.isEmpty()) {
        return null;
      }
      at.put(id, best.get(r.nextInt(best.size())));
      b.attemptSent(id, new VmAttributes("", p.vm().priorityClass(), p.vm().service()), at.get(id));
    }
    return at;
  }

  /**
   * Where machines are few, what the solver found is what is placed: every member, and every rule
   * kept at the end.
   */
  @Property(tries = 400, seed = "4711")
  void aPlannedGroupIsPlacedWholeWhereMachinesAreFew(@ForAll long seed) throws Exception {
    played(new Random(seed), 1 + new Random(seed).nextInt(5), true);
  }

  /** Where they are many the choice is free but for near; what is placed whole keeps every rule. */
  @Property(tries = 400, seed = "4711")
  void aPlannedGroupKeepsTheRulesWhereMachinesAreMany(@ForAll long seed) throws Exception {
    played(new Random(seed), 20, false);
  }

  private static void played(Random r, int machines, boolean whole) throws Exception {
    StringBuilder text = new StringBuilder();
    for (int i = 1 + r.nextInt(5); i > 0; i--) {
      text.append("rule r")
          .append(i)
          .append(": ")
          .append(GroupFeasibilityTest.scope(r))
          .append(" require ")
          .append(GroupFeasibilityTest.clause(r))
          .append(";\n");
    }
    List<PlacementConstraint> rules =
        ConstraintParser.parse(text.toString(), ConstraintParser.KnownNames.UNCHECKED);
    List<MachineTopology> fleet = fleet(r, machines);
    ConstraintIndex b = new ConstraintIndex(rules, 1);
    b.machineListReceived(fleet);
    List<GroupMember> group = new ArrayList<>();
    for (int i = 2 + r.nextInt(3); i > 0; i--) {
      group.add(
          new GroupMember("new" + i, new VmAttributes("", "f" + r.nextInt(3), r.nextInt(2)), 1, 1));
    }
    GroupPlan plan = plan(b, group, 100, 100);
    if (plan.rejectionReason().isPresent()) {
      return;
    }
    Map<String, String> at = place(b, plan, group, fleet, r);
    if (whole) {
      assertThat(at).as(text + " " + fleet + " " + group).isNotNull();
    }
    if (at != null) {
      assertThat(GroupFeasibilityTest.keeps(rules, fleet, List.of(), group, at, 1e6))
          .as(text + " " + fleet + " " + group + at)
          .isTrue();
    }
  }

  @Example
  void roomThatMayComeFreeIsNoReasonToRefuse() throws Exception {
    ConstraintIndex b =
        new ConstraintIndex(
            ConstraintParser.parse(
                "rule n: flavour w require near flavour w per machine;",
                ConstraintParser.KnownNames.UNCHECKED),
            1);
    b.machineListReceived(
        List.of(new MachineTopology("a", "std", "x", 0), new MachineTopology("b", "std", "x", 0)));
    List<GroupMember> group =
        List.of(
            new GroupMember("1", new VmAttributes("", "w", 1), 8, 8),
            new GroupMember("2", new VmAttributes("", "w", 1), 8, 8));
    assertThat(plan(b, group, 10, 16).rejectionReason()).as("full now").isEmpty();
    assertThat(plan(b, group, 10, 10).rejectionReason().orElseThrow())
        .contains("rule 'n'")
        .contains("the size of the machines");
    assertThat(
            GroupPlan.compute(
                    b.groupFeasibility(group, m -> new MachineCapacity(10, 100)),
                    b.groupFeasibility(group, m -> new MachineCapacity(10, 100)),
                    group,
                    () -> true)
                .rejectionReason())
        .as("stopped before it was known")
        .isEmpty();
  }
}
