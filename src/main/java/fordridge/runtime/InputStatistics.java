package fordridge.runtime;

import java.time.Duration;
import java.util.EnumMap;
import java.util.Map;

/**
 * Counts and times the inputs of each kind that ran in one turn of an event loop. Inputs that
 * result from another input count as part of it. Not thread-safe.
 */
public final class InputStatistics {
  private static final class KindStatistics {
    long count;
    long nanos;
    long longestNanos;
  }

  private final Map<InputKind, KindStatistics> byKind = new EnumMap<>(InputKind.class);
  private final Map<InputKind, Long> periodCounts = new EnumMap<>(InputKind.class);

  /** Starts a new turn and resets its counts. */
  public void startTurn() {
    byKind.clear();
  }

  /** Records an input of this kind and the time that it took. */
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

  /** Returns the number of inputs by kind since the last call. */
  public String takePeriodCounts() {
    String counts = periodCounts.toString();
    periodCounts.clear();
    return counts;
  }

  /**
   * Returns the inputs of this turn by kind: their number, total time and longest time in
   * milliseconds.
   */
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
