package fordridge.constraint;

import java.util.Optional;

/**
 * One reason that speaks against placing a VM on a machine.
 *
 * @param cause what kind of reason it is
 * @param constraint the constraint that is violated; empty for causes that concern no constraint
 * @param description the reason in words for operators, without the constraint's name
 */
public record RejectionReason(
    Cause cause, Optional<PlacementConstraint> constraint, String description) {
  /** The kinds of reasons. */
  public enum Cause {
    /** The machine list has no such machine. */
    MACHINE_NOT_LISTED,
    /** The machine is draining and takes nothing new. */
    MACHINE_DRAINING,
    /** A required constraint on the VM itself, or one that keeps other VMs apart from it. */
    REQUIRED_CONSTRAINT,
    /** A preference of the VM is not met there. */
    PREFERENCE,
    /** Another machine that is open to the VM meets its preferences better. */
    BETTER_MACHINE_AVAILABLE
  }

  static RejectionReason violated(PlacementConstraint constraint, String description) {
    Cause cause = constraint.isRequired() ? Cause.REQUIRED_CONSTRAINT : Cause.PREFERENCE;
    return new RejectionReason(cause, Optional.of(constraint), description);
  }

  static RejectionReason withoutConstraint(Cause cause, String description) {
    return new RejectionReason(cause, Optional.empty(), description);
  }

  /** The reason for operators: the constraint's name, where there is one, and the description. */
  @Override
  public String toString() {
    return constraint.map(violated -> "rule '" + violated.name() + "' ").orElse("") + description;
  }
}
