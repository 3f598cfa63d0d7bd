package fordridge.json;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Bounds the memory of incomplete lines, of all connections of one kind together: whether a line is
 * too long shows only when it is, and many connections may each have one. Confined to the event
 * loop.
 */
public final class InputMemory {
  private final long maxBytes;
  private final Map<LineDecoder, Integer> bytesByDecoder = new HashMap<>();
  private long totalBytes;
  private long peakBytes;
  private long rejectedCount;

  /** Creates a bound; nothing is retained yet. */
  public InputMemory(long maxBytes) {
    this.maxBytes = maxBytes;
  }

  /**
   * Records what the decoder retains now. While all retain more than the bound, the decoder that
   * retains most rejects its line.
   */
  void update(LineDecoder decoder, int bytes) {
    Integer before =
        bytes == 0 ? bytesByDecoder.remove(decoder) : bytesByDecoder.put(decoder, bytes);
    totalBytes += bytes - (before == null ? 0 : before);
    peakBytes = Math.max(peakBytes, totalBytes);
    while (totalBytes > maxBytes) {
      rejectLargest();
    }
  }

  private void rejectLargest() {
    Optional<LineDecoder> largest =
        bytesByDecoder.entrySet().stream()
            .max(Comparator.comparingInt(Map.Entry::getValue))
            .map(Map.Entry::getKey);
    rejectedCount++;
    remove(largest.orElseThrow());
    largest.get().rejectLine();
  }

  /** The decoder retains nothing any more. */
  void remove(LineDecoder decoder) {
    update(decoder, 0);
  }

  /** The bytes retained now and at most, and the number of lines rejected, for the log. */
  public String describe() {
    return totalBytes + " at most " + peakBytes + " of " + maxBytes + ", rejected " + rejectedCount;
  }
}
