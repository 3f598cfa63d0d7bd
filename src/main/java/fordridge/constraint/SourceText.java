package fordridge.constraint;

import java.util.Optional;

/** The text of a constraint set by lines, used to locate problems. */
final class SourceText {
  private static final int MAX_EXCERPT_CHARACTERS = 80;

  private final String[] lines;

  SourceText(String text) {
    lines = text.split("\n", -1);
  }

  /**
   * Creates a problem at a position as reported by the lexer.
   *
   * @param line line number, from 1
   * @param zeroBasedColumn column number, from 0
   */
  ConstraintSyntaxException.Problem problemAt(int line, int zeroBasedColumn, String description) {
    return new ConstraintSyntaxException.Problem(
        line, zeroBasedColumn + 1, Optional.of(excerpt(line)), description);
  }

  /** Creates a problem of the text as a whole, located at its beginning. */
  static ConstraintSyntaxException.Problem problemOfWholeText(String description) {
    return new ConstraintSyntaxException.Problem(1, 1, Optional.empty(), description);
  }

  private String excerpt(int line) {
    if (line < 1 || line > lines.length) {
      return "";
    }
    String stripped = lines[line - 1].strip();
    if (stripped.length() <= MAX_EXCERPT_CHARACTERS) {
      return stripped;
    }
    return stripped.substring(0, MAX_EXCERPT_CHARACTERS) + "...";
  }
}
