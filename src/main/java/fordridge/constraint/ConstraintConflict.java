package fordridge.constraint;

import java.util.List;
import java.util.stream.Collectors;

/**
 * Constraints that together allow no placement of some VMs.
 *
 * @param affectedVms the affected VMs, as selectors of the constraint language
 * @param constraints a minimal set of conflicting constraints
 * @param description what the constraints make impossible, as the predicate of a sentence whose
 *     subject is the constraints
 */
public record ConstraintConflict(
    String affectedVms, List<PlacementConstraint> constraints, String description) {
  /** The conflict on one line, with the name, line number and clause of each constraint. */
  @Override
  public String toString() {
    return constraints.stream()
            .map(
                constraint ->
                    "rule '"
                        + constraint.name()
                        + "' (line "
                        + constraint.line()
                        + ": "
                        + constraint.clause()
                        + ")")
            .collect(Collectors.joining(" and "))
        + " "
        + description
        + ", for VMs of "
        + affectedVms;
  }
}
