package fordridge.runtime;

import java.time.Duration;
import java.util.EnumMap;
import java.util.Map;

/**
 * How many inputs of each kind ran in one turn of an event loop, how long they took, and which took
 * longest. What follows from an input counts as part of it. For one thread.
 */
public final class InputStatistics {
  private static final class KindStatistics {
    long count;
    long nanos;
    long longestNanos;
  }

  private final Map<InputKind, KindStatistics> byKind = new EnumMap<>(InputKind.class);
  private final Map<InputKind, Long> periodCounts = new EnumMap<>(InputKind.class);

  /** A new turn begins: what was counted is forgotten. */
  public void startTurn() {
    byKind.clear();
  }

  /** An input of this kind took so long. */
  public void record(InputKind kind, long nanos) {
    periodCounts.merge(kind, 1L, Long::sum);
    KindStatistics statistics = byKind.computeIfAbsent(kind, k -> new KindStatistics());
    statistics.count++;
    statistics.nanos += nanos;
    statistics.longestNanos = Math.max(statistics.longestNanos, nanos);
  }

  /** Whether no input has run in this turn. */
  public boolean isTurnEmpty() {
    return byKind.isEmpty();
  }

  /** The number of inputs by kind since the last call. */
  public String takePeriodCounts() {
    String counts = periodCounts.toString();
    periodCounts.clear();
    return counts;
  }

  /** The inputs of this turn by kind: their number, time and longest in milliseconds. */
  public String describeTurn() {
    StringBuilder text = new StringBuilder("inputs");
    byKind.forEach(
        (kind, statistics) ->
            text.append(' ')
                .append(kind)
                .append('=')
                .append(statistics.count)
                .append('/')
                .append(Duration.ofNanos(statistics.nanos).toMillis())
                .append("ms/max ")
                .append(Duration.ofNanos(statistics.longestNanos).toMillis())
                .append("ms"));
    return text.toString();
  }
}
