package fordridge.constraint;

/**
 * One VM of a group that is to run all at once.
 *
 * @param id unique within the group
 * @param vm what constraints select it by
 * @param cores requested cores
 * @param memory requested memory, in the unit of {@link MachineCapacity}
 */
public record GroupMember(String id, VmAttributes vm, double cores, double memory) {}
