package fordridge.session;

import fordridge.model.SharedLimit;
import java.util.HashMap;
import java.util.Map;

/**
 * Bounds the pending requests of all clients together, in number and in retained bytes, each by a
 * {@link SharedLimit}.
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

  private final SharedLimit requestLimit;
  private final SharedLimit byteLimit;
  private final Usage total = new Usage();
  private final Map<C, Usage> usageByConnection = new HashMap<>();
  private long peakBytes;
  private long refusedForBytes;

  PendingRequestBudget(PendingRequestLimits limits) {
    requestLimit = new SharedLimit(limits.maxRequests());
    byteLimit = new SharedLimit(limits.maxBytes());
  }

  /** Takes a request of so many retained bytes into the budget if it fits; counts refusals. */
  Decision reserve(C connection, long bytes) {
    Usage usage = usageByConnection.getOrDefault(connection, new Usage());
    if (!requestLimit.admits(total.requests + 1L, usage.requests + 1L)) {
      return Decision.TOO_MANY_REQUESTS;
    }
    if (!byteLimit.admits(total.bytes + bytes, usage.bytes + bytes)) {
      refusedForBytes++;
      return Decision.TOO_MANY_BYTES;
    }
    total.add(1, bytes);
    usage.add(1, bytes);
    usageByConnection.put(connection, usage);
    peakBytes = Math.max(peakBytes, total.bytes);
    return Decision.GRANTED;
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
        + byteLimit.max()
        + ", refused for memory "
        + refusedForBytes;
  }
}
