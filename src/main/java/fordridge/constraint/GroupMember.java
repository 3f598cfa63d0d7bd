package fordridge.constraint;

/**
 * One VM of a group whose members are placed together.
 *
 * @param id unique within the group
 * @param vm the attributes by which constraints select it
 * @param cores requested cores
 * @param memory requested memory, in the unit of {@link MachineCapacity}
 */
public record GroupMember(String id, VmAttributes vm, double cores, double memory) {}
