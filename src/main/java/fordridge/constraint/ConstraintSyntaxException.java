package fordridge.constraint;

import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;

/** Thrown for a text that is not a valid constraint set; holds every problem found. */
public final class ConstraintSyntaxException extends Exception {
  private static final long serialVersionUID = 1L;

  /**
   * A position at which a text is invalid, and what is valid there.
   *
   * @param line line number, from 1
   * @param column column number, from 1
   * @param excerpt the text of the line, shortened; empty for problems of the text as a whole
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
