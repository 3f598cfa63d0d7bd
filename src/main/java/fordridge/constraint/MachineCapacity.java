package fordridge.constraint;

/**
 * Capacity of one machine that is available to a group.
 *
 * @param cores available cores
 * @param memory available memory, in the unit of the members' requests
 */
public record MachineCapacity(double cores, double memory) {}
