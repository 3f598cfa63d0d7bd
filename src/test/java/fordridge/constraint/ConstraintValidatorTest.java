package fordridge.constraint;

import static fordridge.constraint.ConstraintFixtures.FLEET;
import static fordridge.constraint.ConstraintFixtures.parse;
import static fordridge.constraint.ConstraintFixtures.vm;
import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Random;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

class ConstraintValidatorTest {
  private static final String NEAR = "rule n: flavour w require near service 4 per zone;\n";

  private static List<ConstraintConflict> findConflicts(
      List<PlacementConstraint> constraints, List<MachineTopology> fleet) {
    return ConstraintValidator.findConflicts(constraints, fleet, () -> false);
  }

  @Example
  void affinityContradictedByAntiAffinityIsAConflict() throws Exception {
    List<ConstraintConflict> conflicts =
        findConflicts(parse(NEAR + "rule a: all require apart service 4, 5 per zone;"), FLEET);

    assertThat(conflicts)
        .extracting(ConstraintConflict::toString)
        .anyMatch(
            text ->
                text.startsWith("rule 'n' (line 1: near service 4 per zone) and rule 'a' (line 2")
                    && text.contains("leave no allowed machines once a VM of service 4 runs"));
  }

  @Example
  void antiAffinityPerMachineDoesNotContradictAffinityPerZone() throws Exception {
    assertThat(
            findConflicts(parse(NEAR + "rule a: all require apart service 4 per machine;"), FLEET))
        .as("another machine of the zone satisfies both")
        .isEmpty();
  }

  @Example
  void unsatisfiableLabelsAreAMinimalConflict() throws Exception {
    assertThat(
            findConflicts(
                parse(
                    """
                    rule a: flavour w require on zone x;
                    rule b: service 1 require on zone y;
                    rule c: service 1 require on kind big;"""),
                FLEET))
        .extracting(conflict -> conflict.constraints().size())
        .containsExactly(2);
  }

  @Example
  void cycleOfAffinityAndAntiAffinityIsAConflict() throws Exception {
    List<PlacementConstraint> cyclic =
        parse(
            """
            rule n: flavour w require near flavour a per zone;
            rule p: flavour w require apart flavour b per zone;
            rule q: flavour b require near flavour a per zone;
            rule k: all require on not machine e;
            rule m: all require spread at most 1 per machine;""");

    List<ConstraintConflict> conflicts = findConflicts(cyclic, FLEET);

    assertThat(conflicts).hasSize(1);
    assertThat(conflicts.get(0).constraints())
        .extracting(PlacementConstraint::name)
        .containsExactlyInAnyOrder("n", "p", "q");
    assertThat(conflicts.get(0).toString())
        .contains("do not allow one VM of each class to run at the same time");
  }

  @Example
  void mutuallyAntiAffineClassesConflictOnceTooFewZonesAreListed() throws Exception {
    List<PlacementConstraint> constraints =
        parse(
            """
            rule x: flavour a require apart flavour b per zone;
            rule y: flavour a require apart flavour c per zone;
            rule z: flavour b require apart flavour c per zone;
            rule self: flavour a require apart flavour a per zone;
            rule north: customer north and flavour a require on kind std;""");

    assertThat(findConflicts(constraints, FLEET)).as("three zones for three classes").isEmpty();
    assertThat(findConflicts(constraints, FLEET.subList(0, 4)).get(0).constraints())
        .extracting(PlacementConstraint::name)
        .containsExactlyInAnyOrder("x", "y", "z");
    assertThat(findConflicts(constraints, List.of()))
        .as("without machines nothing can be concluded")
        .isEmpty();
  }

  /**
   * A set has a label conflict exactly if, before any VM runs, some class has no allowed machine.
   */
  @Property(tries = 300, seed = "8180")
  void labelConflictsAreFoundExactlyWhenAVmHasNoAllowedMachine(@ForAll long seed) throws Exception {
    List<PlacementConstraint> constraints = ConstraintFixtures.randomConstraints(new Random(seed));

    boolean hasLabelConflict =
        findConflicts(constraints, FLEET).stream()
            .anyMatch(conflict -> conflict.description().contains("no machine"));

    assertThat(hasLabelConflict)
        .as(ConstraintParser.format(constraints))
        .isEqualTo(hasVmWithoutAllowedMachine(new PlacementOracle(constraints, FLEET, List.of())));
  }

  private static boolean hasVmWithoutAllowedMachine(PlacementOracle oracle) {
    boolean isAnyWithoutMachine = false;
    for (String priorityClass : List.of("", "f0", "f1", "f2")) {
      for (long service : new long[] {-1, 0, 1, 2}) {
        isAnyWithoutMachine |=
            FLEET.stream()
                .noneMatch(machine -> oracle.isAllowed(vm(priorityClass, service), machine));
      }
    }
    return isAnyWithoutMachine;
  }
}
