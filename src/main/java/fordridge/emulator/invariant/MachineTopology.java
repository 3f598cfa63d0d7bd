package fordridge.emulator.invariant;

import fordridge.constraint.PlacementConstraint;
import fordridge.constraint.PlacementConstraint.Domain;

/** The labels of a machine that constraints refer to. */
record MachineTopology(String name, String kind, String zone, long cell) {

  /** The name of the domain that the machine is in. */
  String domain(Domain per) {
    return switch (per) {
      case MACHINE -> name;
      case ZONE -> zone;
      default -> zone + "/" + cell;
    };
  }

  /** Whether the labels satisfy a constraint's predicate. */
  boolean satisfies(PlacementConstraint.Predicate predicate) {
    if (predicate instanceof PlacementConstraint.Label label) {
      return label.values().contains(label(label.field()));
    }
    if (predicate instanceof PlacementConstraint.Not not) {
      return !satisfies(not.of());
    }
    if (predicate instanceof PlacementConstraint.Both both) {
      return satisfies(both.a()) && satisfies(both.b());
    }
    PlacementConstraint.Either either = (PlacementConstraint.Either) predicate;
    return satisfies(either.a()) || satisfies(either.b());
  }

  private String label(String field) {
    return switch (field) {
      case "kind" -> kind;
      case "zone" -> zone;
      case "cell" -> Long.toString(cell);
      default -> name;
    };
  }
}
