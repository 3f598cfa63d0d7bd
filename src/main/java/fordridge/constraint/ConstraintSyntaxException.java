package fordridge.constraint;

import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;

/** A text that is no constraint set; holds every problem found. */
public final class ConstraintSyntaxException extends Exception {
  private static final long serialVersionUID = 1L;

  /**
   * Where a text is wrong, and what would be right.
   *
   * @param line from 1
   * @param column from 1
   * @param excerpt the line's text, shortened; empty for problems of the text as a whole
   * @param description what is wrong and what is allowed
   */
  public record Problem(int line, int column, Optional<String> excerpt, String description) {
    /** The problem as {@code LINE:COLUMN: in 'EXCERPT': DESCRIPTION}. */
    @Override
    public String toString() {
      return line
          + ":"
          + column
          + ": "
          + excerpt.map(text -> "in '" + text + "': ").orElse("")
          + description;
    }
  }

  private final transient List<Problem> problems;

  ConstraintSyntaxException(List<Problem> problems) {
    super(problems.stream().map(Problem::toString).collect(Collectors.joining("\n")));
    this.problems = List.copyOf(problems);
  }

  /** Every problem found; never empty. */
  public List<Problem> problems() {
    return problems;
  }

  /** Every problem as one line of text. */
  public List<String> messages() {
    return problems.stream().map(Problem::toString).toList();
  }
}
