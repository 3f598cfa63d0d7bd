package fordridge.emulator.invariant;

import java.util.Locale;

/** The level of the topology at which VMs are spread or idempotency keys are shared. */
enum FailureDomain {
  /** No domain: VMs are not spread. */
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
        "failure domain '"
            + text
            + "' in the recording is not one of off, machine, cell, zone, all");
  }

  /** Whether both machines are in the same domain at this level. */
  boolean containsBoth(ObservedMachine first, ObservedMachine second) {
    return switch (this) {
      case ALL -> true;
      case ZONE -> first.zone.equals(second.zone);
      case MACHINE -> first == second;
      case CELL, OFF -> first.cell == second.cell;
    };
  }

  /** The name of the machine's domain at this level. */
  String domainName(ObservedMachine machine) {
    return switch (this) {
      case MACHINE -> machine.name;
      case ZONE -> machine.zone;
      case CELL, OFF, ALL -> "cell " + machine.cell;
    };
  }
}
