package fordridge.constraint;

/**
 * A domain in which VMs are counted: a machine, a cell of a zone, or a zone. Domains of different
 * levels are never equal.
 *
 * @param level the level of the domain
 * @param name unique among the domains of its level; shown to operators
 */
record PlacementDomain(TopologyLevel level, String name) {
  /** Returns the domain of a machine at a level. */
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
