package fordridge.constraint;

import fordridge.constraint.PlacementConstraint.LabelKey;
import fordridge.constraint.PlacementConstraint.Scope;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;

/** Machines, indexes and random constraints for the tests of this package. */
final class ConstraintFixtures {
  /** Two machines in zone x, two in zone y (of two cells), one in zone z. */
  static final List<MachineTopology> FLEET =
      List.of(
          new MachineTopology("a", "std", "x", 0),
          new MachineTopology("b", "big", "x", 0),
          new MachineTopology("c", "std", "y", 1),
          new MachineTopology("d", "big", "y", 2),
          new MachineTopology("e", "std", "z", 3));

  private static final List<TopologyLevel> LEVELS = List.of(TopologyLevel.values());

  private ConstraintFixtures() {}

  static List<PlacementConstraint> parse(String text) throws ConstraintSyntaxException {
    return ConstraintParser.parse(text, ConstraintParser.KnownNames.UNCHECKED);
  }

  /** Creates the index of a scheduler that does not share limits with others. */
  static ConstraintIndex indexOf(List<PlacementConstraint> constraints, List<MachineTopology> fleet)
      throws IndivisibleLimitException {
    ConstraintIndex index = new ConstraintIndex(constraints, 1);
    index.machineListReceived(fleet);
    return index;
  }

  static ConstraintIndex indexOf(String text) throws Exception {
    return indexOf(parse(text), FLEET);
  }

  /** Creates attributes of a VM without a tenant. */
  static VmAttributes vm(String priorityClass, long service) {
    return new VmAttributes("", priorityClass, service);
  }

  static List<MachineTopology> randomFleet(Random random, int machines) {
    List<MachineTopology> fleet = new ArrayList<>();
    for (int i = 0; i < machines; i++) {
      String kind = random.nextBoolean() ? "std" : "big";
      fleet.add(new MachineTopology("m" + i, kind, "z" + random.nextInt(2), random.nextInt(2)));
    }
    return fleet;
  }

  /** Returns the text of a set of 1 to 5 required constraints, without maximum skews. */
  static String randomRequiredSet(Random random) {
    StringBuilder text = new StringBuilder();
    int size = 1 + random.nextInt(5);
    for (int i = 0; i < size; i++) {
      text.append("rule r").append(i).append(": ").append(randomScope(random));
      text.append(" require ").append(randomClause(random)).append(";\n");
    }
    return text.toString();
  }

  private static String randomScope(Random random) {
    if (random.nextInt(5) == 0) {
      return "all";
    }
    return random.nextInt(4) == 0
        ? "service " + random.nextInt(2)
        : "flavour f" + random.nextInt(3);
  }

  private static String randomClause(Random random) {
    String per = " per " + LEVELS.get(random.nextInt(LEVELS.size()));
    return switch (random.nextInt(5)) {
      case 0 -> "near " + randomScope(random) + per;
      case 1 -> "apart " + randomScope(random) + per;
      case 2 -> {
        int limit = 1 + random.nextInt(2);
        yield "spread at most " + limit + (random.nextBoolean() ? " of each service" : "") + per;
      }
      case 3 -> "on kind " + (random.nextBoolean() ? "std" : "big");
      default -> "on not zone z" + random.nextInt(2);
    };
  }

  /** Returns 1 to 5 constraints with any kind of clause, required and preferred. */
  static List<PlacementConstraint> randomConstraints(Random random) {
    return randomConstraints(random, 1 + random.nextInt(5));
  }

  static List<PlacementConstraint> randomConstraints(Random random, int size) {
    List<PlacementConstraint> constraints = new ArrayList<>();
    for (int i = 0; i < size; i++) {
      constraints.add(randomConstraint(random, i));
    }
    return constraints;
  }

  private static PlacementConstraint randomConstraint(Random random, int number) {
    Scope[] scopes = {
      Scope.ALL,
      new Scope(Set.of(), Set.of("f" + random.nextInt(3)), Set.of()),
      new Scope(Set.of(), Set.of(), Set.of("" + random.nextInt(3))),
      new Scope(Set.of(), Set.of("f0", "f1"), Set.of("1", "2"))
    };
    Scope scope = scopes[random.nextInt(4)];
    Scope other = scopes[1 + random.nextInt(3)];
    TopologyLevel level = LEVELS.get(random.nextInt(LEVELS.size()));
    PlacementConstraint.Clause clause = randomClause(random, other, level);
    double weight = random.nextInt(4) == 0 ? 1 + random.nextInt(9) : 0;
    return new PlacementConstraint("r" + number, scope, weight, clause, number + 1);
  }

  private static PlacementConstraint.Clause randomClause(
      Random random, Scope other, TopologyLevel level) {
    return switch (random.nextInt(5)) {
      case 0 -> new PlacementConstraint.Affinity(other, level);
      case 1 -> new PlacementConstraint.AntiAffinity(other, level);
      case 2 ->
          new PlacementConstraint.SpreadLimit(
              1 + random.nextInt(3), random.nextBoolean(), level, false);
      case 3 ->
          new PlacementConstraint.SpreadSkew(1 + random.nextInt(2), random.nextBoolean(), level);
      default -> new PlacementConstraint.MachineLabels(randomPredicate(random, 2));
    };
  }

  private static PlacementConstraint.LabelPredicate randomPredicate(Random random, int depth) {
    return switch (depth == 0 ? 3 : random.nextInt(4)) {
      case 0 -> new PlacementConstraint.Not(randomPredicate(random, depth - 1));
      case 1 ->
          new PlacementConstraint.And(
              randomPredicate(random, depth - 1), randomPredicate(random, depth - 1));
      case 2 ->
          new PlacementConstraint.Or(
              randomPredicate(random, depth - 1), randomPredicate(random, depth - 1));
      default -> randomLabel(random);
    };
  }

  private static PlacementConstraint.Label randomLabel(Random random) {
    return random.nextBoolean()
        ? new PlacementConstraint.Label(LabelKey.KIND, Set.of(random.nextBoolean() ? "std" : "big"))
        : new PlacementConstraint.Label(
            LabelKey.ZONE, Set.of("x", random.nextBoolean() ? "y" : "z"));
  }
}
