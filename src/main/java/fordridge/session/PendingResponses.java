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
 * Tracks which client connection gets which response: one final response for each placement
 * request, and one termination notice for each accepted VM.
 *
 * <p>A request belongs to the connection that it came on. A running VM outlives its connection: its
 * termination notice then goes to another client connection. Notices are sent at least once: they
 * are kept until the client acknowledges them or they expire.
 *
 * <p>Does no I/O, starts no threads and reads no clock: the caller writes what is returned and
 * passes the time. Not thread-safe.
 *
 * @param <C> a client's connection
 */
public final class PendingResponses<C> {
  /** The result of receiving a placement request. */
  public enum Admission {
    ADMITTED,
    /** A request with this id is pending already, or its VM is running. */
    DUPLICATE,
    /** Too many requests are pending, of all clients or on this connection. */
    OVER_CAPACITY,
    /** The pending requests retain too many bytes, of all clients or on this connection. */
    OUT_OF_MEMORY
  }

  /** The notice that a running VM has terminated; it is not sent after {@code expiresAt}. */
  public record TerminationNotice(String vmId, Outcome outcome, Duration expiresAt) {}

  /** A termination notice, and the connection to send it on. */
  public record AddressedNotice<C>(C connection, TerminationNotice notice) {}

  /**
   * Former connections kept for a VM; a client that has reconnected more often no longer uses older
   * ones.
   */
  private static final int MAX_FORMER_CONNECTIONS = 3;

  private enum State {
    AWAITING_RESPONSE,
    RUNNING
  }

  private static final class Entry<C> {
    /** The client's connection; null if it has closed while the VM is running. */
    C connection;

    State state;

    /** The bytes that are reserved for the pending request. */
    final long reservedBytes;

    /**
     * The client's connections before it handed the VM over again on another one, most recent
     * first.
     */
    final List<C> formerConnections = new ArrayList<>();

    Entry(C connection, State state, long reservedBytes) {
      this.connection = connection;
      this.state = state;
      this.reservedBytes = reservedBytes;
    }
  }

  private final PendingRequestBudget<C> budget;
  private final Duration noticeLifetime;
  private final Map<String, Entry<C>> entries = new HashMap<>();
  private final Map<C, Set<String>> vmIdsByConnection = new HashMap<>();

  private final NoticeDeliveries<C> notices;

  /**
   * Creates an empty registry.
   *
   * @param limits the bounds on the pending requests
   * @param maxNotices the maximum number of unacknowledged notices; beyond it the oldest is
   *     displaced and counted
   * @param noticeLifetime how long an undelivered termination notice is kept
   * @param displacedNotices receives each notice that is displaced
   */
  public PendingResponses(
      PendingRequestLimits limits,
      int maxNotices,
      Duration noticeLifetime,
      Consumer<TerminationNotice> displacedNotices) {
    budget = new PendingRequestBudget<>(limits);
    notices = new NoticeDeliveries<>(maxNotices, displacedNotices);
    this.noticeLifetime = noticeLifetime;
  }

  /**
   * A client requests a placement; if admitted, the request is pending until its response is taken.
   *
   * @param bytes the bytes that the request retains while it is pending
   */
  public Admission requestReceived(String vmId, C connection, long bytes) {
    if (entries.containsKey(vmId)) {
      return Admission.DUPLICATE;
    }
    return switch (budget.reserve(connection, bytes)) {
      case TOO_MANY_REQUESTS -> Admission.OVER_CAPACITY;
      case TOO_MANY_BYTES -> Admission.OUT_OF_MEMORY;
      case GRANTED -> {
        put(vmId, new Entry<>(connection, State.AWAITING_RESPONSE, bytes));
        yield Admission.ADMITTED;
      }
    };
  }

  /** The result of a client's handover of a running VM. */
  public enum Adoption {
    /** The VM was not known and is now registered as running. */
    ADOPTED,
    /**
     * The VM was registered already; its termination notice goes to this connection from now on.
     */
    REBOUND,
    /** A request for the VM is pending on this connection; nothing is changed. */
    PENDING_HERE,
    /** A request for the VM is pending on another connection; nothing is changed. */
    PENDING_ELSEWHERE
  }

  /**
   * A client hands over a VM that is already running: it gets no response, only the termination
   * notice. If the VM is registered as running, its client has moved to this connection.
   */
  public Adoption adoptRunning(String vmId, C connection) {
    Entry<C> entry = entries.get(vmId);
    if (entry == null) {
      put(vmId, new Entry<>(connection, State.RUNNING, 0));
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

  private void put(String vmId, Entry<C> entry) {
    entries.put(vmId, entry);
    attach(vmId, entry.connection);
  }

  private void attach(String vmId, C connection) {
    vmIdsByConnection.computeIfAbsent(connection, c -> new LinkedHashSet<>()).add(vmId);
    notices.connectionUsed(connection);
  }

  /**
   * Marks a pending request as accepted and its VM as running. Returns the connection to send the
   * acceptance on; empty if the request is not pending.
   */
  public Optional<C> takeAccepted(String vmId) {
    Entry<C> entry = entries.get(vmId);
    if (entry == null || entry.state != State.AWAITING_RESPONSE) {
      return Optional.empty();
    }
    budget.release(entry.connection, entry.reservedBytes);
    entry.state = State.RUNNING;
    return Optional.of(entry.connection);
  }

  /**
   * Removes a pending request that was rejected or has failed. Returns the connection to send that
   * response on; empty if the request is not pending.
   */
  public Optional<C> takeUnaccepted(String vmId) {
    Entry<C> entry = entries.get(vmId);
    if (entry == null || entry.state != State.AWAITING_RESPONSE) {
      return Optional.empty();
    }
    remove(vmId, entry);
    return Optional.of(entry.connection);
  }

  /**
   * A running VM terminated. Returns the connection to send its termination notice on now. Empty if
   * the VM is not running, or if no connection is open and the notice was deferred, see {@link
   * #takeDeferredNotices}.
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
   * A client acknowledges a VM's termination notice on this connection. Returns false, without
   * effect, if the notice is unknown or was not sent on this connection.
   */
  public boolean noticeAcknowledged(String vmId, C connection) {
    return notices.acknowledged(vmId, connection);
  }

  /**
   * A client terminates a VM or withdraws a request: it gets no response or notice for it. Returns
   * false if the VM is unknown.
   */
  public boolean terminatedByClient(String vmId) {
    Entry<C> entry = entries.get(vmId);
    if (entry == null) {
      return false;
    }
    remove(vmId, entry);
    return true;
  }

  /**
   * A connection closed. This method alone decides what becomes of everything that belongs to the
   * connection:
   *
   * <ul>
   *   <li>its pending requests are abandoned: they are returned, get no response, and their ids may
   *       be used again;
   *   <li>its running VMs stay registered, and their termination notices will go to another
   *       connection;
   *   <li>its unacknowledged notices may have been lost in transit: they are deferred, see {@link
   *       #takeDeferredNotices}.
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
          budget.release(connection, entry.reservedBytes);
          entries.remove(vmId);
          abandonedRequests.add(vmId);
        }
      }
    }
    return abandonedRequests;
  }

  /**
   * Takes the deferred notices that are to be sent now: all that have not expired, if a connection
   * is open.
   */
  public List<AddressedNotice<C>> takeDeferredNotices(Duration now) {
    expireNotices(now);
    return notices.takeDeferred(now);
  }

  /**
   * Takes the notices that are to be sent on a further connection, once on each: they were not
   * acknowledged in time on the connections before, whose client may be gone without having closed
   * its connection.
   */
  public List<AddressedNotice<C>> takeOverdueNotices(Duration now) {
    return notices.takeOverdue(now);
  }

  /** Drops the expired notices and returns them. */
  public List<TerminationNotice> expireNotices(Duration now) {
    return notices.expire(now);
  }

  /** Whether the VM's termination notice is kept because no client has acknowledged it yet. */
  public boolean isNoticeUndelivered(String vmId) {
    return notices.isUndelivered(vmId);
  }

  /** Whether the request is pending: no response has been sent to its client yet. */
  public boolean isAwaitingResponse(String vmId) {
    Entry<C> entry = entries.get(vmId);
    return entry != null && entry.state == State.AWAITING_RESPONSE;
  }

  /** The number of notices that are deferred or not yet acknowledged. */
  public int undeliveredNotices() {
    return notices.size();
  }

  /** The counts of pending requests, running VMs and undelivered notices, for the log. */
  public String describe() {
    return "pending requests "
        + pendingRequests()
        + ", bytes of pending requests "
        + budget.describe()
        + ", running VMs "
        + runningVms()
        + ", "
        + notices.describe();
  }

  /** The connection of the VM's client, if it is known and open. */
  public Optional<C> connectionOf(String vmId) {
    Entry<C> entry = entries.get(vmId);
    return entry == null ? Optional.empty() : Optional.ofNullable(entry.connection);
  }

  /** Whether the connection of the VM's client is known and open. */
  public boolean isClientConnected(String vmId) {
    return connectionOf(vmId).isPresent();
  }

  /** The number of running VMs whose client was last on this connection. */
  public int runningVmsOf(C connection) {
    Set<String> vmIds = vmIdsByConnection.getOrDefault(connection, Set.of());
    return vmIds.size() - pendingRequestsOf(connection).size();
  }

  /** The number of pending requests and running VMs whose client was last on this connection. */
  public int vmsOf(C connection) {
    return vmIdsByConnection.getOrDefault(connection, Set.of()).size();
  }

  /** Whether the connection has a pending request or a running VM. */
  public boolean isInUse(C connection) {
    return vmIdsByConnection.containsKey(connection);
  }

  /** The ids of the connection's pending requests, in the order in which they came. */
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
    return budget.requests();
  }

  /** The number of running VMs. */
  public int runningVms() {
    return entries.size() - pendingRequests();
  }

  private void remove(String vmId, Entry<C> entry) {
    if (entry.state == State.AWAITING_RESPONSE) {
      budget.release(entry.connection, entry.reservedBytes);
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
