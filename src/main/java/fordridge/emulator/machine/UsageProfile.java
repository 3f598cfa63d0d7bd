package fordridge.emulator.machine;

/**
 * How the VMs of a priority class use the resources that they request.
 *
 * @param cores the mean used share of the requested cores
 * @param memory the mean used share of the requested memory
 * @param sigma how much the used shares vary between VMs; 0 for no variation
 * @param fullSpeedUtilization the highest core utilization of the machine at which VMs get full
 *     service
 * @param degradationSpan the further utilization over which the service falls linearly to nothing;
 *     0 for no degradation
 */
public record UsageProfile(
    double cores,
    double memory,
    double sigma,
    double fullSpeedUtilization,
    double degradationSpan) {

  /** The share of full service that a VM gets at a core utilization of its machine. */
  double serviceShare(double utilization) {
    if (degradationSpan <= 0) {
      return 1;
    }
    return Math.max(0, Math.min(1, 1 - (utilization - fullSpeedUtilization) / degradationSpan));
  }
}
