package fordridge.constraint;

/**
 * The labels of a machine, as given by the machine list: its unique name, its hardware kind, and
 * the zone and cell that it belongs to. Cells are numbered within their zone.
 */
public record MachineTopology(String name, String kind, String zone, int cell) {}
