package fordridge.model;

/** A part of the cluster within which machines count as together. */
public enum TopologyDomain {
  /** No machines count as together; as a spread domain: no limit. */
  NONE,
  MACHINE,
  CELL,
  ZONE,
  CLUSTER;

  /** Whether both machines are in one domain of this kind. */
  public boolean contains(Machine first, Machine second) {
    return switch (this) {
      case NONE -> false;
      case MACHINE -> first == second;
      case CELL -> first.cell == second.cell;
      case ZONE -> first.zone.equals(second.zone);
      case CLUSTER -> true;
    };
  }
}
