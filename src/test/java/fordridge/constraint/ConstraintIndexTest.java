package fordridge.constraint;

import static fordridge.constraint.ConstraintFixtures.FLEET;
import static fordridge.constraint.ConstraintFixtures.indexOf;
import static fordridge.constraint.ConstraintFixtures.parse;
import static fordridge.constraint.ConstraintFixtures.vm;
import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import fordridge.constraint.PlacementOracle.RunningVm;
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
  private static List<String> allowedMachines(ConstraintIndex index, VmAttributes vm) {
    return FLEET.stream()
        .map(MachineTopology::name)
        .filter(machine -> index.isAllowed(vm, machine))
        .toList();
  }

  private static List<String> allowedMachines(
      ConstraintIndex index, String priorityClass, long service) {
    return allowedMachines(index, vm(priorityClass, service));
  }

  private static List<String> namesOf(List<RejectionReason> reasons) {
    return reasons.stream().map(reason -> reason.constraint().orElseThrow().name()).toList();
  }

  @Example
  void affinityAndAntiAffinityDependOnRunningVms() throws Exception {
    ConstraintIndex index =
        indexOf(
            """
            rule n: flavour w require near flavour a per zone;
            rule p: flavour w require apart flavour b per zone;""");
    assertThat(allowedMachines(index, "w", 1))
        .as("any machine while no affinity target runs")
        .hasSize(5);
    index.attemptSent(1, vm("a", 1), "a");
    assertThat(allowedMachines(index, "w", 1)).containsExactly("a", "b");
    index.attemptSent(2, vm("b", 1), "b");
    assertThat(allowedMachines(index, "w", 1)).isEmpty();
    assertThat(namesOf(index.explainRejection(vm("w", 1), "a"))).containsExactly("p");
    index.attemptSent(3, vm("a", 1), "d");
    assertThat(allowedMachines(index, "w", 1)).containsExactly("c", "d");
    index.attemptEnded(2);
    assertThat(allowedMachines(index, "w", 1)).containsExactly("a", "b", "c", "d");
  }

  @Example
  void attemptOfUnknownOutcomeCountsForAntiAffinityButIsNoAffinityTarget() throws Exception {
    ConstraintIndex index =
        indexOf(
            """
            rule n: flavour w require near flavour a per zone;
            rule p: flavour b require apart flavour a per zone;""");
    index.attemptSent(1, vm("a", 1), "a");
    index.attemptSent(2, vm("a", 1), "c");
    index.attemptOutcomeUnknown(1);
    assertThat(allowedMachines(index, "w", 1)).containsExactly("c", "d");
    assertThat(allowedMachines(index, "b", 1)).containsExactly("e");
    index.attemptEnded(2);
    assertThat(allowedMachines(index, "w", 1))
        .as("attempts of unknown outcome are targets if there are no others")
        .containsExactly("a", "b");
    index.attemptOutcomeUnknown(1);
    index.attemptEnded(1);
    assertThat(allowedMachines(index, "w", 1)).hasSize(5);
    assertThat(allowedMachines(index, "b", 1)).hasSize(5);
  }

  @Example
  void serviceZeroIsCountedSeparately() throws Exception {
    ConstraintIndex index =
        indexOf(
            """
            rule m: flavour w require spread at most 1 of each service per zone;
            rule n: flavour v require near flavour w per zone;""");
    index.attemptSent(1, vm("w", 5), "a");
    assertThat(allowedMachines(index, "w", 0)).as("VMs of another service do not count").hasSize(5);
    index.attemptSent(2, vm("w", 0), "c");
    assertThat(allowedMachines(index, "w", 0)).containsExactly("a", "b", "e");
  }

  @Example
  void antiAffinityIsSymmetric() throws Exception {
    ConstraintIndex index = indexOf("rule p: flavour w require apart flavour b per machine;");
    index.attemptSent(1, vm("w", 1), "a");
    assertThat(allowedMachines(index, "b", 1)).doesNotContain("a").hasSize(4);
    assertThat(index.explainRejection(vm("b", 1), "a").get(0).description())
        .contains("keeps apart");
  }

  @Example
  void drainingMachineDoesNotBlockSpreadSkew() throws Exception {
    ConstraintIndex index =
        indexOf("rule s: flavour w require spread within 1 of each service per zone;");
    index.attemptSent(1, vm("w", 7), "a");
    assertThat(allowedMachines(index, "w", 7)).containsExactly("c", "d", "e");
    index.attemptSent(2, vm("w", 7), "c");
    index.attemptSent(3, vm("w", 7), "e");
    index.drainingMachinesChanged(Set.of("e"));
    index.attemptSent(4, vm("w", 7), "b");
    assertThat(allowedMachines(index, "w", 7))
        .as("draining zone z is not counted as the emptiest zone: zone y is next")
        .containsExactly("c", "d");
    index.attemptSent(5, vm("w", 7), "d");
    assertThat(allowedMachines(index, "w", 7))
        .as("draining zone z does not limit the other zones")
        .containsExactly("a", "b", "c", "d");
    assertThat(index.explainRejection(vm("w", 7), "e"))
        .extracting(RejectionReason::description)
        .anyMatch(description -> description.contains("drains"));
    assertThat(index.findViolatingPlacements()).isEmpty();
    for (int attempt = 3; attempt <= 5; attempt++) {
      index.attemptEnded(attempt);
    }
    index.machineListReceived(FLEET.subList(0, 4));
    // Zone z left the list. If it still counted as the zone with the fewest VMs, no VM could be
    // placed.
    assertThat(allowedMachines(index, "w", 7)).containsExactly("a", "b", "c", "d");
  }

  @Example
  void cyclicAffinitiesAllowTheFirstVmAnywhere() throws Exception {
    ConstraintIndex index =
        indexOf(
            """
            rule x: flavour a require near flavour b per cell;
            rule y: flavour b require near flavour a per cell;""");
    assertThat(allowedMachines(index, "a", 1)).hasSize(5);
    index.attemptSent(1, vm("a", 1), "c");
    assertThat(allowedMachines(index, "b", 1)).containsExactly("c");
    index.attemptSent(2, vm("b", 1), "c");
    assertThat(allowedMachines(index, "a", 1)).containsExactly("c");
  }

  @Example
  void relabelledMachineCountsItsVmsInItsNewDomainsAndReportsViolations() throws Exception {
    ConstraintIndex index =
        indexOf(
            """
            rule k: flavour w require on kind std;
            rule m: flavour w require spread at most 1 per zone;""");
    index.attemptSent(1, vm("w", 1), "a");
    List<MachineTopology> relabelled = new ArrayList<>(FLEET);
    relabelled.set(0, new MachineTopology("a", "big", "y", 1));
    index.machineListReceived(relabelled);
    assertThat(namesOf(index.findViolatingPlacements().get(1))).containsExactly("k");
    assertThat(index.isAllowed(vm("w", 2), "c")).as("machine a counts in its new zone y").isFalse();
  }

  @Example
  void vmOnAnUnlistedMachineIsReportedWithoutAConstraint() throws Exception {
    ConstraintIndex index = indexOf("rule k: flavour w require on kind std;");
    index.attemptSent(1, vm("w", 1), "e");
    index.machineListReceived(FLEET.subList(0, 4));

    List<RejectionReason> reasons =
        index
            .withConstraints(parse("rule z: all require on zone z;"), 1)
            .findViolatingPlacements()
            .get(1);

    assertThat(reasons)
        .extracting(RejectionReason::cause)
        .containsExactly(RejectionReason.Cause.MACHINE_NOT_LISTED);
    assertThat(reasons.get(0).constraint()).isEmpty();
    assertThat(reasons.get(0)).hasToString("no machine 'e' in the list");
  }

  @Example
  void newConstraintSetInheritsRunningAttempts() throws Exception {
    ConstraintIndex index = indexOf("rule m: flavour w require spread at most 2 per machine;");
    index.attemptSent(1, vm("w", 1), "a");
    index.attemptSent(2, vm("w", 1), "a");

    ConstraintIndex newIndex =
        index.withConstraints(parse("rule m: flavour w require spread at most 1 per machine;"), 1);

    assertThat(newIndex.findViolatingPlacements().keySet()).containsExactly(1, 2);
    assertThat(newIndex.isAllowed(vm("w", 1), "a")).isFalse();
    newIndex.attemptEnded(1);
    newIndex.attemptEnded(2);
    assertThat(newIndex.isAllowed(vm("w", 1), "a")).isTrue();
    assertThat(index.attemptCount()).as("the old index is unchanged").isEqualTo(2);
  }

  @Example
  void unsatisfiableLabelsYieldAMinimalConflict() throws Exception {
    ConstraintIndex index =
        indexOf(
            """
            rule one: all require on zone x, y;
            rule two: flavour w require on kind big;
            rule three: service 5 require on not kind big;
            rule four: service 5 prefer 3 on zone x;""");
    assertThat(index.findConflictingLabelConstraints(vm("w", 5)))
        .extracting(PlacementConstraint::name)
        .containsExactly("two", "three");
    assertThat(index.findConflictingLabelConstraints(vm("w", 6))).isEmpty();
    index.machineListReceived(FLEET.subList(4, 5));
    assertThat(index.findConflictingLabelConstraints(vm("v", 6)))
        .extracting(PlacementConstraint::name)
        .containsExactly("one");
  }

  @Example
  void limitBelowTheNumberOfSchedulersIsRejected() throws Exception {
    List<PlacementConstraint> constraints =
        parse("rule m: flavour w require spread at most 3 per zone overall;");

    assertThatThrownBy(() -> new ConstraintIndex(constraints, 4))
        .isInstanceOf(IndivisibleLimitException.class)
        .hasMessageContaining("rule 'm'")
        .hasMessageContaining("4 placers");
  }

  @Example
  void schedulersTogetherRespectAClusterWideLimit() throws Exception {
    List<PlacementConstraint> constraints =
        parse("rule m: flavour w require spread at most 3 per zone overall;");
    int placed = 0;
    for (int scheduler = 0; scheduler < 3; scheduler++) {
      ConstraintIndex index = new ConstraintIndex(constraints, 3);
      index.machineListReceived(FLEET);
      for (int attempt = 0; attempt < 9; attempt++) {
        if (index.isAllowed(vm("w", 1), "a")) {
          index.attemptSent(attempt, vm("w", 1), "a");
          placed++;
        }
      }
    }
    assertThat(placed).as("total of all schedulers").isEqualTo(3);
  }

  @Example
  void improvablePlacementIsReportedOnceABetterMachineIsAllowed() throws Exception {
    ConstraintIndex index =
        indexOf(
            """
            rule x: flavour w prefer 5 on zone x;
            rule m: flavour w require spread at most 1 per machine;""");
    index.attemptSent(1, vm("w", 1), "a");
    index.attemptSent(2, vm("w", 1), "b");
    index.attemptSent(3, vm("w", 1), "c");
    assertThat(index.findImprovablePlacements(9)).as("no better machine is allowed").isEmpty();
    index.attemptEnded(1);
    assertThat(index.findImprovablePlacements(9).get(3))
        .extracting(RejectionReason::description)
        .anyMatch(description -> description.contains("machine a would do better"));
    assertThat(index.findImprovablePlacements(0)).isEmpty();
    assertThat(index.isAllowed(vm("w", 1), "c")).as("the VM is counted again").isFalse();
    index.runWithoutAttempt(3, () -> assertThat(index.isAllowed(vm("w", 1), "c")).isTrue());
  }

  @Example
  void countsAreRestoredWhenTheActionThrows() throws Exception {
    ConstraintIndex index = indexOf("rule m: flavour w require spread at most 1 per machine;");
    index.attemptSent(1, vm("w", 1), "a");

    assertThatThrownBy(
            () ->
                index.runWithoutAttempt(
                    1,
                    () -> {
                      throw new IllegalStateException("action failed");
                    }))
        .hasMessage("action failed");

    assertThat(index.isAllowed(vm("w", 1), "a")).isFalse();
  }

  @Example
  void preferencesAddPenaltiesButForbidNoMachine() throws Exception {
    ConstraintIndex index =
        indexOf("rule x: flavour w prefer 5 on zone x;\nrule y: flavour w prefer 2 on kind std;");
    assertThat(allowedMachines(index, "w", 1)).hasSize(5);
    assertThat(index.preferencePenalty(vm("w", 1), "a")).isEqualTo(0.0);
    assertThat(index.preferencePenalty(vm("w", 1), "b")).isEqualTo(2.0);
    assertThat(index.preferencePenalty(vm("w", 1), "d")).isEqualTo(7.0);
  }

  @Property(tries = 400, seed = "5150")
  void agreesWithAFullScanOfRunningVms(@ForAll long seed) throws Exception {
    Random random = new Random(seed);
    List<PlacementConstraint> constraints = ConstraintFixtures.randomConstraints(random);
    ConstraintIndex index = indexOf(constraints, FLEET);
    Map<Integer, RunningVm> running = new HashMap<>();
    PlacementOracle oracle = new PlacementOracle(constraints, FLEET, running.values());
    for (int attempt = 0; attempt < 40; attempt++) {
      VmAttributes vm = vm("f" + random.nextInt(3), random.nextInt(3));
      FLEET.forEach(machine -> assertAgrees(index, oracle, vm, machine));
      MachineTopology machine = FLEET.get(random.nextInt(FLEET.size()));
      if (index.isAllowed(vm, machine.name())) {
        index.attemptSent(attempt, vm, machine.name());
        running.put(attempt, new RunningVm(vm, machine));
      }
      if (random.nextInt(3) == 0 && !running.isEmpty()) {
        Integer ended = running.keySet().iterator().next();
        running.remove(ended);
        index.attemptEnded(ended);
      }
    }
  }

  private static void assertAgrees(
      ConstraintIndex index, PlacementOracle oracle, VmAttributes vm, MachineTopology machine) {
    boolean isAllowed = oracle.isAllowed(vm, machine);
    String context =
        ConstraintParser.format(oracle.constraints()) + oracle.running() + vm + machine;

    assertThat(index.isAllowed(vm, machine.name())).as(context).isEqualTo(isAllowed);
    if (isAllowed) {
      assertThat(index.explainRejection(vm, machine.name()))
          .as("no required constraint is reported for an allowed machine: " + context)
          .noneMatch(ConstraintIndexTest::isRequiredAndNotSkew);
    }
  }

  /**
   * A skew is explained on its own, but applied to the machines that the preceding constraints
   * allow.
   */
  private static boolean isRequiredAndNotSkew(RejectionReason reason) {
    PlacementConstraint constraint = reason.constraint().orElseThrow();
    return constraint.isRequired()
        && !(constraint.clause() instanceof PlacementConstraint.SpreadSkew);
  }
}
