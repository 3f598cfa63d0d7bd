package fordridge.session;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The sessions of clients, their placement requests, and the responses retained for clients that
 * reconnect or request a VM again. Ensures that each request gets exactly one final response. Does
 * no I/O, starts no threads and reads no clock: the time is passed with each event. Not
 * thread-safe; confined to one event loop.
 *
 * <p>All state is bounded by {@link Limits}; the effect of each limit is documented where the limit
 * is checked.
 */
public final class ClientSessions {
  /**
   * The limits on retained state, from the settings.
   *
   * @param maxPendingRequests requests without a final response, over all clients
   * @param maxPendingRequestsPerClient requests without a final response of one client
   * @param maxUnwrittenResponses responses waiting to be written to one client; at this number no
   *     more is read from the client
   * @param maxClosedRequests closed requests whose responses are retained, over all clients
   * @param retention how long closed requests and the sessions of disconnected clients are retained
   */
  public record Limits(
      int maxPendingRequests,
      int maxPendingRequestsPerClient,
      int maxUnwrittenResponses,
      int maxClosedRequests,
      Duration retention) {
    /** The number of responses retained for one client until it acknowledges them. */
    int maxUnacknowledgedResponses() {
      return maxUnwrittenResponses + 2 * maxPendingRequestsPerClient;
    }
  }

  /** The result of receiving a placement request. */
  public enum Admission {
    /** A new request, which goes to the scheduler. */
    ADMITTED,
    /**
     * A known request: responses that were sent in an earlier session are sent again, and later
     * ones follow.
     */
    DUPLICATE,
    /** Too many requests are pending: the request is not admitted and has to be rejected. */
    LIMIT_EXCEEDED
  }

  private enum RequestState {
    /** It has no final response yet. */
    PENDING,
    /** Its VM was accepted and has not terminated. */
    ACCEPTED,
    /** No further response is sent. */
    CLOSED
  }

  private static final class Request {
    final String client;
    final String vm;

    /**
     * The session that gets its responses; null while the client has not repeated the request in
     * its latest session.
     */
    ClientSession session;

    RequestState state = RequestState.PENDING;

    /** The responses so far, oldest first: a final response and possibly a termination notice. */
    final List<ClientResponse> responses = new ArrayList<>(2);

    /** When it was closed; only valid in state {@link RequestState#CLOSED}. */
    Duration closedAt = Duration.ZERO;

    Request(String client, String vm, ClientSession session) {
      this.client = client;
      this.vm = vm;
      this.session = session;
    }

    boolean mayReceive(ClientResponse response) {
      return switch (state) {
        case PENDING -> response.isFinal();
        case ACCEPTED -> !response.isFinal();
        case CLOSED -> false;
      };
    }
  }

  private final Limits limits;
  private final long seed;
  private final Map<String, ClientSession> sessions = new LinkedHashMap<>();
  private final Map<String, Map<String, Request>> requestsByClient = new HashMap<>();

  /** Closed requests in the order in which they were closed. */
  private final Deque<Request> closedRequests = new ArrayDeque<>();

  private int pendingRequests;
  private long tokensIssued;

  /** Creates an empty registry; {@code seed} makes the resume tokens of this incarnation unique. */
  public ClientSessions(Limits limits, long seed) {
    this.limits = limits;
    this.seed = seed;
  }

  /**
   * A client opened a stream. Its session is resumed if the token matches and every response after
   * {@code lastSeen} is still retained; otherwise the client gets a new session.
   */
  public ClientSession clientConnected(String client, String resumeToken, long lastSeen) {
    ClientSession known = sessions.get(client);
    ClientSession session = known;
    if (known != null && isResumed(known, resumeToken) && known.canResumeAfter(lastSeen)) {
      known.resumeAfter(lastSeen);
    } else {
      if (known != null) {
        // The client starts over under a known name, for instance after a restart of its process:
        // its earlier requests stay pending, and their responses are sent only if it repeats them.
        detachRequests(client);
      }
      session = newSession(client, known == null && !resumeToken.isEmpty());
    }
    session.streamOpened();
    return session;
  }

  private ClientSession newSession(String client, boolean fromEarlierIncarnation) {
    String token = Long.toHexString(seed) + "-" + Long.toHexString(++tokensIssued);
    ClientSession session = new ClientSession(client, token, fromEarlierIncarnation);
    sessions.put(client, session);
    return session;
  }

  /** Whether a client that presents this token resumes this session. */
  public boolean isResumed(ClientSession session, String resumeToken) {
    return session.resumeToken().equals(resumeToken);
  }

  /** The session's stream closed; the session is retained for {@link Limits#retention}. */
  public void clientDisconnected(ClientSession session, Duration now) {
    session.streamClosed(now);
  }

  /** Discards the responses up to {@code sequence}; returns false if that number was never sent. */
  public boolean acknowledge(ClientSession session, long sequence) {
    return session.acknowledge(sequence);
  }

  /** A client requests the placement of a VM. */
  public Admission requestReceived(ClientSession session, String vm) {
    Map<String, Request> requests =
        requestsByClient.computeIfAbsent(session.client(), client -> new HashMap<>());
    Request request = requests.get(vm);
    if (request != null) {
      repeatResponses(request, session);
      return Admission.DUPLICATE;
    }
    if (pendingRequests >= limits.maxPendingRequests
        || session.pendingRequests() >= limits.maxPendingRequestsPerClient) {
      return Admission.LIMIT_EXCEEDED;
    }
    requests.put(vm, new Request(session.client(), vm, session));
    pendingRequests++;
    session.requestAdded();
    return Admission.ADMITTED;
  }

  /** Sends the responses to a request of an earlier session again, under new sequence numbers. */
  private void repeatResponses(Request request, ClientSession session) {
    if (request.session == session) {
      return;
    }
    request.session = session;
    if (request.state == RequestState.PENDING) {
      session.requestAdded();
    }
    request.responses.forEach(response -> append(session, response));
  }

  /** Rejects a request that does not go to the scheduler, including one that was not admitted. */
  public void reject(ClientSession session, ClientResponse.Rejected rejection, Duration now) {
    if (!respond(session.client(), rejection, now)) {
      append(session, rejection);
    }
  }

  /** Whether the VM's request has no final response yet. */
  public boolean isPending(String client, String vm) {
    Request request = find(client, vm);
    return request != null && request.state == RequestState.PENDING;
  }

  /** The client withdrew its request for the VM: a pending request is closed without a response. */
  public void requestWithdrawn(ClientSession session, String vm, Duration now) {
    Request request = find(session.client(), vm);
    if (request != null && request.state == RequestState.PENDING) {
      settle(request);
      close(request, now);
    }
  }

  /**
   * A VM that was placed by an earlier incarnation of this scheduler is running. Its client is
   * notified when it requests the VM again, or at once if it already has.
   */
  public void vmAdopted(String client, ClientResponse.Accepted accepted, Duration now) {
    if (isPending(client, accepted.vm())) {
      respond(client, accepted, now);
      return;
    }
    Request request = new Request(client, accepted.vm(), null);
    request.state = RequestState.ACCEPTED;
    request.responses.add(accepted);
    requestsByClient
        .computeIfAbsent(client, name -> new HashMap<>())
        .putIfAbsent(accepted.vm(), request);
  }

  /**
   * Sends a response to the request's client. Returns false and sends nothing if the request may
   * not receive it: a second final response, or any response after the last one, whatever caused
   * it.
   */
  public boolean respond(String client, ClientResponse response, Duration now) {
    Request request = find(client, response.vm());
    if (request == null || !request.mayReceive(response)) {
      return false;
    }
    request.responses.add(response);
    if (response.isFinal()) {
      settle(request);
      request.state = RequestState.ACCEPTED;
    }
    if (response.isLast()) {
      close(request, now);
    }
    if (request.session != null) {
      append(request.session, response);
    }
    discardOldRequests(now);
    return true;
  }

  /**
   * Removes the sessions of clients that have been disconnected for the retention time and have no
   * pending request; returns the names of those clients.
   */
  public List<String> expireSessions(Duration now) {
    List<String> expired = new ArrayList<>();
    for (ClientSession session : List.copyOf(sessions.values())) {
      if (session.isExpired(now, limits.retention)) {
        sessions.remove(session.client());
        requests(session.client())
            .values()
            .removeIf(request -> request.state == RequestState.CLOSED);
        detachRequests(session.client());
        expired.add(session.client());
      }
    }
    discardOldRequests(now);
    requestsByClient.values().removeIf(Map::isEmpty);
    return expired;
  }

  /**
   * Whether more may be read from the client. At the limit nothing is read, so that the transport's
   * flow control makes the client wait: nothing that it sends is lost, and no queue grows here. The
   * limit counts unwritten responses, not unacknowledged ones: an acknowledgement may be queued
   * behind the very messages that are not being read.
   */
  public boolean mayReadMore(ClientSession session) {
    return session.unwrittenResponses() < limits.maxUnwrittenResponses;
  }

  /** The number of requests without a final response, over all clients. */
  public int pendingRequests() {
    return pendingRequests;
  }

  /** The number of closed requests whose responses are still retained. */
  public int closedRequests() {
    return closedRequests.size();
  }

  /**
   * The number of sessions, of connected clients and of disconnected clients that are still
   * retained.
   */
  public int sessionCount() {
    return sessions.size();
  }

  private Map<String, Request> requests(String client) {
    return requestsByClient.getOrDefault(client, Map.of());
  }

  private Request find(String client, String vm) {
    return requests(client).get(vm);
  }

  private void detachRequests(String client) {
    requests(client).values().forEach(request -> request.session = null);
  }

  private void append(ClientSession session, ClientResponse response) {
    session.append(response, limits.maxUnacknowledgedResponses());
  }

  private void settle(Request request) {
    pendingRequests--;
    if (request.session != null) {
      request.session.requestSettled();
    }
  }

  private void close(Request request, Duration now) {
    request.state = RequestState.CLOSED;
    request.closedAt = now;
    closedRequests.addLast(request);
  }

  /** Discards the requests that were closed first, beyond the limits on their number and age. */
  private void discardOldRequests(Duration now) {
    while (!closedRequests.isEmpty() && isBeyondLimits(closedRequests.peekFirst(), now)) {
      Request oldest = closedRequests.removeFirst();
      requests(oldest.client).remove(oldest.vm, oldest);
    }
  }

  private boolean isBeyondLimits(Request oldest, Duration now) {
    return closedRequests.size() > limits.maxClosedRequests
        || oldest.closedAt.plus(limits.retention).compareTo(now) <= 0;
  }
}
