package fordridge.json;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Bounds the memory of incomplete lines, of all connections of one kind together: whether a line is
 * too long shows only when it is, and many connections may each have one. Confined to the event
 * loop.
 */
public final class InputMemory {
  private final long maxBytes;

  /** Decoders with an incomplete line, the one with the oldest line first. */
  private final Map<LineDecoder, Integer> bytesByDecoder = new LinkedHashMap<>();

  private long totalBytes;
  private long peakBytes;
  private long rejectedCount;

  /** Creates a bound; nothing is retained yet. */
  public InputMemory(long maxBytes) {
    this.maxBytes = maxBytes;
  }

  /**
   * Records what the decoder retains now. While all retain more than the bound, the decoder with
   * the oldest incomplete line rejects it: a line that is still being sent completes soon.
   *
   * @param isNewLine whether a line was completed since the last call, so that what is retained now
   *     is of another one
   */
  void update(LineDecoder decoder, int bytes, boolean isNewLine) {
    if (bytes == 0 || isNewLine) {
      remove(decoder);
    }
    if (bytes > 0) {
      Integer before = bytesByDecoder.put(decoder, bytes);
      totalBytes += bytes - (before == null ? 0 : before);
    }
    peakBytes = Math.max(peakBytes, totalBytes);
    while (totalBytes > maxBytes) {
      rejectOldest();
    }
  }

  private void rejectOldest() {
    LineDecoder oldest = bytesByDecoder.keySet().iterator().next();
    rejectedCount++;
    remove(oldest);
    oldest.rejectLine();
  }

  /** The decoder retains nothing any more. */
  void remove(LineDecoder decoder) {
    Integer before = bytesByDecoder.remove(decoder);
    totalBytes -= before == null ? 0 : before;
  }

  /** The bytes retained now and at most, and the number of lines rejected, for the log. */
  public String describe() {
    return totalBytes + " at most " + peakBytes + " of " + maxBytes + ", rejected " + rejectedCount;
  }
}
