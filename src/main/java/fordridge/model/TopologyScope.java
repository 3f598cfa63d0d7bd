package fordridge.model;

/** A level of the topology, at which machines belong to the same domain or not. */
public enum TopologyScope {
  /** No two machines are in the same domain; as a spread domain, this means no limit. */
  NONE,
  MACHINE,
  CELL,
  ZONE,
  CLUSTER;

  /** Whether both machines are in the same domain at this level. */
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
