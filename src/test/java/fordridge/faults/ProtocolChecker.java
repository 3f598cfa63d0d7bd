package fordridge.faults;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Checks what the scheduler owes each request: one response in time, a notice when the VM ends, and
 * the release of VMs that no client owns. It knows only what the peers sent and received, and the
 * rules of the protocol's documentation. Thread-safe. All times are of the monotonic clock, in
 * milliseconds since the harness started.
 */
final class ProtocolChecker {
  /** The protocol allows 500 ms past the deadline; the rest is slack for a busy test host. */
  private static final long ANSWER_SLACK_MILLIS = 500 + 250;

  /** The protocol allows 1 s from the machine's message to the notice; the rest is slack. */
  private static final long NOTICE_LIMIT_MILLIS = 1000 + 50 + 400;

  private static final long ATTEMPT_AFTER_CLIENT_LEFT_MILLIS = 100 + 250;
  private static final long DRAIN_GRACE_MILLIS = 500 + 50 + 250;
  private static final long TIME_LEFT_SLACK_MILLIS = 150 + 100;

  /** A message written longer ago than this was read, even by a scheduler on a busy test host. */
  private static final long MAX_READ_DELAY_MILLIS = 250;

  private final long startNanos = System.nanoTime();
  private final Map<String, TrackedRequest> requests = new HashMap<>();
  private final Map<String, Long> drainAnnouncedAt = new HashMap<>();
  private final List<String> violations = new ArrayList<>();
  private boolean allowsFalseEndNotices;
  private long requestDelayMillis;
  private long clockErrorMillis;
  private int accepted;
  private int rejected;

  long now() {
    return (System.nanoTime() - startNanos) / 1_000_000;
  }

  /** Requests are delayed by this time on their way to the scheduler, which can't know of it. */
  synchronized void requestsDelayed(long millis) {
    requestDelayMillis += millis;
  }

  /** The scheduler's monotonic clock lags by up to this time while it runs, which it can't know. */
  synchronized void clocksMetered(long millis) {
    clockErrorMillis = Math.max(clockErrorMillis, millis);
  }

  /** The scheduler was stopped or absent for this time: all pending obligations are due later. */
  synchronized void schedulerPaused(long millis) {
    for (TrackedRequest request : requests.values()) {
      request.deadline += millis;
      for (TrackedRun run : request.runs.values()) {
        run.noticeDueAt += millis;
        run.releaseDueAt += run.releaseDueAt > 0 ? millis : 0;
      }
    }
    drainAnnouncedAt.replaceAll((machine, at) -> at + millis);
  }

  synchronized void requestSent(String id, long timeLeftMillis, boolean isRepeatable) {
    TrackedRequest request = new TrackedRequest();
    request.isRepeatable = isRepeatable;
    request.sentAt = now();
    request.deadline = request.sentAt + timeLeftMillis + ANSWER_SLACK_MILLIS;
    request.isDelivered = true;
    requests.put(id, request);
  }

  /** The client has a VM that was accepted before the harness started. */
  synchronized void existingVmAdded(String id, String machine, boolean isRepeatable) {
    TrackedRequest request = new TrackedRequest();
    request.isRepeatable = isRepeatable;
    request.isAnswered = true;
    request.isAccepted = true;
    request.machine = machine;
    requests.put(id, request);
  }

  /**
   * The request did not reach the scheduler, or was sent as its connection closed: nothing is due.
   */
  synchronized void requestNotDelivered(String id) {
    TrackedRequest request = requests.get(id);
    if (request != null) {
      request.isDelivered = false;
    }
  }

  /** A final response reached the client. */
  synchronized void responseReceived(String id, boolean isAcceptance, String machine) {
    TrackedRequest request = requests.get(id);
    if (request == null) {
      violations.add(now() + " " + id + ": response to a request that no client sent");
      return;
    }
    if (request.isAnswered) {
      violations.add(now() + " " + id + ": second response to the request");
    }
    if (request.clientLeftAt < 0 && !request.isExempt && now() > request.deadline) {
      violations.add(
          now()
              + " "
              + id
              + ": late response, sent at "
              + request.sentAt
              + ", due "
              + request.deadline);
    }
    request.isAnswered = true;
    request.isAccepted = isAcceptance;
    accepted += isAcceptance ? 1 : 0;
    rejected += isAcceptance ? 0 : 1;
    request.machine = machine;
    requireReleaseOfUnownedRuns(request);
    if (isAcceptance && !request.runs.containsKey(machine)) {
      violations.add(
          now() + " " + id + ": acceptance names a machine that did not accept the VM: " + machine);
    }
  }

  /**
   * Requires the release of all runs of an answered request but the one that its client was told.
   */
  private void requireReleaseOfUnownedRuns(TrackedRequest request) {
    request.runs.forEach(
        (machine, run) -> {
          boolean isOwned = request.isAccepted && machine.equals(request.machine);
          if (!isOwned && !request.isExempt) {
            run.requireRelease(now());
          }
        });
  }

  /** The client withdrew the request on its open connection: no client owns its runs. */
  synchronized void requestWithdrawn(String id) {
    TrackedRequest request = requests.get(id);
    request.clientLeftAt = now();
    request.isWithdrawn = true;
    request.runs.values().forEach(run -> run.requireRelease(now()));
  }

  /** The process has ended, and its state on VMs that no client owns is lost. */
  synchronized void schedulerEnded() {
    for (TrackedRequest request : requests.values()) {
      request.isExempt |= request.isWithdrawn;
      request.runs.values().forEach(run -> run.releaseDueAt = 0);
    }
  }

  /** The client gave up the request, or its connection to the scheduler was reset. */
  synchronized void clientLeft(String id) {
    TrackedRequest request = requests.get(id);
    if (request != null && request.clientLeftAt < 0 && !request.isAnswered) {
      request.clientLeftAt = now();
    }
  }

  /** The client's connection was lost without a FIN or RST, which the scheduler can't know. */
  synchronized void clientLostSilently(String id) {
    TrackedRequest request = requests.get(id);
    if (request != null) {
      request.isExempt = true;
    }
  }

  /** Whether the client may have missed the response, as its connection was lost. */
  synchronized boolean mayHaveMissedResponse(String id) {
    TrackedRequest request = requests.get(id);
    return request != null && (request.isExempt || request.clientLeftAt >= 0);
  }

  /** The scheduler closed a connection on which this request was open. */
  synchronized void connectionClosedUnanswered(String id) {
    TrackedRequest request = requests.get(id);
    if (request != null && request.isDelivered && !request.isAnswered && request.clientLeftAt < 0) {
      violations.add(
          now() + " " + id + ": connection closed without a response, sent at " + request.sentAt);
      request.isExempt = true;
    }
  }

  /** The scheduler was killed while the request was pending. */
  synchronized void schedulerKilledUnanswered(String id) {
    TrackedRequest request = requests.get(id);
    if (request != null && !request.isAnswered) {
      request.isExempt = true;
      request.clientLeftAt = now();
    }
  }

  /** A machine reset the connection of an offer before its answer was sent. */
  synchronized void answerLost(String id) {
    TrackedRequest request = requests.get(id);
    if (request != null) {
      request.wasAnswerLost = true;
    }
  }

  /**
   * A machine received a complete request.
   *
   * @param at when its last byte was read, in milliseconds of {@link #now}
   * @param mayBeDelayed whether the request may have been delayed at the machine's host after it
   *     was sent, for an unknown time
   */
  synchronized void attemptReceived(
      String id, String machine, long timeLeftMillis, long at, boolean mayBeDelayed) {
    TrackedRequest request = requests.get(id);
    if (request == null) {
      violations.add(now() + " " + id + ": " + machine + " received a request that no client sent");
      return;
    }
    if (request.clientLeftAt >= 0 && at > request.clientLeftAt + ATTEMPT_AFTER_CLIENT_LEFT_MILLIS) {
      violations.add(
          at
              + " "
              + id
              + ": sent to "
              + machine
              + " after its client left at "
              + request.clientLeftAt);
    }
    long actualTimeLeft = request.deadline - ANSWER_SLACK_MILLIS - at;
    long stalled = StallMonitor.longestMillis();
    long allowance = TIME_LEFT_SLACK_MILLIS + requestDelayMillis + clockErrorMillis + stalled;
    if (!mayBeDelayed && timeLeftMillis > actualTimeLeft + allowance) {
      violations.add(
          at
              + " "
              + id
              + ": offered with "
              + timeLeftMillis
              + " ms left, but its client has "
              + actualTimeLeft
              + " ms (longest stall of the test process: "
              + stalled
              + " ms)");
    }
    Long announcedAt = drainAnnouncedAt.get(machine);
    if (announcedAt != null && at > announcedAt + DRAIN_GRACE_MILLIS) {
      violations.add(
          at + " " + id + ": sent to " + machine + ", whose drain was announced at " + announcedAt);
    }
  }

  /** The machine accepted the VM and runs it. */
  synchronized void vmStarted(String id, String machine) {
    TrackedRequest request = requests.get(id);
    request.runs.put(machine, new TrackedRun());
    if (request.isAnswered || request.isWithdrawn) {
      requireReleaseOfUnownedRuns(request);
    }
    if (request.runs.size() > 1 && !request.isRepeatable) {
      violations.add(
          now() + " " + id + ": accepted by more than one machine: " + request.runs.keySet());
    }
  }

  /** The machine wrote an answer or report on the running VM to the scheduler. */
  synchronized void vmReported(String id, String machine) {
    TrackedRun run = requests.get(id).runs.get(machine);
    if (run != null && run.firstReportedAt < 0) {
      run.firstReportedAt = now();
    }
  }

  /** The connections of the machine are reset: its latest messages may not have been read. */
  synchronized void messagesLost(String machine) {
    for (TrackedRequest request : requests.values()) {
      TrackedRun run = request.runs.get(machine);
      if (run != null && run.firstReportedAt >= now() - MAX_READ_DELAY_MILLIS) {
        run.firstReportedAt = -1;
      }
    }
  }

  /**
   * The VM has ended on its machine; {@code wasSent}: the machine had a connection to report it on.
   */
  synchronized void vmEnded(String id, String machine, boolean wasSent) {
    TrackedRun run = requests.get(id).runs.get(machine);
    if (run.endedAt < 0) {
      run.endedAt = now();
      run.noticeDueAt =
          run.endedAt
              + (wasSent ? NOTICE_LIMIT_MILLIS : TrackedRun.NOTICE_LIMIT_UNCONNECTED_MILLIS);
    }
  }

  /** Connections that carry reports or notices were lost: the longer limit applies. */
  synchronized void noticesObstructed() {
    long at = now();
    for (TrackedRequest request : requests.values()) {
      for (TrackedRun run : request.runs.values()) {
        if (run.endedAt >= 0 && !request.noticeReceived) {
          run.noticeDueAt =
              Math.max(run.noticeDueAt, at + TrackedRun.NOTICE_LIMIT_UNCONNECTED_MILLIS);
        }
      }
    }
  }

  /** The scheduler ended the VM on that machine, for its client or as no client owns it. */
  synchronized void vmEndedByScheduler(String id, String machine) {
    TrackedRequest request = requests.get(id);
    if (request != null && request.runs.containsKey(machine)) {
      request.runs.get(machine).isEndedByScheduler = true;
    }
  }

  /** The client received the notice that its VM has ended. */
  synchronized void noticeReceived(String id) {
    TrackedRequest request = requests.get(id);
    if (request != null) {
      TrackedRun run = request.run();
      if (!request.noticeReceived && run.endedAt >= 0 && now() > run.noticeDueAt) {
        violations.add(
            now()
                + " "
                + id
                + ": ended at "
                + run.endedAt
                + ", notice late, due "
                + run.noticeDueAt);
      }
      boolean isKnownToRun = request.isAccepted && run.endedAt < 0 && !run.isEndedByScheduler;
      if (isKnownToRun && !allowsFalseEndNotices) {
        violations.add(
            now() + " " + id + ": notice of an end, but the VM runs on " + request.machine);
      }
      request.noticeReceived = true;
    }
  }

  /** A machine is unreachable for some time: a notice that its VMs are lost is no violation. */
  synchronized void machineUnreachable() {
    allowsFalseEndNotices = true;
  }

  /** The machine list has announced that the machine drains. */
  synchronized void drainAnnounced(String machine) {
    drainAnnouncedAt.putIfAbsent(machine, now());
  }

  synchronized boolean isRunning(String id) {
    TrackedRequest request = requests.get(id);
    return request != null && request.isAccepted && !request.noticeReceived;
  }

  synchronized void addViolation(String text) {
    violations.add(now() + " " + text);
  }

  /** Whether no response, notice or release is pending. */
  synchronized boolean isSettled() {
    for (TrackedRequest request : requests.values()) {
      boolean awaitsRelease = request.runs.values().stream().anyMatch(TrackedRun::awaitsRelease);
      if (request.awaitsResponse() || request.awaitsNotice() || awaitsRelease) {
        return false;
      }
    }
    return true;
  }

  /** Adds all overdue obligations, and returns all violations. */
  synchronized List<String> finish() {
    requests.forEach(
        (id, request) -> {
          if (request.awaitsResponse() && now() > request.deadline) {
            violations.add(id + ": no response, sent at " + request.sentAt);
          }
          if (request.awaitsNotice() && now() > request.run().noticeDueAt) {
            violations.add(
                id
                    + ": ended at "
                    + request.run().endedAt
                    + " on "
                    + request.machine
                    + ", no notice");
          }
          request.runs.forEach(
              (machine, run) -> {
                if (run.wasReleasedTooLate(now())) {
                  violations.add(
                      id
                          + ": not owned by a client on "
                          + machine
                          + ", not released by "
                          + run.releaseDueAt);
                }
              });
          for (String machine : request.runs.keySet()) {
            if (request.wasPlacedAgainAfter(machine)) {
              violations.add(
                  id
                      + ": known to run on "
                      + machine
                      + ", ended at "
                      + request.runs.get(machine).endedAt
                      + ", but accepted on "
                      + request.machine);
            }
          }
        });
    return List.copyOf(violations);
  }

  /**
   * The number of requests that were rejected, except those whose VM may run already and may not be
   * placed again.
   */
  synchronized int avoidableRejections() {
    return (int)
        requests.values().stream()
            .filter(request -> request.isAnswered && !request.isAccepted && !request.isInDoubt())
            .count();
  }

  synchronized String summary() {
    return requests.size()
        + " requests, "
        + accepted
        + " accepted, "
        + rejected
        + " rejected, "
        + avoidableRejections()
        + " avoidably";
  }
}
