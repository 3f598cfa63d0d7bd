package fordridge.constraint;

/**
 * A machine's labels, as the machine list gives them: its unique name, its hardware kind, and the
 * zone and cell that it stands in. Cells are numbered within their zone.
 */
public record MachineTopology(String name, String kind, String zone, int cell) {}
