package fordridge.machine;

/**
 * Identifies a placement attempt on the gRPC protocol, on both sides and across restarts.
 *
 * @param vmId the VM's id
 * @param number the attempt's number among those of its VM
 */
public record AttemptId(String vmId, int number) {}
