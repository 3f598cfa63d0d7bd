package fordridge.constraint;

/**
 * One domain of the topology: a machine, a cell of a zone, or a zone. Domains of different levels
 * are never equal.
 *
 * @param level what kind of domain it is
 * @param name unique among the domains of its level, as operators read it
 */
record TopologyDomain(TopologyLevel level, String name) {
  /** The domain of a level that the machine belongs to. */
  static TopologyDomain of(MachineTopology machine, TopologyLevel level) {
    return switch (level) {
      case MACHINE -> new TopologyDomain(level, machine.name());
      case CELL -> new TopologyDomain(level, machine.zone() + "/" + machine.cell());
      case ZONE -> new TopologyDomain(level, machine.zone());
    };
  }

  @Override
  public String toString() {
    return name;
  }
}
