package fordridge.constraint;

import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * For a coverage-guided fuzzer (jazzer calls this with its inputs; {@code docs/constraints.md} has
 * the command): whatever the text, it is read and prints to what reads the same, or is refused with
 * every complaint placed.
 */
public final class ConstraintParserFuzz {
  private ConstraintParserFuzz() {}

  public static void fuzzerTestOneInput(byte[] input) {
    String text = new String(input, StandardCharsets.UTF_8);
    try {
      List<PlacementConstraint> rules =
          ConstraintParser.parse(text, ConstraintParser.KnownNames.UNCHECKED);
      String printed = ConstraintParser.format(rules);
      String again =
          ConstraintParser.format(
              ConstraintParser.parse(printed, ConstraintParser.KnownNames.UNCHECKED));
      if (!again.equals(printed)) {
        throw new IllegalStateException("prints as '" + printed + "', then as '" + again + "'");
      }
    } catch (ConstraintSyntaxException e) {
      for (String c : e.messages()) {
        if (!c.matches("(?s)\\d+:\\d+: .+")) {
          throw new IllegalStateException("not placed: " + c);
        }
      }
      if (e.messages().isEmpty()) {
        throw new IllegalStateException("refused without a complaint");
      }
    }
  }
}
