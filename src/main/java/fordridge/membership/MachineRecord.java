package fordridge.membership;

/**
 * A machine's record as the machine wrote it.
 *
 * @param address {@code host:port}
 * @param cell number of the failure domain within its zone
 * @param cores size of the machine; memory in the cluster's memory units
 * @param freeCores cores that nobody has reserved
 * @param incarnation changes when the machine starts anew
 * @param startedAtEpochMillis when it started; 0 where it does not say
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
