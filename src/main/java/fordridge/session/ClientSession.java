package fordridge.session;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.Optional;

/**
 * One client's session: the ordered responses to the client, over any number of its streams. Each
 * response has a sequence number, is retained until the client acknowledges it, and is written
 * again when the client resumes from an earlier number. Not thread-safe; confined to the event loop
 * of its {@link ClientSessions}.
 */
public final class ClientSession {
  /** A response with the sequence number by which the client acknowledges it. */
  public record NumberedResponse(long sequence, ClientResponse response) {}

  private final String client;
  private final String resumeToken;
  private final boolean fromEarlierIncarnation;

  /** Unacknowledged responses in the order of their sequence numbers. */
  private final Deque<NumberedResponse> unacknowledged = new ArrayDeque<>();

  private long lastSequence;
  private long lastWritten;

  /** Responses up to this number were acknowledged or discarded and can't be written again. */
  private long discardedUpTo;

  private int pendingRequests;
  private boolean connected;
  private Duration disconnectedAt = Duration.ZERO;

  ClientSession(String client, String resumeToken, boolean fromEarlierIncarnation) {
    this.client = client;
    this.resumeToken = resumeToken;
    this.fromEarlierIncarnation = fromEarlierIncarnation;
  }

  /** The client's name. */
  public String client() {
    return client;
  }

  /** The token with which the client resumes this session on another stream. */
  public String resumeToken() {
    return resumeToken;
  }

  /**
   * Whether the client presented a token that this scheduler does not know: it had a session with
   * an earlier incarnation of the scheduler, whose VMs may still be running.
   */
  public boolean isFromEarlierIncarnation() {
    return fromEarlierIncarnation;
  }

  /** Whether the session has an open stream. */
  public boolean isConnected() {
    return connected;
  }

  /** The number of placement requests of this session without a final response. */
  public int pendingRequests() {
    return pendingRequests;
  }

  /** The number of responses that are not yet written to the current stream. */
  public long unwrittenResponses() {
    return lastSequence - lastWritten;
  }

  /**
   * Returns the next response to write to the current stream and counts it as written; empty if
   * there is none.
   */
  public Optional<NumberedResponse> nextToWrite() {
    if (lastWritten >= lastSequence) {
      return Optional.empty();
    }
    for (NumberedResponse numbered : unacknowledged) {
      if (numbered.sequence() > lastWritten) {
        lastWritten = numbered.sequence();
        return Optional.of(numbered);
      }
    }
    lastWritten = lastSequence;
    return Optional.empty();
  }

  /**
   * Appends a response. If more than {@code maxUnacknowledged} are retained, the oldest are
   * discarded: a client that did not acknowledge them can get them again only by repeating its
   * requests for those VMs.
   */
  void append(ClientResponse response, int maxUnacknowledged) {
    unacknowledged.addLast(new NumberedResponse(++lastSequence, response));
    while (unacknowledged.size() > maxUnacknowledged) {
      discardedUpTo = unacknowledged.removeFirst().sequence();
    }
  }

  /**
   * Discards the responses up to {@code sequence}. Returns false if that number was never sent: the
   * client refers to another session.
   */
  boolean acknowledge(long sequence) {
    if (sequence > lastSequence) {
      return false;
    }
    discardedUpTo = Math.max(discardedUpTo, sequence);
    Iterator<NumberedResponse> oldestFirst = unacknowledged.iterator();
    while (oldestFirst.hasNext() && oldestFirst.next().sequence() <= sequence) {
      oldestFirst.remove();
    }
    return true;
  }

  /** Whether every response after {@code sequence} is still retained. */
  boolean canResumeAfter(long sequence) {
    return sequence >= discardedUpTo && sequence <= lastSequence;
  }

  /** Starts a new stream: responses after {@code sequence} are written again. */
  void resumeAfter(long sequence) {
    acknowledge(sequence);
    lastWritten = sequence;
  }

  void streamOpened() {
    connected = true;
  }

  void streamClosed(Duration now) {
    connected = false;
    disconnectedAt = now;
  }

  /** Whether the session has had no stream for {@code retention} and has no pending request. */
  boolean isExpired(Duration now, Duration retention) {
    return !connected && pendingRequests == 0 && disconnectedAt.plus(retention).compareTo(now) <= 0;
  }

  void requestAdded() {
    pendingRequests++;
  }

  void requestSettled() {
    pendingRequests--;
  }
}
