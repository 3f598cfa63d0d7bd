package fordridge.server.json;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Bounds the lines of each kind of event in a reporting period, so that a flood of one kind neither
 * fills the log nor hides the others, and counts all events. Confined to one thread.
 */
final class BoundedLog {
  static final int MAX_LINES_PER_EVENT = 60;

  private final Consumer<String> log;
  private final Map<String, Integer> linesInPeriod = new HashMap<>();
  private long suppressedLines;

  BoundedLog(Consumer<String> log) {
    this.log = log;
  }

  /** Logs {@code event: details}, unless the event was logged too often in this period. */
  void write(String event, String details) {
    if (linesInPeriod.merge(event, 1, Integer::sum) <= MAX_LINES_PER_EVENT) {
      log.accept(event + ": " + details);
    } else {
      suppressedLines++;
    }
  }

  /** Lines that were left out since the start. */
  long suppressedLines() {
    return suppressedLines;
  }

  /** From now on each event may be logged anew. */
  void startPeriod() {
    linesInPeriod.clear();
  }
}
