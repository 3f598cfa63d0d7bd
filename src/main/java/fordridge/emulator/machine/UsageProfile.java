package fordridge.emulator.machine;

/**
 * How the VMs of a priority class use what they request.
 *
 * @param cores mean share of the requested cores
 * @param memory mean share of the requested memory
 * @param sigma how much VMs differ
 * @param fullSpeedUtilization the machine's utilization up to which VMs are served in full
 * @param degradationSpan further utilization over which service falls to nothing
 */
public record UsageProfile(
    double cores,
    double memory,
    double sigma,
    double fullSpeedUtilization,
    double degradationSpan) {

  /** The share of full service at a utilization. */
  double serviceShare(double utilization) {
    if (degradationSpan <= 0) {
      return 1;
    }
    return Math.max(0, Math.min(1, 1 - (utilization - fullSpeedUtilization) / degradationSpan));
  }
}
