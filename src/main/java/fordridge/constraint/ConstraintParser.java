package fordridge.constraint;

import fordridge.constraint.grammar.ConstraintsBaseVisitor;
import fordridge.constraint.grammar.ConstraintsLexer;
import fordridge.constraint.grammar.ConstraintsParser;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.antlr.v4.runtime.BaseErrorListener;
import org.antlr.v4.runtime.CharStreams;
import org.antlr.v4.runtime.CommonTokenStream;
import org.antlr.v4.runtime.ParserRuleContext;
import org.antlr.v4.runtime.RecognitionException;
import org.antlr.v4.runtime.Recognizer;
import org.antlr.v4.runtime.Token;

/** Reads and prints sets of rules. */
public final class ConstraintParser {
  /** Names that rules may speak of; an empty set leaves a field unchecked. */
  public record Names(
      Set<String> tenants, Set<String> priorityClasses, Set<String> kinds, Set<String> zones) {
    public static final Names ANY = new Names(Set.of(), Set.of(), Set.of(), Set.of());
  }

  /**
   * A set that cannot be read; each complaint with line, column, the line itself and what would be
   * right.
   */
  public static final class ConstraintSyntaxException extends Exception {
    private static final long serialVersionUID = 1L;
    public final transient List<String> complaints;

    ConstraintSyntaxException(List<String> complaints) {
      super(String.join("\n", complaints));
      this.complaints = List.copyOf(complaints);
    }
  }

  private static final int MOST_CHARACTERS = 1 << 20;
  private static final int DEEPEST = 200;

  private ConstraintParser() {}

  public static List<PlacementConstraint> read(String text, Names names)
      throws ConstraintSyntaxException {
    if (text.length() > MOST_CHARACTERS) {
      throw new ConstraintSyntaxException(
          List.of("1:1: " + text.length() + " characters, at most " + MOST_CHARACTERS));
    }
    String[] lines = text.split("\n", -1);
    List<String> errors = new ArrayList<>();
    int depth = 0;
    int deepest = 0;
    for (int i = 0; i < text.length(); i++) {
      depth += text.charAt(i) == '(' ? 1 : text.charAt(i) == ')' ? -1 : 0;
      deepest = Math.max(deepest, depth);
    }
    if (deepest > DEEPEST || text.split("\\bnot\\b", -1).length > 20_000) {
      throw new ConstraintSyntaxException(
          List.of("1:1: nested " + deepest + " deep, at most " + DEEPEST));
    }
    BaseErrorListener listener =
        new BaseErrorListener() {
          @Override
          public void syntaxError(
              Recognizer<?, ?> r,
              Object symbol,
              int line,
              int column,
              String message,
              RecognitionException e) {
            errors.add(place(lines, line, column) + message.replace("\n", " "));
          }
        };
    ConstraintsLexer lexer = new ConstraintsLexer(CharStreams.fromString(text));
    lexer.removeErrorListeners();
    lexer.addErrorListener(listener);
    ConstraintsParser parser = new ConstraintsParser(new CommonTokenStream(lexer));
    parser.removeErrorListeners();
    parser.addErrorListener(listener);
    ConstraintsParser.FileContext file = parser.file();
    if (!errors.isEmpty()) {
      throw new ConstraintSyntaxException(errors);
    }
    List<PlacementConstraint> rules = new ArrayList<>();
    Map<String, Integer> seen = new HashMap<>();
    ClauseVisitor reading = new ClauseVisitor(lines, names, errors);
    for (ConstraintsParser.Rule_Context r : file.rule_()) {
      PlacementConstraint rule = reading.rule(r);
      Integer before = seen.putIfAbsent(rule.name(), rule.line());
      if (before != null) {
        errors.add(
            place(lines, r.name.getLine(), r.name.getCharPositionInLine())
                + "rule '"
                + rule.name()
                + "' stands already in line "
                + before
                + "; each name once");
      }
      rules.add(rule);
    }
    if (!errors.isEmpty()) {
      throw new ConstraintSyntaxException(errors);
    }
    return rules;
  }

  /** One rule a line; reads back to the same. */
  public static String print(List<PlacementConstraint> rules) {
    StringBuilder s = new StringBuilder();
    rules.forEach(r -> s.append(r).append('\n'));
    return s.toString();
  }

  private static String place(String[] lines, int line, int column) {
    String at = line >= 1 && line <= lines.length ? lines[line - 1].strip() : "";
    return line
        + ":"
        + (column + 1)
        + ": in '"
        + (at.length() > 80 ? at.substring(0, 80) + "..." : at)
        + "': ";
  }

  /** Turns the parser's tree into rules and complains of what the grammar cannot see. */
  private static final class ClauseVisitor
      extends ConstraintsBaseVisitor<PlacementConstraint.Clause> {
    private final String[] lines;
    private final Names names;
    private final List<String> errors;

    ClauseVisitor(String[] lines, Names names, List<String> errors) {
      this.lines = lines;
      this.names = names;
      this.errors = errors;
    }

    private void error(Token at, String what) {
      errors.add(place(lines, at.getLine(), at.getCharPositionInLine()) + what);
    }

    PlacementConstraint rule(ConstraintsParser.Rule_Context r) {
      double weight = 0;
      if (r.strength().PREFER() != null) {
        weight = number(r.strength().weight, 1, 1_000_000);
      }
      return new PlacementConstraint(
          r.name.getText(), scope(r.scope()), weight, visit(r.clause()), r.name.getLine());
    }

    private int number(Token t, int least, int most) {
      try {
        int n = Integer.parseInt(t.getText());
        if (n >= least && n <= most) {
          return n;
        }
      } catch (NumberFormatException e) {
        // Said below.
      }
      error(t, "found " + t.getText() + ", allowed: a number from " + least + " to " + most);
      return least;
    }

    private PlacementConstraint.Scope scope(ConstraintsParser.ScopeContext c) {
      Set<String> tenants = new LinkedHashSet<>();
      Set<String> priorityClasses = new LinkedHashSet<>();
      Set<String> services = new LinkedHashSet<>();
      for (ConstraintsParser.SelectorContext s : c.selector()) {
        Set<String> into =
            switch (s.field.getType()) {
              case ConstraintsLexer.CUSTOMER -> tenants;
              case ConstraintsLexer.FLAVOUR -> priorityClasses;
              default -> services;
            };
        if (!into.isEmpty()) {
          error(
              s.field,
              "'" + s.field.getText() + "' twice in one scope; list its values with commas");
        }
        for (ConstraintsParser.ValueContext v : s.value()) {
          String text = text(v);
          into.add(text);
          if (into == services && !text.matches("[0-9]{1,19}")) {
            error(v.start, "service '" + text + "' is not a number");
          }
          known(
              v.start,
              text,
              into == tenants
                  ? names.tenants
                  : into == priorityClasses ? names.priorityClasses : Set.of(),
              s.field.getText());
        }
      }
      return new PlacementConstraint.Scope(
          Set.copyOf(tenants), Set.copyOf(priorityClasses), Set.copyOf(services));
    }

    private void known(Token at, String text, Set<String> names, String field) {
      if (!names.isEmpty() && !names.contains(text)) {
        error(
            at,
            "no "
                + field
                + " '"
                + text
                + "'; there are "
                + String.join(", ", new TreeSet<>(names)));
      }
    }

    private static String text(ConstraintsParser.ValueContext v) {
      String t = v.getText();
      return v.STRING() != null ? t.substring(1, t.length() - 1) : t;
    }

    private static PlacementConstraint.Domain domain(ConstraintsParser.DomainContext d) {
      return PlacementConstraint.Domain.valueOf(d.getText().toUpperCase());
    }

    @Override
    public PlacementConstraint.Clause visitNear(ConstraintsParser.NearContext c) {
      return new PlacementConstraint.Near(scope(c.scope()), domain(c.domain()));
    }

    @Override
    public PlacementConstraint.Clause visitApart(ConstraintsParser.ApartContext c) {
      return new PlacementConstraint.Apart(scope(c.scope()), domain(c.domain()));
    }

    @Override
    public PlacementConstraint.Clause visitMost(ConstraintsParser.MostContext c) {
      return new PlacementConstraint.Most(
          number(c.most, 1, 1_000_000),
          c.EACH() != null,
          domain(c.domain()),
          c.reach() != null && c.reach().OVERALL() != null);
    }

    @Override
    public PlacementConstraint.Clause visitSkew(ConstraintsParser.SkewContext c) {
      return new PlacementConstraint.Skew(
          number(c.skew, 1, 1_000_000), c.EACH() != null, domain(c.domain()));
    }

    @Override
    public PlacementConstraint.Clause visitOn(ConstraintsParser.OnContext c) {
      return new PlacementConstraint.On(predicate(c.predicate()));
    }

    private PlacementConstraint.Predicate predicate(ParserRuleContext c) {
      if (c instanceof ConstraintsParser.NestedContext n) {
        return predicate(n.predicate());
      }
      if (c instanceof ConstraintsParser.NotContext n) {
        return new PlacementConstraint.Not(predicate(n.predicate()));
      }
      if (c instanceof ConstraintsParser.BothContext b) {
        return new PlacementConstraint.Both(predicate(b.predicate(0)), predicate(b.predicate(1)));
      }
      if (c instanceof ConstraintsParser.EitherContext b) {
        return new PlacementConstraint.Either(predicate(b.predicate(0)), predicate(b.predicate(1)));
      }
      ConstraintsParser.LabelContext l = (ConstraintsParser.LabelContext) c;
      Set<String> values = new LinkedHashSet<>();
      for (ConstraintsParser.ValueContext v : l.value()) {
        String text = text(v);
        values.add(text);
        known(
            v.start,
            text,
            l.field.getType() == ConstraintsLexer.KIND
                ? names.kinds
                : l.field.getType() == ConstraintsLexer.ZONE ? names.zones : Set.of(),
            l.field.getText());
        if (l.field.getType() == ConstraintsLexer.CELL && !text.matches("[0-9]{1,9}")) {
          error(v.start, "cell '" + text + "' is not a number");
        }
      }
      return new PlacementConstraint.Label(l.field.getText(), Set.copyOf(values));
    }
  }
}
