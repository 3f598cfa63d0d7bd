package fordridge.constraint;

import java.util.Optional;

/**
 * One reason against placing a VM on a machine.
 *
 * @param cause the kind of reason
 * @param constraint the violated constraint; empty for causes that involve no constraint
 * @param description the reason as text for operators, without the name of the constraint
 */
public record RejectionReason(
    Cause cause, Optional<PlacementConstraint> constraint, String description) {
  /** The kind of a reason. */
  public enum Cause {
    /** The machine list does not contain the machine. */
    MACHINE_NOT_LISTED,
    /** The machine is draining and accepts no new VMs. */
    MACHINE_DRAINING,
    /**
     * A required constraint of the VM, or a required anti-affinity of other VMs to it, forbids the
     * machine.
     */
    REQUIRED_CONSTRAINT,
    /** The machine does not satisfy a preference of the VM. */
    PREFERENCE,
    /** Another machine that is allowed for the VM satisfies its preferences better. */
    BETTER_MACHINE_AVAILABLE
  }

  static RejectionReason violated(PlacementConstraint constraint, String description) {
    Cause cause = constraint.isRequired() ? Cause.REQUIRED_CONSTRAINT : Cause.PREFERENCE;
    return new RejectionReason(cause, Optional.of(constraint), description);
  }

  static RejectionReason withoutConstraint(Cause cause, String description) {
    return new RejectionReason(cause, Optional.empty(), description);
  }

  /** Text for operators: the name of the constraint, if there is one, and the description. */
  @Override
  public String toString() {
    return constraint.map(violated -> "rule '" + violated.name() + "' ").orElse("") + description;
  }
}
