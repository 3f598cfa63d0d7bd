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

  /** Moves on to a line of the recording; violations are reported at it. */
  void moveTo(long lineNumber) {
    line = lineNumber;
  }

  long line() {
    return line;
  }

  void violated(Invariant invariant, String description) {
    violatedAt(line, invariant, description);
  }

  void violatedAt(long lineNumber, Invariant invariant, String description) {
    violations.add(new Violation(invariant, lineNumber, description));
  }

  void count(Figure figure) {
    figures.merge(figure, 1L, Long::sum);
  }

  void maximum(Figure figure, long value) {
    figures.merge(figure, value, Math::max);
  }

  void set(Figure figure, long value) {
    figures.put(figure, value);
  }

  Verdict verdict() {
    return new Verdict(violations, figures);
  }
}
