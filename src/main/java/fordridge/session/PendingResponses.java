package fordridge.session;

import fordridge.model.PlacementAttempt.Outcome;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

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

  /** A termination notice, and the connection to send it on. */
  public record AddressedNotice<C>(C connection, TerminationNotice notice) {}

  /** A client that moves on more often has left the first ones. */
  private static final int MAX_FORMER_CONNECTIONS = 3;

  private enum State {
    AWAITING_RESPONSE,
    RUNNING
  }

  private static final class Entry<C> {
    /** Null once it has closed while the VM runs. */
    C connection;

    State state;

    /** Where its client was before it handed the VM over once more, the most recent first. */
    final List<C> formerConnections = new ArrayList<>();

    Entry(C connection, State state) {
      this.connection = connection;
      this.state = state;
    }
  }

  private final int maxPending;
  private final Duration noticeLifetime;
  private final Map<String, Entry<C>> entries = new HashMap<>();
  private final Map<C, Set<String>> vmIdsByConnection = new HashMap<>();

  private final NoticeDeliveries<C> notices;
  private int pendingRequests;

  /**
   * Creates an empty registry.
   *
   * @param maxPending the maximum number of pending requests
   * @param maxNotices the maximum number of notices that are not acknowledged; beyond it the oldest
   *     is displaced, and counted
   * @param noticeLifetime how long an undelivered termination notice is kept
   * @param displacedNotices receives each notice that is displaced
   */
  public PendingResponses(
      int maxPending,
      int maxNotices,
      Duration noticeLifetime,
      Consumer<TerminationNotice> displacedNotices) {
    this.maxPending = maxPending;
    notices = new NoticeDeliveries<>(maxNotices, displacedNotices);
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

  /** What is known of a VM that a client hands over. */
  public enum Adoption {
    /** It was not known, and is now. */
    ADOPTED,
    /** It runs; its termination notice goes to this connection from now on. */
    REBOUND,
    /** It is pending on this connection: nothing is changed. */
    PENDING_HERE,
    /** It is pending on another connection: nothing is changed. */
    PENDING_ELSEWHERE
  }

  /**
   * A client reports a VM that runs already: it gets no response, only the termination notice.
   * Where that is known, its client has come on another connection.
   */
  public Adoption adoptRunning(String vmId, C connection) {
    Entry<C> entry = entries.get(vmId);
    if (entry == null) {
      put(vmId, connection, State.RUNNING);
      return Adoption.ADOPTED;
    }
    if (entry.state == State.AWAITING_RESPONSE) {
      return connection.equals(entry.connection)
          ? Adoption.PENDING_HERE
          : Adoption.PENDING_ELSEWHERE;
    }
    rebind(vmId, entry, connection);
    return Adoption.REBOUND;
  }

  private void rebind(String vmId, Entry<C> entry, C connection) {
    if (connection.equals(entry.connection)) {
      return;
    }
    if (entry.connection != null) {
      detach(vmId, entry.connection);
      entry.formerConnections.remove(entry.connection);
      entry.formerConnections.add(0, entry.connection);
    }
    if (entry.formerConnections.size() > MAX_FORMER_CONNECTIONS) {
      entry.formerConnections.remove(MAX_FORMER_CONNECTIONS);
    }
    entry.connection = connection;
    attach(vmId, connection);
  }

  private void put(String vmId, C connection, State state) {
    entries.put(vmId, new Entry<>(connection, state));
    attach(vmId, connection);
  }

  private void attach(String vmId, C connection) {
    vmIdsByConnection.computeIfAbsent(connection, c -> new LinkedHashSet<>()).add(vmId);
    notices.connectionUsed(connection);
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
    return notices.add(notice, Optional.ofNullable(entry.connection), entry.formerConnections, now);
  }

  /**
   * The client acknowledges, on this connection, the termination notice of a VM; without effect
   * unless the notice was sent on it. False if it was without effect.
   */
  public boolean noticeAcknowledged(String vmId, C connection) {
    return notices.acknowledged(vmId, connection);
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
    notices.connectionClosed(connection);
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

  /** The deferred notices to be sent now: all that have not expired, if a connection is open. */
  public List<AddressedNotice<C>> takeDeferredNotices(Duration now) {
    expireNotices(now);
    return notices.takeDeferred(now);
  }

  /**
   * The notices to be sent on a further connection, on each once: those before have acknowledged
   * nothing for a while, and their client may be gone without a word.
   */
  public List<AddressedNotice<C>> takeOverdueNotices(Duration now) {
    return notices.takeOverdue(now);
  }

  /** Drops the notices that are no longer worth sending, and returns them. */
  public List<TerminationNotice> expireNotices(Duration now) {
    return notices.expire(now);
  }

  /** Whether the notice of the VM's end is kept, as no client has acknowledged it yet. */
  public boolean isNoticeUndelivered(String vmId) {
    return notices.isUndelivered(vmId);
  }

  /** Whether the request is pending: its client has got no response yet. */
  public boolean isAwaitingResponse(String vmId) {
    Entry<C> entry = entries.get(vmId);
    return entry != null && entry.state == State.AWAITING_RESPONSE;
  }

  /** The number of notices that are deferred or not acknowledged. */
  public int undeliveredNotices() {
    return notices.size();
  }

  /** What is owed to clients, for the log. */
  public String describe() {
    return "pending requests "
        + pendingRequests
        + ", running VMs "
        + runningVms()
        + ", "
        + notices.describe();
  }

  /** Whether the client of a running VM is on a connection that is known and open. */
  public boolean hasOwnConnection(String vmId) {
    Entry<C> entry = entries.get(vmId);
    return entry != null && entry.connection != null;
  }

  /** The number of VMs that run and whose client was last on this connection. */
  public int runningVmsOf(C connection) {
    Set<String> vmIds = vmIdsByConnection.getOrDefault(connection, Set.of());
    return vmIds.size() - pendingRequestsOf(connection).size();
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

  private void remove(String vmId, Entry<C> entry) {
    if (entry.state == State.AWAITING_RESPONSE) {
      pendingRequests--;
    }
    entries.remove(vmId);
    if (entry.connection != null) {
      detach(vmId, entry.connection);
    }
  }

  private void detach(String vmId, C connection) {
    Set<String> vmIds = vmIdsByConnection.get(connection);
    if (vmIds != null) {
      vmIds.remove(vmId);
      if (vmIds.isEmpty()) {
        vmIdsByConnection.remove(connection);
      }
    }
  }
}
