package fordridge.emulator.invariant;

import fordridge.constraint.PlacementConstraint;
import fordridge.constraint.TopologyLevel;

/** The recorded labels of a machine to which constraints refer. */
record ObservedTopology(String name, String kind, String zone, long cell) {

  /** The name of the machine's domain at a level of the topology. */
  String domain(TopologyLevel level) {
    return switch (level) {
      case MACHINE -> name;
      case ZONE -> zone;
      case CELL -> zone + "/" + cell;
    };
  }

  /** Whether the labels satisfy a constraint's predicate. */
  boolean satisfies(PlacementConstraint.LabelPredicate predicate) {
    if (predicate instanceof PlacementConstraint.Label label) {
      return label.values().contains(label(label.key()));
    }
    if (predicate instanceof PlacementConstraint.Not not) {
      return !satisfies(not.negated());
    }
    if (predicate instanceof PlacementConstraint.And and) {
      return satisfies(and.left()) && satisfies(and.right());
    }
    PlacementConstraint.Or or = (PlacementConstraint.Or) predicate;
    return satisfies(or.left()) || satisfies(or.right());
  }

  private String label(PlacementConstraint.LabelKey key) {
    return switch (key) {
      case KIND -> kind;
      case ZONE -> zone;
      case CELL -> Long.toString(cell);
      case MACHINE -> name;
    };
  }
}
