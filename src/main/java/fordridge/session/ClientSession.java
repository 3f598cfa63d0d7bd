package fordridge.session;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.Optional;

/**
 * The ordered responses to one client, over any number of its streams: each has a sequence number,
 * is retained until the client acknowledges it, and is written again when the client resumes from
 * an earlier number. Not thread-safe; belongs to the event loop of its {@link ClientSessions}.
 */
public final class ClientSession {
  /** A response under the sequence number that the client acknowledges. */
  public record NumberedResponse(long sequence, ClientResponse response) {}

  private final String client;
  private final String resumeToken;
  private final boolean fromEarlierIncarnation;

  /** Responses not yet acknowledged, in the order of their sequence numbers. */
  private final Deque<NumberedResponse> unacknowledged = new ArrayDeque<>();

  private long lastSequence;
  private long lastWritten;

  /** Responses up to this number were acknowledged or discarded, and can't be written again. */
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

  /** The token by which the client resumes this session on another stream. */
  public String resumeToken() {
    return resumeToken;
  }

  /**
   * Whether the client came with a token that this scheduler does not know: it had a session with
   * an earlier incarnation of the scheduler, whose VMs may still run.
   */
  public boolean isFromEarlierIncarnation() {
    return fromEarlierIncarnation;
  }

  /** Whether a stream carries this session now. */
  public boolean isConnected() {
    return connected;
  }

  /** Placement requests of this session without a final response. */
  public int pendingRequests() {
    return pendingRequests;
  }

  /** Responses that no stream has taken yet. */
  public long unwrittenResponses() {
    return lastSequence - lastWritten;
  }

  /**
   * The next response that the current stream has not carried, which counts as written from here
   * on; empty if there is none.
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
   * Appends a response. Beyond {@code maxUnacknowledged} the oldest are discarded: a client that
   * never acknowledged them has to request those VMs again by name.
   */
  void append(ClientResponse response, int maxUnacknowledged) {
    unacknowledged.addLast(new NumberedResponse(++lastSequence, response));
    while (unacknowledged.size() > maxUnacknowledged) {
      discardedUpTo = unacknowledged.removeFirst().sequence();
    }
  }

  /** False for a number that was never sent: the client speaks of another session. */
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

  /** A new stream begins: responses after {@code sequence} are written again. */
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

  /** Whether the session is over: no stream for {@code retention}, and no request pending. */
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
