package fordridge.emulator;

import java.util.concurrent.TimeUnit;

/**
 * A VM as its client sees it, over all the times that it is requested. Times are microseconds of
 * the recording.
 */
final class RequestedVm {
  /** The client's own name for it, the same over all requests. */
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

  /** It is requested once more, under a new name. */
  void markRequested(long nowUs) {
    requestCount++;
    requestName = workload + "." + requestCount;
    deadlineUs = nowUs + TimeUnit.NANOSECONDS.toMicros(startDeadlineNanos());
  }

  private long startDeadlineNanos() {
    return service.priorityClass().startDeadline().toNanos();
  }

  /** Its name in the present request. */
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

  /** It runs; true for the first time. */
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

  /** Whether a lost start does no harm, so that it may be requested again. */
  boolean isIdempotent() {
    return service.priorityClass().isIdempotent();
  }
}
