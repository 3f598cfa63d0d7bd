package fordridge.membership;

/**
 * The record that a machine writes about itself in the store.
 *
 * @param address {@code host:port}
 * @param cell number of the cell, a failure domain within the zone
 * @param cores total cores of the machine
 * @param memory total memory of the machine, in the cluster's memory units
 * @param freeCores cores that are not reserved
 * @param incarnation number that changes each time the machine restarts
 * @param startedAtEpochMillis start time of the machine; 0 if the record does not state it
 */
public record MachineRecord(
    String address,
    String kind,
    String zone,
    int cell,
    double cores,
    double memory,
    double freeCores,
    double freeMemory,
    long incarnation,
    long startedAtEpochMillis)
    implements StoreRecord.Value {}
