package fordridge.session;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;

/** One client of a placer, over any number of streams. */
public final class ClientSession {
  /** An answer under the number that the client acknowledges. */
  public record NumberedResponse(long seq, ClientResponse answer) {}

  public final String client;
  public final String token;

  /** Said and not known to be taken in, in order. */
  private final Deque<NumberedResponse> unread = new ArrayDeque<>();

  private long lastSeq;
  private long written;

  /** All up to this number is known to be taken in, or was let go. */
  private long floor;

  int inHand;
  boolean attached;

  /**
   * Its client came with a token that this placer does not know: it had a session in an earlier
   * life of it.
   */
  boolean strayed;

  Duration awayAt;

  ClientSession(String client, String token) {
    this.client = client;
    this.token = token;
  }

  /**
   * Beyond {@code most} the oldest is let go: a client that never acknowledged it must ask by name.
   */
  void say(ClientResponse answer, int most) {
    unread.addLast(new NumberedResponse(++lastSeq, answer));
    while (unread.size() > most) {
      floor = unread.removeFirst().seq;
    }
  }

  /** The next answer that this stream has not carried, or null; it counts as written. */
  public NumberedResponse next() {
    if (written >= lastSeq) {
      return null;
    }
    for (Iterator<NumberedResponse> i = unread.iterator(); i.hasNext(); ) {
      NumberedResponse t = i.next();
      if (t.seq > written) {
        written = t.seq;
        return t;
      }
    }
    written = lastSeq;
    return null;
  }

  /** False for a number that was never said: the client speaks of another session. */
  boolean acknowledge(long seen) {
    if (seen > lastSeq) {
      return false;
    }
    floor = Math.max(floor, seen);
    while (!unread.isEmpty() && unread.peekFirst().seq <= seen) {
      unread.removeFirst();
    }
    return true;
  }

  /** Whether all that came after {@code seen} is still there to be said again. */
  boolean machineHandles(long seen) {
    return seen >= floor && seen <= lastSeq;
  }

  /** A new stream: what came after {@code seen} is written again. */
  void rewind(long seen) {
    written = seen;
  }

  /** Said, and not taken by the transport yet. */
  public long unwritten() {
    return lastSeq - written;
  }

  public int inHand() {
    return inHand;
  }

  public boolean strayed() {
    return strayed;
  }

  public boolean attached() {
    return attached;
  }
}
