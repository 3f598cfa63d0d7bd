package fordridge.model;

import java.time.Duration;

/**
 * Settings of a priority class.
 *
 * @param name as requests name it
 * @param rank higher goes first
 * @param retrySafety whether a VM may be offered again after an attempt that may have run
 * @param idempotencyScope where an idempotency key is known
 * @param deduplicationWindow for how long after the first attempt the key is known
 * @param startObjective latency objective of a start, from request to running
 * @param startDeadline the start deadline: the client gives up after it
 * @param requiredKind the only kind of machine that will do, or null
 * @param spreadDomain where the number of VMs of one service is limited
 * @param maxPerDomain that limit
 * @param fullSpeedUtilization up to this utilization of cores VMs run at full speed
 * @param degradationSpan utilization past that at which nothing is left of their speed
 * @param startValueSeconds what a start is worth, in seconds of running
 */
public record PriorityClass(
    String name,
    int rank,
    RetrySafety retrySafety,
    TopologyDomain idempotencyScope,
    Duration deduplicationWindow,
    Duration startObjective,
    Duration startDeadline,
    String requiredKind,
    TopologyDomain spreadDomain,
    int maxPerDomain,
    double fullSpeedUtilization,
    double degradationSpan,
    double startValueSeconds) {

  /** Whether a machine of that kind will do. */
  public boolean allowsKind(String kind) {
    return requiredKind == null || requiredKind.equals(kind);
  }

  /** Whether VMs of one service may be anywhere. */
  public boolean isSpreadUnlimited() {
    return spreadDomain == TopologyDomain.NONE;
  }

  /** Whether its idempotency keys are known on all machines. */
  public boolean isIdempotentWithKeyAnywhere() {
    return retrySafety == RetrySafety.IDEMPOTENT_WITH_KEY
        && idempotencyScope == TopologyDomain.CLUSTER;
  }

  /** Whether it may run at most once, even with a key. */
  public boolean isNonIdempotent() {
    return retrySafety == RetrySafety.NON_IDEMPOTENT;
  }

  /** Whether a VM may be offered again whatever became of its earlier attempts. */
  public boolean isIdempotent() {
    return retrySafety == RetrySafety.IDEMPOTENT;
  }
}
