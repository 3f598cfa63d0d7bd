package fordridge.json;

import java.time.Duration;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Tracks which connections may have unread input that arrived before a read of all sockets began. A
 * read consists of passes over the ready sockets, in each of which a connection has a read cycle of
 * limited size. A connection is done with the read once a cycle has reached the end of its input,
 * or once as much was read from it as its receive buffer can hold: a peer that writes as fast as it
 * is read must not keep the read from ending. Not thread-safe.
 *
 * @param <C> a connection
 */
final class UnreadInputTracker<C> {
  private static final class Unread {
    final long sinceNanos;
    long bytesInRead;
    boolean isReadInPass;
    boolean isTooLong;

    Unread(long sinceNanos) {
      this.sinceNanos = sinceNanos;
    }
  }

  private final long receiveBufferBytes;
  private final Duration maxUnreadTime;
  private final Map<C, Unread> unreadByConnection = new LinkedHashMap<>();
  private long tooLongCount;

  /**
   * Creates a tracker without connections.
   *
   * @param receiveBufferBytes the most input that can have arrived and be unread
   * @param maxUnreadTime a connection that has had unread input for so long is no longer waited for
   */
  UnreadInputTracker(long receiveBufferBytes, Duration maxUnreadTime) {
    this.receiveBufferBytes = receiveBufferBytes;
    this.maxUnreadTime = maxUnreadTime;
  }

  /** A read of all sockets begins. */
  void startRead() {
    for (Unread unread : unreadByConnection.values()) {
      unread.bytesInRead = 0;
    }
  }

  /** A pass over all ready sockets begins; a connection that it doesn't read has no input. */
  void startPass() {
    for (Unread unread : unreadByConnection.values()) {
      unread.isReadInPass = false;
    }
  }

  /** A cycle has read that many bytes, and has ended before the end of the input. */
  void cycleEndedEarly(C connection, long bytes, long nowNanos) {
    Unread unread = unreadByConnection.computeIfAbsent(connection, c -> new Unread(nowNanos));
    unread.bytesInRead += bytes;
    unread.isReadInPass = true;
  }

  /** A cycle has reached the end of the input, or the connection is no longer read. */
  void remove(C connection) {
    unreadByConnection.remove(connection);
  }

  /** Whether, after a pass, the read needs another one. */
  boolean needsPass(long nowNanos) {
    boolean needsPass = false;
    Iterator<Unread> each = unreadByConnection.values().iterator();
    while (each.hasNext()) {
      Unread unread = each.next();
      if (!unread.isReadInPass) {
        each.remove();
      } else if (nowNanos - unread.sinceNanos >= maxUnreadTime.toNanos()) {
        tooLongCount += unread.isTooLong ? 0 : 1;
        unread.isTooLong = true;
      } else if (unread.bytesInRead < receiveBufferBytes) {
        needsPass = true;
      }
    }
    return needsPass;
  }

  /** How long the connection has had unread input without a break. */
  Duration unreadFor(C connection, long nowNanos) {
    Unread unread = unreadByConnection.get(connection);
    return unread == null ? Duration.ZERO : Duration.ofNanos(nowNanos - unread.sinceNanos);
  }

  /** The number of times that a connection had unread input for the maximum time. */
  long tooLongCount() {
    return tooLongCount;
  }
}
