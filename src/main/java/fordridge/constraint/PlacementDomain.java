package fordridge.constraint;

/**
 * One domain of the topology: a machine, a cell of a zone, or a zone. Domains of different levels
 * are never equal.
 *
 * @param level what kind of domain it is
 * @param name unique among the domains of its level, as operators read it
 */
record PlacementDomain(TopologyLevel level, String name) {
  /** The domain of a level that the machine belongs to. */
  static PlacementDomain of(MachineTopology machine, TopologyLevel level) {
    return switch (level) {
      case MACHINE -> new PlacementDomain(level, machine.name());
      case CELL -> new PlacementDomain(level, machine.zone() + "/" + machine.cell());
      case ZONE -> new PlacementDomain(level, machine.zone());
    };
  }

  @Override
  public String toString() {
    return name;
  }
}
