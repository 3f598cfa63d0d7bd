package fordridge.constraint;

import java.util.List;
import java.util.stream.Collectors;

/**
 * Constraints that leave some VMs without any possible placement.
 *
 * @param affectedVms the VMs concerned, in the words of the constraint language
 * @param constraints a smallest set of constraints that conflict
 * @param description what the constraints together make impossible
 */
public record ConstraintConflict(
    String affectedVms, List<PlacementConstraint> constraints, String description) {
  /** The conflict in one line, with name, line and clause of each constraint. */
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
