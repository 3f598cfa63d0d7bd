package fordridge.emulator;

import java.util.concurrent.TimeUnit;

/**
 * A VM from its client's point of view, across all requests for it. Times are in microseconds of
 * the recording's clock.
 */
final class RequestedVm {
  /** The client's name for the VM, the same in all requests. */
  final String workload;

  final ServiceProfile service;
  private final long firstRequestedAtUs;
  private long remainingLifeUs;
  private int requestCount;
  private String requestName = "";
  private long deadlineUs;
  private boolean hasRun;
  private long runningSinceUs;

  RequestedVm(String workload, ServiceProfile service, long nowUs, long lifeUs) {
    this.workload = workload;
    this.service = service;
    firstRequestedAtUs = nowUs;
    remainingLifeUs = lifeUs;
  }

  /** Starts a further request, with a new name and deadline. */
  void markRequested(long nowUs) {
    requestCount++;
    requestName = workload + "." + requestCount;
    deadlineUs = nowUs + TimeUnit.NANOSECONDS.toMicros(startDeadlineNanos());
  }

  private long startDeadlineNanos() {
    return service.priorityClass().startDeadline().toNanos();
  }

  /** The name of the VM in the current request. */
  String requestName() {
    return requestName;
  }

  int requestCount() {
    return requestCount;
  }

  long timeLeftUs(long nowUs) {
    return deadlineUs - nowUs;
  }

  long remainingLifeUs() {
    return remainingLifeUs;
  }

  /** Marks the VM as running; returns true for the first time. */
  boolean markRunning(long nowUs) {
    runningSinceUs = nowUs;
    boolean isFirst = !hasRun;
    hasRun = true;
    return isFirst;
  }

  long sinceFirstRequestUs(long nowUs) {
    return nowUs - firstRequestedAtUs;
  }

  void markEnded(long nowUs) {
    remainingLifeUs -= nowUs - runningSinceUs;
  }

  /** Whether a second run of the VM does no harm, so that it may be requested again. */
  boolean isIdempotent() {
    return service.priorityClass().isIdempotent();
  }
}
