package fordridge.server.json;

import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * A token bucket for the bytes of log lines: its capacity is a burst of a few busy seconds, its
 * refill rate bounds sustained logging. The caller leaves out the lines that exceed it, which are
 * counted. Confined to one thread.
 */
final class LogByteBudget {
  static final long BURST_BYTES = 512 * 1024;
  static final long BYTES_PER_SECOND = 16 * 1024;

  private final LongSupplier nanoTime;
  private long availableBytes = BURST_BYTES;
  private long refilledAtNanos;
  private long exceededCount;

  /** Creates a full budget. */
  LogByteBudget(LongSupplier nanoTime) {
    this.nanoTime = nanoTime;
    refilledAtNanos = nanoTime.getAsLong();
  }

  /**
   * Takes the bytes of a line from the budget; takes nothing and returns false if the line exceeds
   * it.
   */
  boolean take(int bytes) {
    refill();
    if (bytes > availableBytes) {
      exceededCount++;
      return false;
    }
    availableBytes -= bytes;
    return true;
  }

  private void refill() {
    long now = nanoTime.getAsLong();
    long refill = (now - refilledAtNanos) * BYTES_PER_SECOND / TimeUnit.SECONDS.toNanos(1);
    if (refill > 0) {
      refilledAtNanos = now;
      availableBytes = Math.min(BURST_BYTES, availableBytes + refill);
    }
  }

  /** The number of lines that exceeded the budget. */
  long exceededCount() {
    return exceededCount;
  }
}
