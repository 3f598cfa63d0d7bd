package fordridge.constraint;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.regex.Pattern;

/**
 * Entry point for a coverage-guided fuzzer.
 *
 * <p>Jazzer calls it with its inputs; {@code docs/constraints.md} has the command. Any text must
 * either parse and be formatted into a text that parses to the same set, or be rejected with
 * located problems.
 */
public final class ConstraintParserFuzz {
  private static final Pattern LOCATED_PROBLEM = Pattern.compile("(?s)\\d+:\\d+: .+");

  private ConstraintParserFuzz() {}

  /** Parses one input of the fuzzer, and throws if the parser violates these requirements. */
  public static void fuzzerTestOneInput(byte[] input) {
    String text = new String(input, StandardCharsets.UTF_8);
    try {
      checkFormattingIsStable(ConstraintFixtures.parse(text));
    } catch (ConstraintSyntaxException e) {
      checkProblemsAreLocated(e.messages());
    }
  }

  private static void checkFormattingIsStable(List<PlacementConstraint> constraints)
      throws ConstraintSyntaxException {
    String formatted = ConstraintParser.format(constraints);
    String reformatted = ConstraintParser.format(ConstraintFixtures.parse(formatted));
    if (!reformatted.equals(formatted)) {
      throw new IllegalStateException(
          "formatting is not stable: first '" + formatted + "', then '" + reformatted + "'");
    }
  }

  private static void checkProblemsAreLocated(List<String> problems) {
    if (problems.isEmpty()) {
      throw new IllegalStateException("text was rejected without a problem");
    }
    for (String problem : problems) {
      if (!LOCATED_PROBLEM.matcher(problem).matches()) {
        throw new IllegalStateException("problem without line and column: " + problem);
      }
    }
  }
}
