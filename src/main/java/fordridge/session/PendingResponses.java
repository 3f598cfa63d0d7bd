package fordridge.session;

import fordridge.model.PlacementAttempt.Outcome;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Keeps which client connection gets which response: one final response for each placement request,
 * and one termination notice for each VM that was accepted.
 *
 * <p>A request belongs to the connection that carried it. A running VM outlives its connection: its
 * termination notice then goes to another connection of a client. Notices are sent at least once:
 * they are kept until the client acknowledges them or they expire.
 *
 * <p>Free of I/O, threads and clocks: the caller writes what is returned, and brings the time. To
 * be used by one thread only.
 *
 * @param <C> a client's connection
 */
public final class PendingResponses<C> {
  /** Whether a placement request was taken up. */
  public enum Admission {
    ADMITTED,
    /** A request with this id is pending already, or its VM runs. */
    DUPLICATE,
    /** The maximum number of requests is pending. */
    OVER_CAPACITY
  }

  /** That a VM which ran is over, and until when this is worth sending. */
  public record TerminationNotice(String vmId, Outcome outcome, Duration expiresAt) {}

  /** A termination notice, the connection to send it on, and when, for the first or second time. */
  public record AddressedNotice<C>(
      C connection, TerminationNotice notice, Duration sentAt, boolean isResent) {}

  /** A notice has to arrive within a second; the rest of it is left for the second try. */
  private static final Duration ACKNOWLEDGEMENT_TIMEOUT = Duration.ofMillis(500);

  private enum State {
    AWAITING_RESPONSE,
    RUNNING
  }

  private static final class Entry<C> {
    /** Null once it has closed while the VM runs. */
    C connection;

    State state;

    Entry(C connection, State state) {
      this.connection = connection;
      this.state = state;
    }
  }

  private final int maxPending;
  private final int maxNotices;
  private final Duration noticeLifetime;
  private final Map<String, Entry<C>> entries = new HashMap<>();
  private final Map<C, Set<String>> vmIdsByConnection = new HashMap<>();

  /** Open connections that have carried a request, the most recent last. */
  private final LinkedHashSet<C> requestConnections = new LinkedHashSet<>();

  /** Of these, the ones that have acknowledged a notice, the most recent last. */
  private final LinkedHashSet<C> acknowledgingConnections = new LinkedHashSet<>();

  /** Notices for which there was no connection yet, the oldest first. */
  private final Deque<TerminationNotice> deferredNotices = new ArrayDeque<>();

  /** Notices that were sent and not acknowledged yet, by VM, the oldest first. */
  private final Map<String, AddressedNotice<C>> unacknowledgedNotices = new LinkedHashMap<>();

  private int pendingRequests;
  private long expiredNotices;
  private long displacedNotices;
  private long resentNotices;

  /**
   * Creates an empty registry.
   *
   * @param maxPending the maximum number of pending requests
   * @param maxNotices the maximum number of deferred and of unacknowledged notices each; beyond it
   *     the oldest is displaced, and counted
   * @param noticeLifetime how long an undelivered termination notice is kept
   */
  public PendingResponses(int maxPending, int maxNotices, Duration noticeLifetime) {
    this.maxPending = maxPending;
    this.maxNotices = maxNotices;
    this.noticeLifetime = noticeLifetime;
  }

  /** A client requests a placement; if admitted, it is pending until its response is taken. */
  public Admission requestReceived(String vmId, C connection) {
    if (entries.containsKey(vmId)) {
      return Admission.DUPLICATE;
    }
    if (pendingRequests >= maxPending) {
      return Admission.OVER_CAPACITY;
    }
    pendingRequests++;
    put(vmId, connection, State.AWAITING_RESPONSE);
    return Admission.ADMITTED;
  }

  /**
   * A client reports a VM that runs already: it gets no response, only the termination notice.
   * False if the id is known already, and nothing is changed.
   */
  public boolean adoptRunning(String vmId, C connection) {
    if (entries.containsKey(vmId)) {
      return false;
    }
    put(vmId, connection, State.RUNNING);
    return true;
  }

  private void put(String vmId, C connection, State state) {
    entries.put(vmId, new Entry<>(connection, state));
    vmIdsByConnection.computeIfAbsent(connection, c -> new LinkedHashSet<>()).add(vmId);
    requestConnections.remove(connection);
    requestConnections.add(connection);
  }

  /** The request is accepted and the VM runs: where to say so; empty if it is not pending. */
  public Optional<C> takeAccepted(String vmId) {
    Entry<C> entry = entries.get(vmId);
    if (entry == null || entry.state != State.AWAITING_RESPONSE) {
      return Optional.empty();
    }
    pendingRequests--;
    entry.state = State.RUNNING;
    return Optional.of(entry.connection);
  }

  /** The request is rejected or failed: where to say so; empty if it is not pending. */
  public Optional<C> takeDeclined(String vmId) {
    Entry<C> entry = entries.get(vmId);
    if (entry == null || entry.state != State.AWAITING_RESPONSE) {
      return Optional.empty();
    }
    remove(vmId, entry);
    return Optional.of(entry.connection);
  }

  /**
   * A running VM is over: where to send its termination notice now. Empty if the VM is not running,
   * or if no connection is open and the notice was deferred, see {@link #takeDeferredNotices}.
   */
  public Optional<C> vmTerminated(String vmId, Outcome outcome, Duration now) {
    Entry<C> entry = entries.get(vmId);
    if (entry == null || entry.state != State.RUNNING) {
      return Optional.empty();
    }
    remove(vmId, entry);
    TerminationNotice notice = new TerminationNotice(vmId, outcome, now.plus(noticeLifetime));
    C connection = entry.connection == null ? alternativeConnection() : entry.connection;
    if (connection == null) {
      defer(notice);
    } else {
      awaitAcknowledgement(connection, notice, now, false);
    }
    return Optional.ofNullable(connection);
  }

  /** The client acknowledges, on this connection, the termination notice of a VM. */
  public void noticeAcknowledged(String vmId, C connection) {
    unacknowledgedNotices.remove(vmId);
    if (requestConnections.contains(connection)) {
      acknowledgingConnections.remove(connection);
      acknowledgingConnections.add(connection);
    }
  }

  /** The client ends a VM or withdraws a request: it gets no response. False if it is unknown. */
  public boolean endedByClient(String vmId) {
    Entry<C> entry = entries.get(vmId);
    if (entry == null) {
      return false;
    }
    remove(vmId, entry);
    return true;
  }

  /**
   * A connection has closed. This is the one place that decides what becomes of all that it
   * carried:
   *
   * <ul>
   *   <li>its pending requests are abandoned: they are returned, get no response, and their ids may
   *       be used again;
   *   <li>its running VMs go on, and their termination notices will go to another connection;
   *   <li>its notices that were not acknowledged may have been lost on the way: they are deferred,
   *       see {@link #takeDeferredNotices}.
   * </ul>
   */
  public List<String> connectionClosed(C connection) {
    requestConnections.remove(connection);
    acknowledgingConnections.remove(connection);
    deferUnacknowledged(connection);
    List<String> abandonedRequests = new ArrayList<>();
    Set<String> vmIds = vmIdsByConnection.remove(connection);
    if (vmIds != null) {
      for (String vmId : vmIds) {
        Entry<C> entry = entries.get(vmId);
        if (entry.state == State.RUNNING) {
          entry.connection = null;
        } else {
          pendingRequests--;
          entries.remove(vmId);
          abandonedRequests.add(vmId);
        }
      }
    }
    return abandonedRequests;
  }

  private void deferUnacknowledged(C connection) {
    Iterator<AddressedNotice<C>> sent = unacknowledgedNotices.values().iterator();
    while (sent.hasNext()) {
      AddressedNotice<C> addressed = sent.next();
      if (addressed.connection.equals(connection)) {
        sent.remove();
        defer(addressed.notice);
      }
    }
  }

  /** The deferred notices to be sent now: all that have not expired, if a connection is open. */
  public List<AddressedNotice<C>> takeDeferredNotices(Duration now) {
    expireNotices(now);
    List<AddressedNotice<C>> due = new ArrayList<>();
    C connection = alternativeConnection();
    while (connection != null && !deferredNotices.isEmpty()) {
      TerminationNotice notice = deferredNotices.removeFirst();
      due.add(awaitAcknowledgement(connection, notice, now, false));
    }
    return due;
  }

  /**
   * The notices to be sent once more, and no more than once, on another connection: their own has
   * acknowledged nothing for a while, and its client may be gone without a word. Only where a
   * client that acknowledges is connected elsewhere; a client that never does would get everything
   * twice.
   */
  public List<AddressedNotice<C>> takeOverdueNotices(Duration now) {
    List<AddressedNotice<C>> overdue = new ArrayList<>();
    C alternative = acknowledgingConnections.isEmpty() ? null : alternativeConnection();
    if (alternative == null) {
      return overdue;
    }
    for (AddressedNotice<C> sent : List.copyOf(unacknowledgedNotices.values())) {
      boolean isOverdue = now.minus(sent.sentAt).compareTo(ACKNOWLEDGEMENT_TIMEOUT) >= 0;
      if (isOverdue && !sent.isResent && !sent.connection.equals(alternative)) {
        resentNotices++;
        unacknowledgedNotices.remove(sent.notice.vmId);
        overdue.add(awaitAcknowledgement(alternative, sent.notice, now, true));
      }
    }
    return overdue;
  }

  /** Drops the notices that are no longer worth sending, and returns them. */
  public List<TerminationNotice> expireNotices(Duration now) {
    List<TerminationNotice> expired = new ArrayList<>();
    for (TerminationNotice notice : deferredNotices) {
      addIfExpired(notice, now, expired);
    }
    for (AddressedNotice<C> sent : unacknowledgedNotices.values()) {
      addIfExpired(sent.notice, now, expired);
    }
    deferredNotices.removeAll(expired);
    expired.forEach(notice -> unacknowledgedNotices.remove(notice.vmId));
    expiredNotices += expired.size();
    return expired;
  }

  private static void addIfExpired(
      TerminationNotice notice, Duration now, List<TerminationNotice> expired) {
    if (notice.expiresAt.compareTo(now) <= 0) {
      expired.add(notice);
    }
  }

  /** Whether the request is pending: its client has got no response yet. */
  public boolean isAwaitingResponse(String vmId) {
    Entry<C> entry = entries.get(vmId);
    return entry != null && entry.state == State.AWAITING_RESPONSE;
  }

  /** The number of notices that are deferred or not acknowledged. */
  public int undeliveredNotices() {
    return deferredNotices.size() + unacknowledgedNotices.size();
  }

  /** What is owed to clients, for the log. */
  public String describe() {
    return "pending requests "
        + pendingRequests
        + ", running VMs "
        + runningVms()
        + ", notices without a connection "
        + deferredNotices.size()
        + ", not acknowledged "
        + unacknowledgedNotices.size()
        + ", expired "
        + expiredNotices
        + ", displaced "
        + displacedNotices
        + ", resent "
        + resentNotices;
  }

  /** Whether the connection has a pending request or a running VM. */
  public boolean isInUse(C connection) {
    return vmIdsByConnection.containsKey(connection);
  }

  /** The ids of the pending requests of the connection, in the order in which they came. */
  public List<String> pendingRequestsOf(C connection) {
    List<String> pending = new ArrayList<>();
    for (String vmId : vmIdsByConnection.getOrDefault(connection, Set.of())) {
      if (isAwaitingResponse(vmId)) {
        pending.add(vmId);
      }
    }
    return pending;
  }

  /** The ids of all pending requests. */
  public List<String> pendingRequestIds() {
    List<String> pending = new ArrayList<>();
    entries.forEach(
        (vmId, entry) -> {
          if (entry.state == State.AWAITING_RESPONSE) {
            pending.add(vmId);
          }
        });
    return pending;
  }

  /** The number of pending requests. */
  public int pendingRequests() {
    return pendingRequests;
  }

  /** The number of VMs that run. */
  public int runningVms() {
    return entries.size() - pendingRequests;
  }

  /**
   * For a notice whose own connection has closed: the last one that acknowledged a notice, else the
   * last one that carried a request (not every client that requests listens); null if none is open.
   */
  private C alternativeConnection() {
    C last = null;
    for (C connection :
        acknowledgingConnections.isEmpty() ? requestConnections : acknowledgingConnections) {
      last = connection;
    }
    return last;
  }

  private void defer(TerminationNotice notice) {
    if (deferredNotices.size() >= maxNotices) {
      deferredNotices.removeFirst();
      displacedNotices++;
    }
    deferredNotices.addLast(notice);
  }

  private AddressedNotice<C> awaitAcknowledgement(
      C connection, TerminationNotice notice, Duration now, boolean isResent) {
    if (unacknowledgedNotices.size() >= maxNotices) {
      unacknowledgedNotices.remove(unacknowledgedNotices.keySet().iterator().next());
      displacedNotices++;
    }
    AddressedNotice<C> addressed = new AddressedNotice<>(connection, notice, now, isResent);
    unacknowledgedNotices.put(notice.vmId, addressed);
    return addressed;
  }

  private void remove(String vmId, Entry<C> entry) {
    if (entry.state == State.AWAITING_RESPONSE) {
      pendingRequests--;
    }
    entries.remove(vmId);
    Set<String> vmIds = entry.connection == null ? null : vmIdsByConnection.get(entry.connection);
    if (vmIds != null) {
      vmIds.remove(vmId);
      if (vmIds.isEmpty()) {
        vmIdsByConnection.remove(entry.connection);
      }
    }
  }
}
