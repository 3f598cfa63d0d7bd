package fordridge.emulator.invariant;

import java.util.List;
import java.util.Map;

/** The result of checking a recording. */
public record InvariantReport(List<Violation> violations, Map<Statistic, Long> statistics) {
  private static final int MAX_VIOLATIONS_SHOWN = 5;

  /** Whether the recording violates no invariant. */
  public boolean allInvariantsHold() {
    return violations.isEmpty();
  }

  /**
   * Formats a report of several lines: each invariant with its first violations, then the
   * statistics.
   */
  public String text() {
    StringBuilder text = new StringBuilder();
    for (Invariant invariant : Invariant.values()) {
      if (isChecked(invariant)) {
        appendInvariant(text, invariant);
      }
    }
    statistics.forEach(
        (statistic, value) -> text.append(String.format("  %-52s %d%n", statistic.label(), value)));
    return text.toString();
  }

  private boolean isChecked(Invariant invariant) {
    return invariant != Invariant.TENANT_CONSTRAINTS_RESPECTED
        || statistics.containsKey(Statistic.OFFERS_CHECKED_AGAINST_CONSTRAINTS);
  }

  private void appendInvariant(StringBuilder text, Invariant invariant) {
    List<Violation> broken =
        violations.stream().filter(violation -> violation.invariant() == invariant).toList();
    text.append(
        String.format(
            "invariant %d, %s: %s%n",
            invariant.number(),
            invariant.title(),
            broken.isEmpty() ? "kept" : "BROKEN " + broken.size() + " times"));
    for (Violation violation : broken.subList(0, Math.min(MAX_VIOLATIONS_SHOWN, broken.size()))) {
      text.append("    line ")
          .append(violation.line())
          .append(": ")
          .append(violation.description())
          .append('\n');
    }
  }
}
