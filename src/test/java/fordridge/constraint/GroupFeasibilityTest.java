package fordridge.constraint;

import static org.assertj.core.api.Assertions.assertThat;

import fordridge.constraint.ConstraintIndex.MachineTopology;
import fordridge.constraint.GroupFeasibility.Outcome;
import fordridge.constraint.GroupFeasibility.Part;
import fordridge.constraint.GroupFeasibility.Room;
import fordridge.constraint.GroupFeasibility.Verdict;
import fordridge.constraint.PlacementConstraint.Domain;
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
        new ConstraintIndex(ConstraintParser.read(text, ConstraintParser.Names.ANY), 1);
    b.machines(FLEET);
    return b;
  }

  private static List<Part> group(String... priorityClasses) {
    List<Part> some = new ArrayList<>();
    for (String f : priorityClasses) {
      some.add(new Part("p" + some.size(), "", f, some.size(), 8, 8));
    }
    return some;
  }

  private static Outcome solve(ConstraintIndex b, List<Part> group) {
    return b.together(group, m -> new Room(16, 16)).solve(() -> false);
  }

  private static List<String> names(Outcome o) {
    return o.rules().stream().map(PlacementConstraint::name).toList();
  }

  @Example
  void nearAAndApartFromBWhereBIsWithACannotBe() throws Exception {
    String set =
        "rule n: flavour w require near flavour a per zone;\nrule p: flavour w require apart flavour b per zone;\n"
            + "rule q: flavour b require near flavour a per zone;\nrule r: flavour a require spread at most 4 per cell;\n";
    Outcome one = solve(book(set), group("w", "a", "b"));
    assertThat(one.verdict()).isEqualTo(Verdict.NO);
    assertThat(names(one)).containsExactlyInAnyOrder("n", "p", "q");
    assertThat(one.room()).isFalse();
    assertThat(solve(book(set), group("w", "a", "b", "a")).verdict()).isEqualTo(Verdict.YES);
  }

  @Example
  void aGroupLargerThanAnyMachineIsRefusedForRoom() throws Exception {
    ConstraintIndex b =
        book(
            "rule n: flavour w require near flavour w per machine;\nrule s: flavour w require on kind std;");
    Outcome o = solve(b, group("w", "w", "w"));
    assertThat(o.verdict()).isEqualTo(Verdict.NO);
    assertThat(o.room()).isTrue();
    assertThat(names(o)).containsExactly("n");
    assertThat(solve(b, group("w", "w")).verdict()).isEqualTo(Verdict.YES);
    assertThat(solve(book(""), group("v", "v", "v", "v", "v", "v", "v", "v", "v")).room())
        .as("nine eights in 4 x 16")
        .isTrue();
  }

  @Example
  void whatRunsAlreadyTakesItsPlace() throws Exception {
    ConstraintIndex b =
        book(
            "rule m: flavour w require spread at most 1 per zone;\nrule k: all require on kind std;");
    assertThat(solve(b, group("w", "w")).verdict()).isEqualTo(Verdict.YES);
    b.goes("x", "", "w", 9, "b");
    Outcome o = solve(b, group("w", "w"));
    assertThat(o.verdict()).isEqualTo(Verdict.NO);
    assertThat(names(o)).containsExactly("m");
    b.gone("x");
    b.machines(FLEET.subList(0, 2));
    assertThat(names(solve(b, group("w", "w")))).as("a zone vanished").containsExactly("m");
  }

  @Example
  void itStopsWhenItIsToldTo() throws Exception {
    ConstraintIndex b = book("rule m: flavour w require spread at most 1 per cell;");
    assertThat(
            b.together(group("w", "w", "w", "w"), m -> new Room(16, 16))
                .solve(() -> true)
                .verdict())
        .isNotEqualTo(Verdict.YES);
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
        ConstraintParser.read(text.toString(), ConstraintParser.Names.ANY);
    List<MachineTopology> fleet = new ArrayList<>();
    int machines = 1 + r.nextInt(5);
    for (int i = 0; i < machines; i++) {
      fleet.add(
          new MachineTopology(
              "m" + i, r.nextBoolean() ? "std" : "big", "z" + r.nextInt(2), r.nextInt(2)));
    }
    ConstraintIndex b = new ConstraintIndex(rules, 1);
    b.machines(fleet);
    List<Part> running = new ArrayList<>();
    Map<String, String> at = new LinkedHashMap<>();
    for (int i = r.nextInt(3); i > 0; i--) {
      Part p = new Part("old" + i, "", "f" + r.nextInt(3), r.nextInt(2), 1, 1);
      running.add(p);
      at.put(p.id(), "m" + r.nextInt(machines));
      b.goes(p.id(), "", p.priorityClass(), p.service(), at.get(p.id()));
    }
    List<Part> group = new ArrayList<>();
    for (int i = 1 + r.nextInt(4); i > 0; i--) {
      group.add(new Part("new" + i, "", "f" + r.nextInt(3), r.nextInt(2), 1 + r.nextInt(3), 1));
    }
    double most = 2 + r.nextInt(4);
    Outcome o = b.together(group, m -> new Room(most, 100)).solve(() -> false);
    boolean some = any(rules, fleet, running, group, at, 0, most);
    assertThat(o.verdict())
        .as(text + " " + fleet + " " + at + " " + group)
        .isEqualTo(some ? Verdict.YES : Verdict.NO);
    if (some) {
      Map<String, String> all = new LinkedHashMap<>(at);
      all.putAll(o.machines());
      assertThat(keeps(rules, fleet, running, group, all, most)).as(text + " " + o).isTrue();
    } else {
      double room = o.room() ? most : 1e6;
      assertThat(any(o.rules(), fleet, running, group, at, 0, room))
          .as("what is named clashes")
          .isFalse();
      for (PlacementConstraint x : o.rules()) {
        List<PlacementConstraint> fewer = new ArrayList<>(o.rules());
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
    String per = " per " + Domain.values()[r.nextInt(3)];
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
      List<Part> running,
      List<Part> group,
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
      List<Part> running,
      List<Part> group,
      Map<String, String> at,
      double most) {
    List<Part> all = new ArrayList<>(running);
    all.addAll(group);
    for (MachineTopology s : fleet) {
      if (group.stream().filter(p -> at.get(p.id()).equals(s.name())).mapToDouble(Part::cores).sum()
          > most) {
        return false;
      }
    }
    for (PlacementConstraint rule : rules) {
      for (Part u : group) {
        boolean about = covers(rule.scope(), u);
        if (rule.clause() instanceof PlacementConstraint.Apart a) {
          for (Part w : all) {
            boolean one =
                about && covers(a.other(), w) || covers(a.other(), u) && covers(rule.scope(), w);
            if (w != u
                && one
                && where(fleet, at, w, a.per()).equals(where(fleet, at, u, a.per()))) {
              return false;
            }
          }
        } else if (about && rule.clause() instanceof PlacementConstraint.Near n) {
          List<Part> others = all.stream().filter(w -> w != u && covers(n.other(), w)).toList();
          if (!others.isEmpty()
              && others.stream()
                  .noneMatch(
                      w -> where(fleet, at, w, n.per()).equals(where(fleet, at, u, n.per())))) {
            return false;
          }
        } else if (about && rule.clause() instanceof PlacementConstraint.Most m) {
          long count =
              all.stream()
                  .filter(
                      w ->
                          covers(rule.scope(), w)
                              && (!m.eachService() || w.service() == u.service())
                              && where(fleet, at, w, m.per()).equals(where(fleet, at, u, m.per())))
                  .count();
          if (count > m.most()) {
            return false;
          }
        } else if (about
            && rule.clause() instanceof PlacementConstraint.On on
            && !ConstraintIndex.holds(on.where(), spot(fleet, at, u))) {
          return false;
        }
      }
    }
    return true;
  }

  private static boolean covers(Scope s, Part p) {
    return s.covers(p.tenant(), p.priorityClass(), p.service());
  }

  private static MachineTopology spot(List<MachineTopology> fleet, Map<String, String> at, Part p) {
    return fleet.stream().filter(s -> s.name().equals(at.get(p.id()))).findFirst().orElseThrow();
  }

  private static String where(
      List<MachineTopology> fleet, Map<String, String> at, Part p, Domain per) {
    MachineTopology s = spot(fleet, at, p);
    return per == Domain.MACHINE
        ? s.name()
        : per == Domain.ZONE ? s.zone() : s.zone() + "/" + s.cell();
  }
}
