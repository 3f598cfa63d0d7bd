package fordridge.emulator.invariant;

import java.util.Locale;

/** A part of the fleet within which VMs are spread, or idempotency keys are known. */
enum FailureDomain {
  /** The domain is not used: VMs are not spread. */
  OFF,
  MACHINE,
  CELL,
  ZONE,
  /** The whole fleet is one domain. */
  ALL;

  static FailureDomain of(String text) {
    for (FailureDomain domain : values()) {
      if (domain.name().toLowerCase(Locale.ROOT).equals(text)) {
        return domain;
      }
    }
    throw new IllegalArgumentException(
        "failure domain '" + text + "' is not one of off, machine, cell, zone, all");
  }

  /** Whether both machines are in one domain. */
  boolean isSame(ObservedMachine first, ObservedMachine second) {
    return switch (this) {
      case ALL -> true;
      case ZONE -> first.zone.equals(second.zone);
      case MACHINE -> first == second;
      case CELL, OFF -> first.cell == second.cell;
    };
  }

  /** The name of the domain of this kind that the machine is in. */
  String nameFor(ObservedMachine machine) {
    return switch (this) {
      case MACHINE -> machine.name;
      case ZONE -> machine.zone;
      case CELL, OFF, ALL -> "cell " + machine.cell;
    };
  }
}
