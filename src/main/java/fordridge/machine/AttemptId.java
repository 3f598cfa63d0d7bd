package fordridge.machine;

/**
 * Identifies a placement attempt in the gRPC protocol. The scheduler and the machine use the same
 * id, and it stays valid across restarts of either.
 *
 * @param vmId the VM's id
 * @param number the attempt's number among the attempts of its VM
 */
public record AttemptId(String vmId, int number) {}
