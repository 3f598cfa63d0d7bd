package fordridge.constraint;

import static fordridge.constraint.ConstraintFixtures.indexOf;
import static fordridge.constraint.ConstraintFixtures.parse;
import static fordridge.constraint.ConstraintFixtures.vm;
import static org.assertj.core.api.Assertions.assertThat;

import fordridge.constraint.FeasibilityResult.Verdict;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

class GroupFeasibilityTest {
  private static final double UNLIMITED_CORES = 1e6;
  private static final List<MachineTopology> FLEET = ConstraintFixtures.FLEET.subList(0, 4);

  private static ConstraintIndex index(String text) throws Exception {
    return indexOf(parse(text), FLEET);
  }

  /** Returns one member for each priority class, each with 8 cores and a service of its own. */
  private static List<GroupMember> group(String... priorityClasses) {
    List<GroupMember> group = new ArrayList<>();
    for (String priorityClass : priorityClasses) {
      int number = group.size();
      group.add(new GroupMember("p" + number, vm(priorityClass, number), 8, 8));
    }
    return group;
  }

  private static FeasibilityResult solve(ConstraintIndex index, List<GroupMember> group) {
    return index.groupFeasibility(group, machine -> new MachineCapacity(16, 16)).solve(() -> false);
  }

  private static List<String> conflictNames(FeasibilityResult result) {
    return result.conflictingConstraints().stream().map(PlacementConstraint::name).toList();
  }

  @Example
  void cycleOfAffinityAndAntiAffinityIsInfeasible() throws Exception {
    String set =
        """
        rule n: flavour w require near flavour a per zone;
        rule p: flavour w require apart flavour b per zone;
        rule q: flavour b require near flavour a per zone;
        rule r: flavour a require spread at most 4 per cell;
        """;
    FeasibilityResult withOneTarget = solve(index(set), group("w", "a", "b"));
    assertThat(withOneTarget.verdict()).isEqualTo(Verdict.INFEASIBLE);
    assertThat(conflictNames(withOneTarget)).containsExactlyInAnyOrder("n", "p", "q");
    assertThat(withOneTarget.isCapacityExceeded()).isFalse();
    assertThat(solve(index(set), group("w", "a", "b", "a")).verdict()).isEqualTo(Verdict.FEASIBLE);
  }

  @Example
  void groupLargerThanAnyMachineExceedsCapacity() throws Exception {
    ConstraintIndex index =
        index(
            """
            rule n: flavour w require near flavour w per machine;
            rule s: flavour w require on kind std;""");
    FeasibilityResult result = solve(index, group("w", "w", "w"));
    assertThat(result.verdict()).isEqualTo(Verdict.INFEASIBLE);
    assertThat(result.isCapacityExceeded()).isTrue();
    assertThat(conflictNames(result)).containsExactly("n");
    assertThat(solve(index, group("w", "w")).verdict()).isEqualTo(Verdict.FEASIBLE);
    assertThat(
            solve(index(""), group("v", "v", "v", "v", "v", "v", "v", "v", "v"))
                .isCapacityExceeded())
        .as("nine members of 8 cores on four machines of 16 cores")
        .isTrue();
  }

  @Example
  void runningVmsCountTowardsSpreadLimits() throws Exception {
    ConstraintIndex index =
        index(
            """
            rule m: flavour w require spread at most 1 per zone;
            rule k: all require on kind std;""");
    assertThat(solve(index, group("w", "w")).verdict()).isEqualTo(Verdict.FEASIBLE);
    index.attemptSent("x", vm("w", 9), "b");
    FeasibilityResult result = solve(index, group("w", "w"));
    assertThat(result.verdict()).isEqualTo(Verdict.INFEASIBLE);
    assertThat(conflictNames(result)).containsExactly("m");
    index.attemptEnded("x");
    index.machineListReceived(FLEET.subList(0, 2));
    assertThat(conflictNames(solve(index, group("w", "w"))))
        .as("one zone is no longer listed")
        .containsExactly("m");
  }

  @Example
  void stoppedSearchIsNotReportedAsFeasible() throws Exception {
    ConstraintIndex index = index("rule m: flavour w require spread at most 1 per cell;");
    assertThat(
            index
                .groupFeasibility(group("w", "w", "w", "w"), machine -> new MachineCapacity(16, 16))
                .solve(() -> true)
                .verdict())
        .isNotEqualTo(Verdict.FEASIBLE);
  }

  /**
   * Compares the solver with an exhaustive search: the verdicts agree, a feasible placement
   * satisfies every constraint, and every constraint of a reported conflict is needed for it.
   */
  @Property(tries = 400, seed = "4711")
  void agreesWithExhaustiveSearch(@ForAll long seed) throws Exception {
    Random random = new Random(seed);
    List<PlacementConstraint> constraints = parse(ConstraintFixtures.randomRequiredSet(random));
    List<MachineTopology> fleet = ConstraintFixtures.randomFleet(random, 1 + random.nextInt(5));
    ConstraintIndex index = indexOf(constraints, fleet);
    List<GroupMember> running = new ArrayList<>();
    Map<String, String> machineByRunning = new LinkedHashMap<>();
    for (int i = random.nextInt(3); i > 0; i--) {
      GroupMember runningVm = randomMember("old" + i, random, 1);
      String machine = "m" + random.nextInt(fleet.size());
      running.add(runningVm);
      machineByRunning.put(runningVm.id(), machine);
      index.attemptSent(runningVm.id(), runningVm.vm(), machine);
    }
    List<GroupMember> group = new ArrayList<>();
    for (int i = 1 + random.nextInt(4); i > 0; i--) {
      group.add(randomMember("new" + i, random, 1 + random.nextInt(3)));
    }
    double cores = 2 + random.nextInt(4);

    FeasibilityResult result =
        index
            .groupFeasibility(group, machine -> new MachineCapacity(cores, 100))
            .solve(() -> false);

    GroupOracle oracle = new GroupOracle(constraints, fleet, running, group, cores);
    assertAgrees(result, oracle, machineByRunning);
  }

  private static GroupMember randomMember(String id, Random random, double cores) {
    VmAttributes vm = vm("f" + random.nextInt(3), random.nextInt(2));
    return new GroupMember(id, vm, cores, 1);
  }

  private static void assertAgrees(
      FeasibilityResult result, GroupOracle oracle, Map<String, String> machineByRunning) {
    boolean isFeasible = oracle.hasPlacement(machineByRunning);
    assertThat(result.verdict())
        .as(oracle + " " + machineByRunning)
        .isEqualTo(isFeasible ? Verdict.FEASIBLE : Verdict.INFEASIBLE);
    if (isFeasible) {
      Map<String, String> machineByVm = new LinkedHashMap<>(machineByRunning);
      machineByVm.putAll(result.machineByMember());
      assertThat(oracle.isSatisfiedBy(machineByVm)).as(oracle + " " + result).isTrue();
    } else {
      assertConflictIsMinimal(result, oracle, machineByRunning);
    }
  }

  private static void assertConflictIsMinimal(
      FeasibilityResult result, GroupOracle oracle, Map<String, String> machineByRunning) {
    double cores = result.isCapacityExceeded() ? oracle.coresPerMachine() : UNLIMITED_CORES;
    List<PlacementConstraint> conflicting = result.conflictingConstraints();
    assertThat(oracle.withConstraintsAndCores(conflicting, cores).hasPlacement(machineByRunning))
        .as("the reported constraints conflict: " + oracle)
        .isFalse();
    for (PlacementConstraint constraint : conflicting) {
      List<PlacementConstraint> others = new ArrayList<>(conflicting);
      others.remove(constraint);
      assertThat(oracle.withConstraintsAndCores(others, cores).hasPlacement(machineByRunning))
          .as(oracle + ": " + constraint + " is needed for the conflict")
          .isTrue();
    }
  }
}
