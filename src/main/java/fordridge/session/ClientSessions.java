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
 * Sessions of clients, their placement requests, and the responses retained for clients that
 * reconnect or request a VM again. It enforces that each request gets exactly one final response.
 * Free of I/O, threads and clocks: the time comes in with each event. Not thread-safe; belongs to
 * one event loop.
 *
 * <p>Everything that grows is bounded by {@link Limits}; what happens at each limit is said where
 * it is checked.
 */
public final class ClientSessions {
  /**
   * The limits, from the settings.
   *
   * @param maxPendingRequests requests without a final response, over all clients
   * @param maxPendingRequestsPerClient the same of one client
   * @param maxUnwrittenResponses responses that one client does not read, before nothing more is
   *     read from it
   * @param maxClosedRequests closed requests whose responses are retained, over all clients
   * @param retention how long closed requests and the sessions of disconnected clients are retained
   */
  public record Limits(
      int maxPendingRequests,
      int maxPendingRequestsPerClient,
      int maxUnwrittenResponses,
      int maxClosedRequests,
      Duration retention) {
    /** Responses retained for one client until it acknowledges them. */
    int maxUnacknowledgedResponses() {
      return maxUnwrittenResponses + 2 * maxPendingRequestsPerClient;
    }
  }

  /** What becomes of a placement request when it is received. */
  public enum Admission {
    /** New: it goes to the scheduler. */
    ADMITTED,
    /** Already known: what was sent for it is sent again, and what follows will be sent. */
    DUPLICATE,
    /** Too many requests are pending: not admitted, and to be rejected. */
    LIMIT_EXCEEDED
  }

  private enum RequestState {
    /** No final response yet. */
    PENDING,
    /** Its VM was accepted, and has not terminated. */
    ACCEPTED,
    /** Nothing more is sent for it. */
    CLOSED
  }

  private static final class Request {
    final String client;
    final String vm;

    /** Where its responses go; null while the client has not requested it in its latest session. */
    ClientSession session;

    RequestState state = RequestState.PENDING;

    /** What was sent for it, oldest first: a final response and perhaps a termination. */
    final List<ClientResponse> responses = new ArrayList<>(2);

    /** Meaningful once it is closed. */
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

  /** Closed requests, the one closed first in front. */
  private final Deque<Request> closed = new ArrayDeque<>();

  private int pendingRequests;
  private long tokensIssued;

  /** Creates an empty registry; {@code seed} makes the tokens of this incarnation its own. */
  public ClientSessions(Limits limits, long seed) {
    this.limits = limits;
    this.seed = seed;
  }

  /**
   * A client opened a stream. Its session is resumed if the token is the session's and every
   * response after {@code lastSeen} is still retained; otherwise it gets a new session.
   */
  public ClientSession clientConnected(String client, String resumeToken, long lastSeen) {
    ClientSession known = sessions.get(client);
    ClientSession session = known;
    if (known != null && isResumed(known, resumeToken) && known.canResumeAfter(lastSeen)) {
      known.resumeAfter(lastSeen);
    } else {
      if (known != null) {
        // A new process under the same name: its earlier requests stay pending, and their responses
        // are sent only if it requests them again.
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

  /** Whether a client that showed this token continues this session. */
  public boolean isResumed(ClientSession session, String resumeToken) {
    return session.resumeToken().equals(resumeToken);
  }

  /** The stream that carried the session ended; the session stays for a while. */
  public void clientDisconnected(ClientSession session, Duration now) {
    session.streamClosed(now);
  }

  /** Discards the responses up to {@code sequence}; false for a number that was never sent. */
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

  /** A request made in an earlier session: its responses are sent again under new numbers. */
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

  /** Rejects a request that does not go to the scheduler, also one that was not admitted. */
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

  /** The client no longer wants the VM: a pending request is closed without a response. */
  public void requestWithdrawn(ClientSession session, String vm, Duration now) {
    Request request = find(session.client(), vm);
    if (request != null && request.state == RequestState.PENDING) {
      settle(request);
      close(request, now);
    }
  }

  /**
   * A VM runs that an earlier incarnation of this scheduler placed; its client is notified when it
   * requests the VM again, or at once if it already has.
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
   * Sends a response to the request's client. False, and nothing is sent, if the request may not
   * receive it: a second final response, or anything after the last one, whatever the cause.
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
   * Removes the sessions of clients that have been disconnected for too long with nothing pending;
   * returns the clients' names.
   */
  public List<String> expireSessions(Duration now) {
    List<String> expired = new ArrayList<>();
    for (ClientSession session : List.copyOf(sessions.values())) {
      if (session.isExpired(now, limits.retention)) {
        sessions.remove(session.client());
        requests(session.client()).values().removeIf(r -> r.state == RequestState.CLOSED);
        detachRequests(session.client());
        expired.add(session.client());
      }
    }
    discardOldRequests(now);
    requestsByClient.values().removeIf(Map::isEmpty);
    return expired;
  }

  /**
   * Whether more may be read from the client. At the limit it is left waiting, and the transport's
   * flow control with it: nothing that it sends is lost, and nothing grows here. What counts is
   * what it does not read, not what it has not acknowledged: an acknowledgement may be queued
   * behind the very messages that are not read.
   */
  public boolean mayReadMore(ClientSession session) {
    return session.unwrittenResponses() < limits.maxUnwrittenResponses;
  }

  /** Requests without a final response, over all clients. */
  public int pendingRequests() {
    return pendingRequests;
  }

  /** Closed requests whose responses are still retained. */
  public int closedRequests() {
    return closed.size();
  }

  /** Sessions of connected clients and of those disconnected a while ago. */
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
    closed.addLast(request);
  }

  /** Discards the requests closed first, beyond the limits of their number and of their age. */
  private void discardOldRequests(Duration now) {
    while (!closed.isEmpty() && isBeyondLimits(closed.peekFirst(), now)) {
      Request oldest = closed.removeFirst();
      requests(oldest.client).remove(oldest.vm, oldest);
    }
  }

  private boolean isBeyondLimits(Request oldest, Duration now) {
    return closed.size() > limits.maxClosedRequests
        || oldest.closedAt.plus(limits.retention).compareTo(now) <= 0;
  }
}
