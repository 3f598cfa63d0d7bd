package fordridge.emulator.invariant;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Collects violations and figures while a recording is read. */
final class Findings {
  private final List<Violation> violations = new ArrayList<>();
  private final Map<Figure, Long> figures = new LinkedHashMap<>();
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

  void increment(Figure figure) {
    figures.merge(figure, 1L, Long::sum);
  }

  void recordMaximum(Figure figure, long value) {
    figures.merge(figure, value, Math::max);
  }

  void set(Figure figure, long value) {
    figures.put(figure, value);
  }

  Verdict verdict() {
    return new Verdict(violations, figures);
  }
}
