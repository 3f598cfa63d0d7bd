package fordridge.emulator.invariant;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Collects violations and statistics while a recording is read. */
final class Findings {
  private final List<Violation> violations = new ArrayList<>();
  private final Map<Statistic, Long> statistics = new LinkedHashMap<>();
  private long line;

  /**
   * Sets the line of the recording at which {@link #addViolation} reports violations from now on.
   */
  void setLine(long lineNumber) {
    line = lineNumber;
  }

  long line() {
    return line;
  }

  void addViolation(Invariant invariant, String description) {
    addViolationAt(line, invariant, description);
  }

  void addViolationAt(long lineNumber, Invariant invariant, String description) {
    violations.add(new Violation(invariant, lineNumber, description));
  }

  void increment(Statistic statistic) {
    statistics.merge(statistic, 1L, Long::sum);
  }

  void recordMaximum(Statistic statistic, long value) {
    statistics.merge(statistic, value, Math::max);
  }

  void set(Statistic statistic, long value) {
    statistics.put(statistic, value);
  }

  InvariantReport report() {
    return new InvariantReport(violations, statistics);
  }
}
