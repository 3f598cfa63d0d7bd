package fordridge.constraint;

import static org.assertj.core.api.Assertions.assertThat;

import fordridge.constraint.PlacementConstraint.Scope;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

class GroupFeasibilityTest {
  private static final List<MachineTopology> FLEET =
      List.of(
          new MachineTopology("a", "std", "x", 0),
          new MachineTopology("b", "big", "x", 0),
          new MachineTopology("c", "std", "y", 1),
          new MachineTopology("d", "big", "y", 2));

  private static ConstraintIndex book(String text) throws Exception {
    ConstraintIndex b =
        new ConstraintIndex(ConstraintParser.parse(text, ConstraintParser.KnownNames.UNCHECKED), 1);
    b.machineListReceived(FLEET);
    return b;
  }

  private static List<GroupMember> group(String... priorityClasses) {
    List<GroupMember> some = new ArrayList<>();
    for (String f : priorityClasses) {
      some.add(new GroupMember("p" + some.size(), new VmAttributes("", f, some.size()), 8, 8));
    }
    return some;
  }

  private static FeasibilityResult solve(ConstraintIndex b, List<GroupMember> group) {
    return b.groupFeasibility(group, m -> new MachineCapacity(16, 16)).solve(() -> false);
  }

  private static List<String> names(FeasibilityResult o) {
    return o.conflictingConstraints().stream().map(PlacementConstraint::name).toList();
  }

  @Example
  void nearAAndApartFromBWhereBIsWithACannotBe() throws Exception {
    String set =
        "rule n: flavour w require near flavour a per zone;\nrule p: flavour w require apart flavour b per zone;\n"
            + "rule q: flavour b require near flavour a per zone;\nrule r: flavour a require spread at most 4 per cell;\n";
    FeasibilityResult one = solve(book(set), group("w", "a", "b"));
    assertThat(one.verdict()).isEqualTo(FeasibilityResult.Verdict.INFEASIBLE);
    assertThat(names(one)).containsExactlyInAnyOrder("n", "p", "q");
    assertThat(one.isCapacityExceeded()).isFalse();
    assertThat(solve(book(set), group("w", "a", "b", "a")).verdict())
        .isEqualTo(FeasibilityResult.Verdict.FEASIBLE);
  }

  @Example
  void aGroupLargerThanAnyMachineIsRefusedForRoom() throws Exception {
    ConstraintIndex b =
        book(
            "rule n: flavour w require near flavour w per machine;\nrule s: flavour w require on kind std;");
    FeasibilityResult o = solve(b, group("w", "w", "w"));
    assertThat(o.verdict()).isEqualTo(FeasibilityResult.Verdict.INFEASIBLE);
    assertThat(o.isCapacityExceeded()).isTrue();
    assertThat(names(o)).containsExactly("n");
    assertThat(solve(b, group("w", "w")).verdict()).isEqualTo(FeasibilityResult.Verdict.FEASIBLE);
    assertThat(
            solve(book(""), group("v", "v", "v", "v", "v", "v", "v", "v", "v"))
                .isCapacityExceeded())
        .as("nine eights in 4 x 16")
        .isTrue();
  }

  @Example
  void whatRunsAlreadyTakesItsPlace() throws Exception {
    ConstraintIndex b =
        book(
            "rule m: flavour w require spread at most 1 per zone;\nrule k: all require on kind std;");
    assertThat(solve(b, group("w", "w")).verdict()).isEqualTo(FeasibilityResult.Verdict.FEASIBLE);
    b.attemptSent("x", new VmAttributes("", "w", 9), "b");
    FeasibilityResult o = solve(b, group("w", "w"));
    assertThat(o.verdict()).isEqualTo(FeasibilityResult.Verdict.INFEASIBLE);
    assertThat(names(o)).containsExactly("m");
    b.attemptEnded("x");
    b.machineListReceived(FLEET.subList(0, 2));
    assertThat(names(solve(b, group("w", "w")))).as("a zone vanished").containsExactly("m");
  }

  @Example
  void itStopsWhenItIsToldTo() throws Exception {
    ConstraintIndex b = book("rule m: flavour w require spread at most 1 per cell;");
    assertThat(
            b.groupFeasibility(group("w", "w", "w", "w"), m -> new MachineCapacity(16, 16))
                .solve(() -> true)
                .verdict())
        .isNotEqualTo(FeasibilityResult.Verdict.FEASIBLE);
  }

  /**
   * A no only where no way exists, a yes only with places that keep every rule, and no rule named
   * in vain.
   */
  @Property(tries = 400, seed = "4711")
  void agreesWithTryingEverything(@ForAll long seed) throws Exception {
    Random r = new Random(seed);
    StringBuilder text = new StringBuilder();
    int n = 1 + r.nextInt(5);
    for (int i = 0; i < n; i++) {
      text.append("rule r")
          .append(i)
          .append(": ")
          .append(scope(r))
          .append(" require ")
          .append(clause(r))
          .append(";\n");
    }
    List<PlacementConstraint> rules =
        ConstraintParser.parse(text.toString(), ConstraintParser.KnownNames.UNCHECKED);
    List<MachineTopology> fleet = new ArrayList<>();
    int machines = 1 + r.nextInt(5);
    for (int i = 0; i < machines; i++) {
      fleet.add(
          new MachineTopology(
              "m" + i, r.nextBoolean() ? "std" : "big", "z" + r.nextInt(2), r.nextInt(2)));
    }
    ConstraintIndex b = new ConstraintIndex(rules, 1);
    b.machineListReceived(fleet);
    List<GroupMember> running = new ArrayList<>();
    Map<String, String> at = new LinkedHashMap<>();
    for (int i = r.nextInt(3); i > 0; i--) {
      GroupMember p =
          new GroupMember("old" + i, new VmAttributes("", "f" + r.nextInt(3), r.nextInt(2)), 1, 1);
      running.add(p);
      at.put(p.id(), "m" + r.nextInt(machines));
      b.attemptSent(
          p.id(), new VmAttributes("", p.vm().priorityClass(), p.vm().service()), at.get(p.id()));
    }
    List<GroupMember> group = new ArrayList<>();
    for (int i = 1 + r.nextInt(4); i > 0; i--) {
      group.add(
          new GroupMember(
              "new" + i,
              new VmAttributes("", "f" + r.nextInt(3), r.nextInt(2)),
              1 + r.nextInt(3),
              1));
    }
    double most = 2 + r.nextInt(4);
    FeasibilityResult o =
        b.groupFeasibility(group, m -> new MachineCapacity(most, 100)).solve(() -> false);
    boolean some = any(rules, fleet, running, group, at, 0, most);
    assertThat(o.verdict())
        .as(text + " " + fleet + " " + at + " " + group)
        .isEqualTo(
            some ? FeasibilityResult.Verdict.FEASIBLE : FeasibilityResult.Verdict.INFEASIBLE);
    if (some) {
      Map<String, String> all = new LinkedHashMap<>(at);
      all.putAll(o.machineByMember());
      assertThat(keeps(rules, fleet, running, group, all, most)).as(text + " " + o).isTrue();
    } else {
      double room = o.isCapacityExceeded() ? most : 1e6;
      assertThat(any(o.conflictingConstraints(), fleet, running, group, at, 0, room))
          .as("what is named clashes")
          .isFalse();
      for (PlacementConstraint x : o.conflictingConstraints()) {
        List<PlacementConstraint> fewer = new ArrayList<>(o.conflictingConstraints());
        fewer.remove(x);
        assertThat(any(fewer, fleet, running, group, at, 0, room))
            .as(text + ": " + x + " is needed")
            .isTrue();
      }
    }
  }

  static String scope(Random r) {
    return r.nextInt(5) == 0
        ? "all"
        : r.nextInt(4) == 0 ? "service " + r.nextInt(2) : "flavour f" + r.nextInt(3);
  }

  static String clause(Random r) {
    String per = " per " + TopologyLevel.values()[r.nextInt(3)];
    return switch (r.nextInt(5)) {
      case 0 -> "near " + scope(r) + per;
      case 1 -> "apart " + scope(r) + per;
      case 2 ->
          "spread at most "
              + (1 + r.nextInt(2))
              + (r.nextBoolean() ? " of each service" : "")
              + per;
      case 3 -> "on kind " + (r.nextBoolean() ? "std" : "big");
      default -> "on not zone z" + r.nextInt(2);
    };
  }

  private static boolean any(
      List<PlacementConstraint> rules,
      List<MachineTopology> fleet,
      List<GroupMember> running,
      List<GroupMember> group,
      Map<String, String> at,
      int next,
      double most) {
    if (next == group.size()) {
      return keeps(rules, fleet, running, group, at, most);
    }
    for (MachineTopology s : fleet) {
      Map<String, String> with = new LinkedHashMap<>(at);
      with.put(group.get(next).id(), s.name());
      if (any(rules, fleet, running, group, with, next + 1, most)) {
        return true;
      }
    }
    return false;
  }

  /**
   * By the words of the language alone: what the group's VMs do against each other and against what
   * ran.
   */
  static boolean keeps(
      List<PlacementConstraint> rules,
      List<MachineTopology> fleet,
      List<GroupMember> running,
      List<GroupMember> group,
      Map<String, String> at,
      double most) {
    List<GroupMember> all = new ArrayList<>(running);
    all.addAll(group);
    for (MachineTopology s : fleet) {
      if (group.stream()
              .filter(p -> at.get(p.id()).equals(s.name()))
              .mapToDouble(GroupMember::cores)
              .sum()
          > most) {
        return false;
      }
    }
    for (PlacementConstraint rule : rules) {
      for (GroupMember u : group) {
        boolean about = covers(rule.scope(), u);
        if (rule.clause() instanceof PlacementConstraint.AntiAffinity a) {
          for (GroupMember w : all) {
            boolean one =
                about && covers(a.other(), w) || covers(a.other(), u) && covers(rule.scope(), w);
            if (w != u
                && one
                && where(fleet, at, w, a.level()).equals(where(fleet, at, u, a.level()))) {
              return false;
            }
          }
        } else if (about && rule.clause() instanceof PlacementConstraint.Affinity n) {
          List<GroupMember> others =
              all.stream().filter(w -> w != u && covers(n.other(), w)).toList();
          if (!others.isEmpty()
              && others.stream()
                  .noneMatch(
                      w -> where(fleet, at, w, n.level()).equals(where(fleet, at, u, n.level())))) {
            return false;
          }
        } else if (about && rule.clause() instanceof PlacementConstraint.SpreadLimit m) {
          long count =
              all.stream()
                  .filter(
                      w ->
                          covers(rule.scope(), w)
                              && (!m.perService() || w.vm().service() == u.vm().service())
                              && where(fleet, at, w, m.level())
                                  .equals(where(fleet, at, u, m.level())))
                  .count();
          if (count > m.limit()) {
            return false;
          }
        } else if (about
            && rule.clause() instanceof PlacementConstraint.MachineLabels on
            && !on.predicate().matches(spot(fleet, at, u))) {
          return false;
        }
      }
    }
    return true;
  }

  private static boolean covers(Scope s, GroupMember p) {
    return s.covers(p.vm());
  }

  private static MachineTopology spot(
      List<MachineTopology> fleet, Map<String, String> at, GroupMember p) {
    return fleet.stream().filter(s -> s.name().equals(at.get(p.id()))).findFirst().orElseThrow();
  }

  private static String where(
      List<MachineTopology> fleet, Map<String, String> at, GroupMember p, TopologyLevel per) {
    MachineTopology s = spot(fleet, at, p);
    return per == TopologyLevel.MACHINE
        ? s.name()
        : per == TopologyLevel.ZONE ? s.zone() : s.zone() + "/" + s.cell();
  }
}
