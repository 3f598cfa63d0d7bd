package fordridge.server.json;

import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Bounds the bytes of log lines: a burst of a few busy seconds in full, and a sustained rate. Lines
 * beyond it are to be left out, and are counted. Confined to one thread.
 */
final class LogByteBudget {
  static final long BURST_BYTES = 512 * 1024;
  static final long BYTES_PER_SECOND = 16 * 1024;

  private final LongSupplier nanoTime;
  private long availableBytes = BURST_BYTES;
  private long refilledAtNanos;
  private long exceededCount;

  /** A full budget. */
  LogByteBudget(LongSupplier nanoTime) {
    this.nanoTime = nanoTime;
    refilledAtNanos = nanoTime.getAsLong();
  }

  /** Takes the bytes of a line off the budget; false, and nothing is taken, if it exceeds it. */
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

  /** How often the budget was exceeded. */
  long exceededCount() {
    return exceededCount;
  }
}
