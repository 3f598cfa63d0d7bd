package fordridge.session;

import java.util.HashMap;
import java.util.Map;

/**
 * Bounds the pending requests of all clients together, in number and in retained bytes, and keeps
 * one client from using up either bound: the last quarter of each is reserved for connections that
 * use at most a sixteenth of it.
 *
 * <p>Does no I/O and reads no clock. Not thread-safe.
 *
 * @param <C> a client's connection
 */
final class PendingRequestBudget<C> {
  /** Whether a request fits into the budget. */
  enum Decision {
    GRANTED,
    /** The maximum number of requests is pending, or all that one connection may have. */
    TOO_MANY_REQUESTS,
    /** The pending requests retain the maximum of bytes, or all that one connection may have. */
    TOO_MANY_BYTES
  }

  private static final class Usage {
    int requests;
    long bytes;

    void add(int addedRequests, long addedBytes) {
      requests += addedRequests;
      bytes += addedBytes;
    }
  }

  /** One part in so many of each bound is reserved. */
  private static final int RESERVED_FRACTION = 4;

  /** A connection may use the reserved part up to one part in so many of the bound. */
  private static final int MODEST_FRACTION = 16;

  private final PendingRequestLimits limits;
  private final Usage total = new Usage();
  private final Map<C, Usage> usageByConnection = new HashMap<>();
  private long peakBytes;
  private long refusedForBytes;

  PendingRequestBudget(PendingRequestLimits limits) {
    this.limits = limits;
  }

  /** Takes a request of so many retained bytes into the budget if it fits; counts refusals. */
  Decision reserve(C connection, long bytes) {
    Usage usage = usageByConnection.getOrDefault(connection, new Usage());
    if (!fits(total.requests + 1L, usage.requests + 1L, limits.maxRequests())) {
      return Decision.TOO_MANY_REQUESTS;
    }
    if (!fits(total.bytes + bytes, usage.bytes + bytes, limits.maxBytes())) {
      refusedForBytes++;
      return Decision.TOO_MANY_BYTES;
    }
    total.add(1, bytes);
    usage.add(1, bytes);
    usageByConnection.put(connection, usage);
    peakBytes = Math.max(peakBytes, total.bytes);
    return Decision.GRANTED;
  }

  private static boolean fits(long totalAfter, long ofConnectionAfter, long limit) {
    long unreserved = limit - limit / RESERVED_FRACTION;
    return totalAfter <= limit
        && (totalAfter <= unreserved || ofConnectionAfter <= limit / MODEST_FRACTION);
  }

  /** Returns a request's share of the budget; the bytes are those that were reserved. */
  void release(C connection, long bytes) {
    total.add(-1, -bytes);
    Usage usage = usageByConnection.get(connection);
    usage.add(-1, -bytes);
    if (usage.requests == 0) {
      usageByConnection.remove(connection);
    }
  }

  /** The number of pending requests. */
  int requests() {
    return total.requests;
  }

  /** The bytes that the pending requests retain, and the number of requests refused for them. */
  String describe() {
    return total.bytes
        + " at most "
        + peakBytes
        + " of "
        + limits.maxBytes()
        + ", refused for memory "
        + refusedForBytes;
  }
}
