package fordridge.model;

import java.time.Duration;

/**
 * The settings of a priority class.
 *
 * @param name the name that requests use
 * @param rank VMs of a higher rank are placed first
 * @param retrySafety whether a VM may be offered again after an attempt that may have run
 * @param idempotencyScope the domain whose machines share their idempotency keys
 * @param deduplicationWindow how long after the first attempt the key is kept
 * @param startObjective latency objective of a start, from request to running
 * @param startDeadline time after which the client gives up
 * @param requiredKind the only kind of machine that the VMs can run on, or null
 * @param spreadScope domain in which the number of VMs of one service is limited
 * @param maxPerDomain highest number of VMs of one service in a spread domain
 * @param fullSpeedUtilization core utilization of a machine up to which VMs run at full speed
 * @param degradationSpan further utilization over which their speed falls to 0
 * @param startValueSeconds value of a start, in seconds of running
 */
public record PriorityClass(
    String name,
    int rank,
    RetrySafety retrySafety,
    TopologyScope idempotencyScope,
    Duration deduplicationWindow,
    Duration startObjective,
    Duration startDeadline,
    String requiredKind,
    TopologyScope spreadScope,
    int maxPerDomain,
    double fullSpeedUtilization,
    double degradationSpan,
    double startValueSeconds) {

  /** Whether its VMs can run on machines of the kind. */
  public boolean allowsKind(String kind) {
    return requiredKind == null || requiredKind.equals(kind);
  }

  /** Whether the number of VMs of a service is not limited in any domain. */
  public boolean isSpreadUnlimited() {
    return spreadScope == TopologyScope.NONE;
  }

  /** Whether all machines of the cluster share its idempotency keys. */
  public boolean isIdempotentWithKeyAnywhere() {
    return retrySafety == RetrySafety.IDEMPOTENT_WITH_KEY
        && idempotencyScope == TopologyScope.CLUSTER;
  }

  /** Whether a VM must not be offered again after an attempt that may have run it. */
  public boolean isNonIdempotent() {
    return retrySafety == RetrySafety.NON_IDEMPOTENT;
  }

  /** Whether a VM may be offered again whatever the outcome of its earlier attempts. */
  public boolean isIdempotent() {
    return retrySafety == RetrySafety.IDEMPOTENT;
  }
}
