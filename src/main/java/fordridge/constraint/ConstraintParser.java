package fordridge.constraint;

import fordridge.constraint.grammar.ConstraintsLexer;
import fordridge.constraint.grammar.ConstraintsParser;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.antlr.v4.runtime.BaseErrorListener;
import org.antlr.v4.runtime.CharStreams;
import org.antlr.v4.runtime.CommonTokenStream;
import org.antlr.v4.runtime.RecognitionException;
import org.antlr.v4.runtime.Recognizer;

/**
 * Parses and formats constraint sets. The length and the nesting of a text are limited, so that no
 * input exhausts the stack.
 */
public final class ConstraintParser {
  /** Names that constraints may use; a field with an empty set is not checked. */
  public record KnownNames(
      Set<String> tenants, Set<String> priorityClasses, Set<String> kinds, Set<String> zones) {
    /** Accepts every name. */
    public static final KnownNames UNCHECKED =
        new KnownNames(Set.of(), Set.of(), Set.of(), Set.of());
  }

  private static final int MAX_TEXT_CHARACTERS = 1 << 20;
  private static final int MAX_PARENTHESIS_DEPTH = 200;

  /** Each {@code not} adds one level to the recursion of the parser. */
  private static final int MAX_NEGATIONS = 20_000;

  private static final Pattern NEGATION = Pattern.compile("\\bnot\\b");

  private ConstraintParser() {}

  /**
   * Parses a constraint set.
   *
   * @throws ConstraintSyntaxException with all problems of the text, if it has any
   */
  public static List<PlacementConstraint> parse(String text, KnownNames knownNames)
      throws ConstraintSyntaxException {
    checkSize(text);
    checkNesting(text);
    SourceText source = new SourceText(text);
    List<ConstraintSyntaxException.Problem> problems = new ArrayList<>();
    ConstraintsParser.FileContext tree = parseTree(text, source, problems);
    throwIfAny(problems);
    List<PlacementConstraint> constraints =
        new ConstraintTreeReader(source, knownNames, problems).readAll(tree);
    throwIfAny(problems);
    return constraints;
  }

  /**
   * Formats a set with one constraint on each line. The text parses back to an equal set, except
   * for the line numbers.
   */
  public static String format(List<PlacementConstraint> constraints) {
    StringBuilder text = new StringBuilder();
    constraints.forEach(constraint -> text.append(constraint).append('\n'));
    return text.toString();
  }

  private static void checkSize(String text) throws ConstraintSyntaxException {
    if (text.length() > MAX_TEXT_CHARACTERS) {
      throw new ConstraintSyntaxException(
          List.of(
              SourceText.problemOfWholeText(
                  "the text has "
                      + text.length()
                      + " characters, the maximum is "
                      + MAX_TEXT_CHARACTERS)));
    }
  }

  private static void checkNesting(String text) throws ConstraintSyntaxException {
    int depth = parenthesisDepth(text);
    if (depth > MAX_PARENTHESIS_DEPTH) {
      throw new ConstraintSyntaxException(
          List.of(
              SourceText.problemOfWholeText(
                  "parentheses are nested "
                      + depth
                      + " levels deep, the maximum is "
                      + MAX_PARENTHESIS_DEPTH)));
    }
    int negations = countNegations(text);
    if (negations >= MAX_NEGATIONS) {
      throw new ConstraintSyntaxException(
          List.of(
              SourceText.problemOfWholeText(
                  "'not' occurs "
                      + negations
                      + " times, fewer than "
                      + MAX_NEGATIONS
                      + " allowed")));
    }
  }

  private static int parenthesisDepth(String text) {
    int depth = 0;
    int maxDepth = 0;
    for (int i = 0; i < text.length(); i++) {
      if (text.charAt(i) == '(') {
        depth++;
      } else if (text.charAt(i) == ')') {
        depth--;
      }
      maxDepth = Math.max(maxDepth, depth);
    }
    return maxDepth;
  }

  private static int countNegations(String text) {
    Matcher matcher = NEGATION.matcher(text);
    int count = 0;
    while (matcher.find()) {
      count++;
    }
    return count;
  }

  private static ConstraintsParser.FileContext parseTree(
      String text, SourceText source, List<ConstraintSyntaxException.Problem> problems) {
    BaseErrorListener listener = new ProblemCollector(source, problems);
    ConstraintsLexer lexer = new ConstraintsLexer(CharStreams.fromString(text));
    lexer.removeErrorListeners();
    lexer.addErrorListener(listener);
    ConstraintsParser parser = new ConstraintsParser(new CommonTokenStream(lexer));
    parser.removeErrorListeners();
    parser.addErrorListener(listener);
    return parser.file();
  }

  private static void throwIfAny(List<ConstraintSyntaxException.Problem> problems)
      throws ConstraintSyntaxException {
    if (!problems.isEmpty()) {
      throw new ConstraintSyntaxException(problems);
    }
  }

  /** Collects the errors of the lexer and the parser as problems with an excerpt of the text. */
  private static final class ProblemCollector extends BaseErrorListener {
    private final SourceText source;
    private final List<ConstraintSyntaxException.Problem> problems;

    ProblemCollector(SourceText source, List<ConstraintSyntaxException.Problem> problems) {
      this.source = source;
      this.problems = problems;
    }

    @Override
    public void syntaxError(
        Recognizer<?, ?> recognizer,
        Object symbol,
        int line,
        int column,
        String message,
        RecognitionException cause) {
      problems.add(source.problemAt(line, column, message.replace("\n", " ")));
    }
  }
}
