package fordridge.constraint;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import fordridge.constraint.PlacementConstraint.Scope;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

class ConstraintIndexTest {
  private static final List<MachineTopology> FLEET =
      List.of(
          new MachineTopology("a", "std", "x", 0),
          new MachineTopology("b", "big", "x", 0),
          new MachineTopology("c", "std", "y", 1),
          new MachineTopology("d", "big", "y", 2),
          new MachineTopology("e", "std", "z", 3));

  private static ConstraintIndex book(String text) throws Exception {
    ConstraintIndex b =
        new ConstraintIndex(ConstraintParser.parse(text, ConstraintParser.KnownNames.UNCHECKED), 1);
    b.machineListReceived(FLEET);
    return b;
  }

  private static List<String> open(ConstraintIndex b, String priorityClass, long service) {
    List<String> some = new ArrayList<>();
    for (MachineTopology s : FLEET) {
      if (b.isAllowed(new VmAttributes("", priorityClass, service), s.name())) {
        some.add(s.name());
      }
    }
    return some;
  }

  @Example
  void nearAAndApartFromBWhereBIsWithA() throws Exception {
    ConstraintIndex b =
        book(
            "rule n: flavour w require near flavour a per zone;\nrule p: flavour w require apart flavour b per zone;");
    assertThat(open(b, "w", 1)).as("near nothing yet: anywhere").hasSize(5);
    b.attemptSent(1, new VmAttributes("", "a", 1), "a");
    assertThat(open(b, "w", 1)).containsExactly("a", "b");
    b.attemptSent(2, new VmAttributes("", "b", 1), "b");
    assertThat(open(b, "w", 1)).isEmpty();
    assertThat(b.explainRejection(new VmAttributes("", "w", 1), "a"))
        .extracting(r -> r.constraint().orElseThrow().name())
        .containsExactly("p");
    b.attemptSent(3, new VmAttributes("", "a", 1), "d");
    assertThat(open(b, "w", 1)).containsExactly("c", "d");
    b.attemptEnded(2);
    assertThat(open(b, "w", 1)).containsExactly("a", "b", "c", "d");
  }

  @Example
  void whatMayRunOrNotKeepsItsPlaceButDrawsNoOtherNear() throws Exception {
    ConstraintIndex b =
        book(
            "rule n: flavour w require near flavour a per zone;\nrule p: flavour b require apart flavour a per zone;");
    b.attemptSent(1, new VmAttributes("", "a", 1), "a");
    b.attemptSent(2, new VmAttributes("", "a", 1), "c");
    b.attemptOutcomeUnknown(1);
    assertThat(open(b, "w", 1)).containsExactly("c", "d");
    assertThat(open(b, "b", 1)).containsExactly("e");
    b.attemptEnded(2);
    assertThat(open(b, "w", 1))
        .as("better where one may run than where none does")
        .containsExactly("a", "b");
    b.attemptOutcomeUnknown(1);
    b.attemptEnded(1);
    assertThat(open(b, "w", 1)).hasSize(5);
    assertThat(open(b, "b", 1)).hasSize(5);
  }

  @Example
  void aServiceOfNumberZeroIsCountedByItself() throws Exception {
    ConstraintIndex b =
        book(
            "rule m: flavour w require spread at most 1 of each service per zone;\n"
                + "rule n: flavour v require near flavour w per zone;");
    b.attemptSent(1, new VmAttributes("", "w", 5), "a");
    assertThat(open(b, "w", 0)).as("another service is no bar").hasSize(5);
    b.attemptSent(2, new VmAttributes("", "w", 0), "c");
    assertThat(open(b, "w", 0)).containsExactly("a", "b", "e");
  }

  @Example
  void apartHoldsBothWays() throws Exception {
    ConstraintIndex b = book("rule p: flavour w require apart flavour b per machine;");
    b.attemptSent(1, new VmAttributes("", "w", 1), "a");
    assertThat(open(b, "b", 1)).doesNotContain("a").hasSize(4);
    assertThat(b.explainRejection(new VmAttributes("", "b", 1), "a").get(0).description())
        .contains("keeps apart");
  }

  @Example
  void spreadOverThreeZonesWithOneDraining() throws Exception {
    ConstraintIndex b = book("rule s: flavour w require spread within 1 of each service per zone;");
    b.attemptSent(1, new VmAttributes("", "w", 7), "a");
    assertThat(open(b, "w", 7)).containsExactly("c", "d", "e");
    b.attemptSent(2, new VmAttributes("", "w", 7), "c");
    b.attemptSent(3, new VmAttributes("", "w", 7), "e");
    b.drainingMachinesChanged(Set.of("e"));
    b.attemptSent(4, new VmAttributes("", "w", 7), "b");
    assertThat(open(b, "w", 7))
        .as("zone z holds one and takes no more: zone y is next")
        .containsExactly("c", "d");
    b.attemptSent(5, new VmAttributes("", "w", 7), "d");
    assertThat(open(b, "w", 7))
        .as("the zone that drains keeps nobody waiting")
        .containsExactly("a", "b", "c", "d");
    assertThat(b.explainRejection(new VmAttributes("", "w", 7), "e"))
        .extracting(RejectionReason::description)
        .anyMatch(w -> w.contains("drains"));
    assertThat(b.findViolatingPlacements()).isEmpty();
    for (int i = 3; i <= 5; i++) {
      b.attemptEnded(i);
    }
    b.machineListReceived(FLEET.subList(0, 4));
    // Zone z left the list: the fewest among what is left counts, else nothing could be placed any
    // more.
    assertThat(open(b, "w", 7)).containsExactly("a", "b", "c", "d");
  }

  @Example
  void aCycleOfNearIsBegunByWhoeverComesFirst() throws Exception {
    ConstraintIndex b =
        book(
            "rule x: flavour a require near flavour b per cell;\nrule y: flavour b require near flavour a per cell;");
    assertThat(open(b, "a", 1)).hasSize(5);
    b.attemptSent(1, new VmAttributes("", "a", 1), "c");
    assertThat(open(b, "b", 1)).containsExactly("c");
    b.attemptSent(2, new VmAttributes("", "b", 1), "c");
    assertThat(open(b, "a", 1)).containsExactly("c");
  }

  @Example
  void aMachineRelabelledWithVmsOnItIsCountedWhereItStandsNowAndNamed() throws Exception {
    ConstraintIndex b =
        book(
            "rule k: flavour w require on kind std;\nrule m: flavour w require spread at most 1 per zone;");
    b.attemptSent(1, new VmAttributes("", "w", 1), "a");
    List<MachineTopology> other = new ArrayList<>(FLEET);
    other.set(0, new MachineTopology("a", "big", "y", 1));
    b.machineListReceived(other);
    assertThat(b.findViolatingPlacements().get(1))
        .extracting(r -> r.constraint().orElseThrow().name())
        .containsExactly("k");
    assertThat(b.isAllowed(new VmAttributes("", "w", 2), "c")).as("its zone is y now").isFalse();
  }

  @Example
  void aNewSetTakesOverWhatRuns() throws Exception {
    ConstraintIndex b = book("rule m: flavour w require spread at most 2 per machine;");
    b.attemptSent(1, new VmAttributes("", "w", 1), "a");
    b.attemptSent(2, new VmAttributes("", "w", 1), "a");
    ConstraintIndex next =
        b.withConstraints(
            ConstraintParser.parse(
                "rule m: flavour w require spread at most 1 per machine;",
                ConstraintParser.KnownNames.UNCHECKED),
            1);
    assertThat(next.findViolatingPlacements().keySet()).containsExactly(1, 2);
    assertThat(next.isAllowed(new VmAttributes("", "w", 1), "a")).isFalse();
    next.attemptEnded(1);
    next.attemptEnded(2);
    assertThat(next.isAllowed(new VmAttributes("", "w", 1), "a")).isTrue();
  }

  @Example
  void whatNoMachineMeetsNamesTheFewestRules() throws Exception {
    ConstraintIndex b =
        book(
            "rule one: all require on zone x, y;\nrule two: flavour w require on kind big;\n"
                + "rule three: service 5 require on not kind big;\nrule four: service 5 prefer 3 on zone x;");
    assertThat(b.findUnsatisfiableConstraints(new VmAttributes("", "w", 5)))
        .extracting(PlacementConstraint::name)
        .containsExactly("two", "three");
    assertThat(b.findUnsatisfiableConstraints(new VmAttributes("", "w", 6))).isEmpty();
    b.machineListReceived(FLEET.subList(4, 5));
    assertThat(b.findUnsatisfiableConstraints(new VmAttributes("", "v", 6)))
        .extracting(PlacementConstraint::name)
        .containsExactly("one");
  }

  @Example
  void setsThatLeaveNoPlaceAreFoundWhenRead() throws Exception {
    String near = "rule n: flavour w require near service 4 per zone;\n";
    assertThat(
            ConstraintValidator.findConflicts(
                ConstraintParser.parse(
                    near + "rule a: all require apart service 4, 5 per zone;",
                    ConstraintParser.KnownNames.UNCHECKED),
                FLEET,
                () -> false))
        .extracting(ConstraintConflict::toString)
        .anyMatch(
            c ->
                c.startsWith("rule 'n' (line 1: near service 4 per " + "zone) and rule 'a' (line 2")
                    && c.contains("leave no place as soon as one of service 4 runs"));
    assertThat(
            ConstraintValidator.findConflicts(
                ConstraintParser.parse(
                    near + "rule a: all require apart service 4 per machine;",
                    ConstraintParser.KnownNames.UNCHECKED),
                FLEET,
                () -> false))
        .as("another machine of the zone will do")
        .isEmpty();
    assertThat(
            ConstraintValidator.findConflicts(
                ConstraintParser.parse(
                    "rule a: flavour w require on zone x;\nrule b: service 1 require on zone y;\n"
                        + "rule c: service 1 require on kind big;",
                    ConstraintParser.KnownNames.UNCHECKED),
                FLEET,
                () -> false))
        .extracting(c -> c.constraints().size())
        .containsExactly(2);
  }

  @Example
  void kindsThatCouldNeverRunAtOnceAreFoundWhenReadAndWhenMachinesVanish() throws Exception {
    List<PlacementConstraint> circle =
        ConstraintParser.parse(
            "rule n: flavour w require near flavour a per zone;\n"
                + "rule p: flavour w require apart flavour b per zone;\nrule q: flavour b require near flavour a per zone;\n"
                + "rule k: all require on not machine e;\nrule m: all require spread at most 1 per machine;",
            ConstraintParser.KnownNames.UNCHECKED);
    List<ConstraintConflict> found = ConstraintValidator.findConflicts(circle, FLEET, () -> false);
    assertThat(found).hasSize(1);
    assertThat(found.get(0).constraints())
        .extracting(PlacementConstraint::name)
        .containsExactlyInAnyOrder("n", "p", "q");
    assertThat(found.get(0).toString()).contains("leave no places for one of each at once");
    List<PlacementConstraint> apart =
        ConstraintParser.parse(
            "rule x: flavour a require apart flavour b per zone;\n"
                + "rule y: flavour a require apart flavour c per zone;\nrule z: flavour b require apart flavour c per zone;\n"
                + "rule self: flavour a require apart flavour a per zone;\n"
                + "rule north: customer north and flavour a require on kind std;",
            ConstraintParser.KnownNames.UNCHECKED);
    assertThat(ConstraintValidator.findConflicts(apart, FLEET, () -> false))
        .as("three zones for three")
        .isEmpty();
    assertThat(
            ConstraintValidator.findConflicts(apart, FLEET.subList(0, 4), () -> false)
                .get(0)
                .constraints())
        .extracting(PlacementConstraint::name)
        .containsExactlyInAnyOrder("x", "y", "z");
    assertThat(ConstraintValidator.findConflicts(apart, List.of(), () -> false))
        .as("nothing is known of machines yet")
        .isEmpty();
  }

  /** What is refused when read can be placed nowhere, and what is not refused can begin. */
  @Property(tries = 300, seed = "8180")
  void refusesOnlyWhatHasNoPlace(@ForAll long seed) throws Exception {
    Random r = new Random(seed);
    List<PlacementConstraint> rules = new ArrayList<>();
    for (int i = 0; i < 1 + r.nextInt(5); i++) {
      rules.add(rule(r, i));
    }
    List<ConstraintConflict> labels =
        ConstraintValidator.findConflicts(rules, FLEET, () -> false).stream()
            .filter(c -> c.description().contains("no machine"))
            .toList();
    boolean stuck = false;
    for (String f : List.of("", "f0", "f1", "f2")) {
      for (long s : new long[] {-1, 0, 1, 2}) {
        stuck |= FLEET.stream().noneMatch(at -> plain(rules, FLEET, List.of(), f, s, at));
      }
    }
    assertThat(!labels.isEmpty()).as(ConstraintParser.format(rules)).isEqualTo(stuck);
  }

  @Example
  void whatNoPlacerCanKeepForAllIsRefused() throws Exception {
    List<PlacementConstraint> rules =
        ConstraintParser.parse(
            "rule m: flavour w require spread at most 3 per zone overall;",
            ConstraintParser.KnownNames.UNCHECKED);
    assertThatThrownBy(() -> new ConstraintIndex(rules, 4))
        .isInstanceOf(UnsatisfiableConstraintsException.class)
        .hasMessageContaining("rule 'm'")
        .hasMessageContaining("4 placers");
    ConstraintIndex[] own = {
      new ConstraintIndex(rules, 3), new ConstraintIndex(rules, 3), new ConstraintIndex(rules, 3)
    };
    int n = 0;
    for (ConstraintIndex b : own) {
      b.machineListReceived(FLEET);
      for (int i = 0; i < 9; i++) {
        if (b.isAllowed(new VmAttributes("", "w", 1), "a")) {
          b.attemptSent(i, new VmAttributes("", "w", 1), "a");
          n++;
        }
      }
    }
    assertThat(n).as("over all placers").isEqualTo(3);
  }

  @Example
  void whatAShortagePutElsewhereIsNamedOnceABetterPlaceIsOpen() throws Exception {
    ConstraintIndex b =
        book(
            "rule x: flavour w prefer 5 on zone x;\nrule m: flavour w require spread at most 1 per machine;");
    b.attemptSent(1, new VmAttributes("", "w", 1), "a");
    b.attemptSent(2, new VmAttributes("", "w", 1), "b");
    b.attemptSent(3, new VmAttributes("", "w", 1), "c");
    assertThat(b.findImprovablePlacements(9)).as("nothing better is open").isEmpty();
    b.attemptEnded(1);
    assertThat(b.findImprovablePlacements(9).get(3))
        .extracting(RejectionReason::description)
        .anyMatch(w -> w.contains("machine a would do better"));
    assertThat(b.findImprovablePlacements(0)).isEmpty();
    assertThat(b.isAllowed(new VmAttributes("", "w", 1), "c")).as("it counts as before").isFalse();
    b.withoutAttempt(3, () -> assertThat(b.isAllowed(new VmAttributes("", "w", 1), "c")).isTrue());
  }

  @Example
  void preferencesWeighAndDoNotBind() throws Exception {
    ConstraintIndex b =
        book("rule x: flavour w prefer 5 on zone x;\nrule y: flavour w prefer 2 on kind std;");
    assertThat(open(b, "w", 1)).hasSize(5);
    assertThat(b.preferencePenalty(new VmAttributes("", "w", 1), "a")).isEqualTo(0.0);
    assertThat(b.preferencePenalty(new VmAttributes("", "w", 1), "b")).isEqualTo(2.0);
    assertThat(b.preferencePenalty(new VmAttributes("", "w", 1), "d")).isEqualTo(7.0);
  }

  // ---- Against a plain scan
  // --------------------------------------------------------------------------

  private record Vm(String priorityClass, long service, MachineTopology at) {}

  static PlacementConstraint rule(Random r, int i) {
    Scope[] scopes = {
      Scope.ALL,
      new Scope(Set.of(), Set.of("f" + r.nextInt(3)), Set.of()),
      new Scope(Set.of(), Set.of(), Set.of("" + r.nextInt(3))),
      new Scope(Set.of(), Set.of("f0", "f1"), Set.of("1", "2"))
    };
    Scope a = scopes[r.nextInt(4)];
    Scope b = scopes[1 + r.nextInt(3)];
    TopologyLevel d = TopologyLevel.values()[r.nextInt(3)];
    PlacementConstraint.Clause c =
        switch (r.nextInt(5)) {
          case 0 -> new PlacementConstraint.Affinity(b, d);
          case 1 -> new PlacementConstraint.AntiAffinity(b, d);
          case 2 ->
              new PlacementConstraint.SpreadLimit(1 + r.nextInt(3), r.nextBoolean(), d, false);
          case 3 -> new PlacementConstraint.SpreadSkew(1 + r.nextInt(2), r.nextBoolean(), d);
          default -> new PlacementConstraint.MachineLabels(predicate(r, 2));
        };
    return new PlacementConstraint("r" + i, a, r.nextInt(4) == 0 ? 1 + r.nextInt(9) : 0, c, i + 1);
  }

  private static PlacementConstraint.LabelPredicate predicate(Random r, int depth) {
    return switch (depth == 0 ? 3 : r.nextInt(4)) {
      case 0 -> new PlacementConstraint.Not(predicate(r, depth - 1));
      case 1 -> new PlacementConstraint.And(predicate(r, depth - 1), predicate(r, depth - 1));
      case 2 -> new PlacementConstraint.Or(predicate(r, depth - 1), predicate(r, depth - 1));
      default ->
          r.nextBoolean()
              ? new PlacementConstraint.Label(
                  PlacementConstraint.LabelKey.KIND, Set.of(r.nextBoolean() ? "std" : "big"))
              : new PlacementConstraint.Label(
                  PlacementConstraint.LabelKey.ZONE, Set.of("x", r.nextBoolean() ? "y" : "z"));
    };
  }

  private static String domain(MachineTopology s, TopologyLevel d) {
    return d == TopologyLevel.MACHINE
        ? s.name()
        : d == TopologyLevel.CELL ? s.zone() + s.cell() : s.zone();
  }

  private static Map<String, Integer> counts(
      List<Vm> vms, Scope scope, TopologyLevel d, long service) {
    Map<String, Integer> n = new HashMap<>();
    vms.stream()
        .filter(
            v ->
                scope.covers(new VmAttributes("", v.priorityClass, v.service))
                    && (service < 0 || v.service == service))
        .forEach(v -> n.merge(domain(v.at, d), 1, Integer::sum));
    return n;
  }

  /** The rules as the page words them, looked at one machine at a time. */
  private static boolean plain(
      List<PlacementConstraint> rules,
      List<MachineTopology> fleet,
      List<Vm> vms,
      String f,
      long s,
      MachineTopology at) {
    return plain(rules, rules.size(), fleet, vms, f, s, at);
  }

  private static boolean plain(
      List<PlacementConstraint> rules,
      int upTo,
      List<MachineTopology> fleet,
      List<Vm> vms,
      String f,
      long s,
      MachineTopology at) {
    for (int i = 0; i < upTo; i++) {
      PlacementConstraint r = rules.get(i);
      boolean mine = r.scope().covers(new VmAttributes("", f, s));
      if (!r.isRequired() || !mine) {
        continue;
      }
      if (r.clause() instanceof PlacementConstraint.MachineLabels o && !o.predicate().matches(at)) {
        return false;
      } else if (r.clause() instanceof PlacementConstraint.Affinity n) {
        Map<String, Integer> c = counts(vms, n.other(), n.level(), -1);
        if (!c.isEmpty() && !c.containsKey(domain(at, n.level()))) {
          return false;
        }
      } else if (r.clause() instanceof PlacementConstraint.AntiAffinity a
          && counts(vms, a.other(), a.level(), -1).containsKey(domain(at, a.level()))) {
        return false;
      } else if (r.clause() instanceof PlacementConstraint.SpreadLimit m
          && counts(vms, r.scope(), m.level(), m.perService() ? s : -1)
                  .getOrDefault(domain(at, m.level()), 0)
              >= m.limit()) {
        return false;
      } else if (r.clause() instanceof PlacementConstraint.SpreadSkew k) {
        Map<String, Integer> c = counts(vms, r.scope(), k.level(), k.perService() ? s : -1);
        int least = Integer.MAX_VALUE;
        for (MachineTopology o : fleet) {
          if (plain(rules, i, fleet, vms, f, s, o)) {
            least = Math.min(least, c.getOrDefault(domain(o, k.level()), 0));
          }
        }
        int here = c.getOrDefault(domain(at, k.level()), 0);
        if (here > 0 && here + 1 - least > k.maxSkew()) {
          return false;
        }
      }
    }
    for (int i = 0; i < rules.size() && upTo == rules.size(); i++) {
      PlacementConstraint r = rules.get(i);
      if (r.isRequired()
          && r.clause() instanceof PlacementConstraint.AntiAffinity a
          && a.other().covers(new VmAttributes("", f, s))
          && counts(vms, r.scope(), a.level(), -1).containsKey(domain(at, a.level()))) {
        return false;
      }
    }
    return true;
  }

  @Property(tries = 400, seed = "5150")
  void saysTheSameAsAPlainScan(@ForAll long seed) throws Exception {
    Random r = new Random(seed);
    List<PlacementConstraint> rules = new ArrayList<>();
    for (int i = 0; i < 1 + r.nextInt(5); i++) {
      rules.add(rule(r, i));
    }
    ConstraintIndex b = new ConstraintIndex(rules, 1);
    List<MachineTopology> fleet = FLEET;
    b.machineListReceived(fleet);
    Map<Integer, Vm> running = new HashMap<>();
    for (int step = 0; step < 40; step++) {
      String f = "f" + r.nextInt(3);
      long s = r.nextInt(3);
      for (MachineTopology at : fleet) {
        boolean plain = plain(rules, fleet, List.copyOf(running.values()), f, s, at);
        assertThat(b.isAllowed(new VmAttributes("", f, s), at.name()))
            .as(ConstraintParser.format(rules) + running + f + s + at)
            .isEqualTo(plain);
        assertThat(
                b.explainRejection(new VmAttributes("", f, s), at.name()).stream()
                    .noneMatch(
                        x ->
                            x.constraint().orElseThrow().isRequired()
                                && !(x.constraint().orElseThrow().clause()
                                    instanceof PlacementConstraint.SpreadSkew)))
            .as("why agrees")
            .matches(ok -> ok || !plain);
      }
      MachineTopology at = fleet.get(r.nextInt(fleet.size()));
      if (b.isAllowed(new VmAttributes("", f, s), at.name())) {
        b.attemptSent(step, new VmAttributes("", f, s), at.name());
        running.put(step, new Vm(f, s, at));
      }
      if (r.nextInt(3) == 0 && !running.isEmpty()) {
        Integer out = running.keySet().iterator().next();
        running.remove(out);
        b.attemptEnded(out);
      }
    }
  }

  @Property(tries = 500, seed = "6160")
  void whatIsPrintedReadsBackToTheSame(@ForAll long seed) throws Exception {
    Random r = new Random(seed);
    List<PlacementConstraint> rules = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      rules.add(rule(r, i));
    }
    assertThat(
            ConstraintParser.parse(
                ConstraintParser.format(rules), ConstraintParser.KnownNames.UNCHECKED))
        .isEqualTo(rules);
  }

  @Property(tries = 2000, seed = "7170")
  void noTextCrashesTheReader(@ForAll long seed) {
    Random r = new Random(seed);
    String[] words = {
      "rule",
      "a",
      ":",
      "all",
      "require",
      "prefer",
      "3",
      "near",
      "apart",
      "spread",
      "at",
      "most",
      "within",
      "per",
      "machine",
      "zone",
      ";",
      "on",
      "(",
      ")",
      "not",
      "and",
      "or",
      "kind",
      "\"",
      ",",
      "#",
      "\n",
      "flavour",
      "service",
      "99999999999999999999",
      "\u0000",
      "\ud83d"
    };
    StringBuilder t = new StringBuilder();
    for (int i = r.nextInt(40); i >= 0; i--) {
      t.append(words[r.nextInt(words.length)]).append(r.nextInt(5) > 0 ? " " : "");
    }
    try {
      ConstraintParser.parse(t.toString(), ConstraintParser.KnownNames.UNCHECKED);
    } catch (ConstraintSyntaxException e) {
      assertThat(e.messages()).allMatch(c -> c.matches("(?s)[0-9]+:[0-9]+: .*"));
    }
  }

  @Example
  void errorsNameLineColumnExcerptAndWhatWouldBeRight() {
    assertThatThrownBy(
            () ->
                ConstraintParser.parse(
                    "rule a: all require on kind std;\nrule b: flavour w require close flavour x;",
                    ConstraintParser.KnownNames.UNCHECKED))
        .hasMessageContaining("2:27: in 'rule b: flavour w require close flavour x;'")
        .hasMessageContaining("'near'");
    assertThatThrownBy(
            () ->
                ConstraintParser.parse(
                    "rule a: flavour mtcher require on kind std;",
                    new ConstraintParser.KnownNames(
                        Set.of(), Set.of("matcher", "lobby"), Set.of("std"), Set.of())))
        .hasMessageContaining("1:17")
        .hasMessageContaining("no flavour 'mtcher'; there are lobby, matcher");
    assertThatThrownBy(
            () ->
                ConstraintParser.parse(
                    "rule a: all require on kind x;\nrule a: all require on kind y;",
                    ConstraintParser.KnownNames.UNCHECKED))
        .hasMessageContaining("stands already in line 1");
    assertThatThrownBy(
            () ->
                ConstraintParser.parse(
                    "rule a: all require on " + "(".repeat(5000) + "kind x;",
                    ConstraintParser.KnownNames.UNCHECKED))
        .hasMessageContaining("nested");
  }
}
