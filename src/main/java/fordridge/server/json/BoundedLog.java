package fordridge.server.json;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Limits the lines per event in a reporting period, so that a flood of one event neither fills the
 * log nor hides the others. Counts the lines that are suppressed. Confined to one thread.
 */
final class BoundedLog {
  static final int MAX_LINES_PER_EVENT = 60;

  private final Consumer<String> log;
  private final Map<String, Integer> linesInPeriod = new HashMap<>();
  private long suppressedLines;

  BoundedLog(Consumer<String> log) {
    this.log = log;
  }

  /** Logs {@code event: details}, unless the event has reached its limit in this period. */
  void write(String event, String details) {
    if (linesInPeriod.merge(event, 1, Integer::sum) <= MAX_LINES_PER_EVENT) {
      log.accept(event + ": " + details);
    } else {
      suppressedLines++;
    }
  }

  /** The number of lines suppressed since the start. */
  long suppressedLines() {
    return suppressedLines;
  }

  /** Starts a new reporting period, in which no event has been logged yet. */
  void startPeriod() {
    linesInPeriod.clear();
  }
}
