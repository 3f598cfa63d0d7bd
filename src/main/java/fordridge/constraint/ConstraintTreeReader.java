package fordridge.constraint;

import fordridge.constraint.ConstraintParser.KnownNames;
import fordridge.constraint.PlacementConstraint.LabelKey;
import fordridge.constraint.PlacementConstraint.LabelPredicate;
import fordridge.constraint.PlacementConstraint.Scope;
import fordridge.constraint.grammar.ConstraintsBaseVisitor;
import fordridge.constraint.grammar.ConstraintsLexer;
import fordridge.constraint.grammar.ConstraintsParser;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Pattern;
import org.antlr.v4.runtime.ParserRuleContext;
import org.antlr.v4.runtime.Token;

/**
 * Converts the parse tree into constraints, and reports errors that the grammar does not exclude:
 * unknown names, duplicate names and numbers out of range.
 */
final class ConstraintTreeReader extends ConstraintsBaseVisitor<PlacementConstraint.Clause> {
  private static final int MAX_NUMBER = 1_000_000;
  private static final Pattern SERVICE_NUMBER = Pattern.compile("[0-9]{1,19}");
  private static final Pattern CELL_NUMBER = Pattern.compile("[0-9]{1,9}");

  private final SourceText source;
  private final KnownNames knownNames;
  private final List<ConstraintSyntaxException.Problem> problems;
  private final Map<String, Integer> lineByName = new HashMap<>();

  ConstraintTreeReader(
      SourceText source, KnownNames knownNames, List<ConstraintSyntaxException.Problem> problems) {
    this.source = source;
    this.knownNames = knownNames;
    this.problems = problems;
  }

  /** Reads all constraints of a file; the result is meaningful only if no problem was reported. */
  List<PlacementConstraint> readAll(ConstraintsParser.FileContext file) {
    List<PlacementConstraint> constraints = new ArrayList<>();
    for (ConstraintsParser.ConstraintContext context : file.constraint()) {
      PlacementConstraint constraint = readConstraint(context);
      checkNameIsUnique(context.name);
      constraints.add(constraint);
    }
    return constraints;
  }

  private PlacementConstraint readConstraint(ConstraintsParser.ConstraintContext context) {
    ConstraintsParser.StrengthContext strength = context.strength();
    double weight = strength.PREFER() == null ? 0 : readNumber(strength.weight);
    Scope scope = readScope(context.scope());
    PlacementConstraint.Clause clause = visit(context.clause());
    return new PlacementConstraint(
        context.name.getText(), scope, weight, clause, context.name.getLine());
  }

  private void checkNameIsUnique(Token name) {
    Integer firstLine = lineByName.putIfAbsent(name.getText(), name.getLine());
    if (firstLine != null) {
      report(
          name,
          "rule '"
              + name.getText()
              + "' is already defined in line "
              + firstLine
              + "; names must be unique");
    }
  }

  private Scope readScope(ConstraintsParser.ScopeContext context) {
    Set<String> tenants = new LinkedHashSet<>();
    Set<String> priorityClasses = new LinkedHashSet<>();
    Set<String> services = new LinkedHashSet<>();
    for (ConstraintsParser.SelectorContext selector : context.selector()) {
      switch (selector.field.getType()) {
        case ConstraintsLexer.CUSTOMER -> readNames(selector, tenants, knownNames.tenants());
        case ConstraintsLexer.FLAVOUR ->
            readNames(selector, priorityClasses, knownNames.priorityClasses());
        default -> readServices(selector, services);
      }
    }
    return new Scope(Set.copyOf(tenants), Set.copyOf(priorityClasses), Set.copyOf(services));
  }

  private void readNames(
      ConstraintsParser.SelectorContext selector, Set<String> names, Set<String> allowed) {
    checkFieldNotRepeated(selector, names);
    for (ConstraintsParser.ValueContext value : selector.value()) {
      String name = textOf(value);
      names.add(name);
      checkKnown(value.start, name, allowed, selector.field.getText());
    }
  }

  private void readServices(ConstraintsParser.SelectorContext selector, Set<String> services) {
    checkFieldNotRepeated(selector, services);
    for (ConstraintsParser.ValueContext value : selector.value()) {
      String number = textOf(value);
      services.add(number);
      if (!isServiceNumber(number)) {
        report(
            value.start, "service '" + number + "' is not a number from 0 to 9223372036854775807");
      }
    }
  }

  private static boolean isServiceNumber(String text) {
    if (!SERVICE_NUMBER.matcher(text).matches()) {
      return false;
    }
    try {
      Long.parseLong(text);
      return true;
    } catch (NumberFormatException e) {
      return false;
    }
  }

  private void checkFieldNotRepeated(
      ConstraintsParser.SelectorContext selector, Set<String> valuesReadSoFar) {
    if (!valuesReadSoFar.isEmpty()) {
      report(
          selector.field,
          "'"
              + selector.field.getText()
              + "' occurs twice in one scope; separate its values by commas instead");
    }
  }

  @Override
  public PlacementConstraint.Clause visitAffinity(ConstraintsParser.AffinityContext context) {
    return new PlacementConstraint.Affinity(
        readScope(context.scope()), readLevel(context.domain()));
  }

  @Override
  public PlacementConstraint.Clause visitAntiAffinity(
      ConstraintsParser.AntiAffinityContext context) {
    return new PlacementConstraint.AntiAffinity(
        readScope(context.scope()), readLevel(context.domain()));
  }

  @Override
  public PlacementConstraint.Clause visitSpreadLimit(ConstraintsParser.SpreadLimitContext context) {
    boolean isClusterWide = context.limitScope() != null && context.limitScope().OVERALL() != null;
    return new PlacementConstraint.SpreadLimit(
        readNumber(context.limit),
        context.EACH() != null,
        readLevel(context.domain()),
        isClusterWide);
  }

  @Override
  public PlacementConstraint.Clause visitSpreadSkew(ConstraintsParser.SpreadSkewContext context) {
    return new PlacementConstraint.SpreadSkew(
        readNumber(context.maxSkew), context.EACH() != null, readLevel(context.domain()));
  }

  @Override
  public PlacementConstraint.Clause visitMachineLabels(
      ConstraintsParser.MachineLabelsContext context) {
    return new PlacementConstraint.MachineLabels(readPredicate(context.predicate()));
  }

  private LabelPredicate readPredicate(ParserRuleContext context) {
    if (context instanceof ConstraintsParser.ParenthesizedContext parenthesized) {
      return readPredicate(parenthesized.predicate());
    }
    if (context instanceof ConstraintsParser.NegationContext negation) {
      return new PlacementConstraint.Not(readPredicate(negation.predicate()));
    }
    if (context instanceof ConstraintsParser.ConjunctionContext conjunction) {
      return new PlacementConstraint.And(
          readPredicate(conjunction.predicate(0)), readPredicate(conjunction.predicate(1)));
    }
    if (context instanceof ConstraintsParser.DisjunctionContext disjunction) {
      return new PlacementConstraint.Or(
          readPredicate(disjunction.predicate(0)), readPredicate(disjunction.predicate(1)));
    }
    return readLabel((ConstraintsParser.LabelContext) context);
  }

  private PlacementConstraint.Label readLabel(ConstraintsParser.LabelContext context) {
    LabelKey key = LabelKey.valueOf(context.field.getText().toUpperCase(Locale.ROOT));
    Set<String> values = new LinkedHashSet<>();
    for (ConstraintsParser.ValueContext value : context.value()) {
      String text = textOf(value);
      values.add(text);
      checkLabelValue(value.start, key, text);
    }
    return new PlacementConstraint.Label(key, Set.copyOf(values));
  }

  private void checkLabelValue(Token token, LabelKey key, String value) {
    switch (key) {
      case KIND -> checkKnown(token, value, knownNames.kinds(), key.toString());
      case ZONE -> checkKnown(token, value, knownNames.zones(), key.toString());
      case CELL -> {
        if (!CELL_NUMBER.matcher(value).matches()) {
          report(token, "cell '" + value + "' is not a number of at most 9 digits");
        }
      }
      case MACHINE -> {
        // Machines join and leave the cluster, so any name is valid.
      }
    }
  }

  private int readNumber(Token token) {
    try {
      int number = Integer.parseInt(token.getText());
      if (number >= 1 && number <= MAX_NUMBER) {
        return number;
      }
    } catch (NumberFormatException e) {
      // Too large for an int: reported below as out of range.
    }
    report(token, "number " + token.getText() + " is out of range; allowed: 1 to " + MAX_NUMBER);
    return 1;
  }

  private static TopologyLevel readLevel(ConstraintsParser.DomainContext context) {
    return TopologyLevel.valueOf(context.getText().toUpperCase(Locale.ROOT));
  }

  private static String textOf(ConstraintsParser.ValueContext value) {
    String text = value.getText();
    return value.STRING() == null ? text : text.substring(1, text.length() - 1);
  }

  private void checkKnown(Token token, String name, Set<String> allowed, String field) {
    if (!allowed.isEmpty() && !allowed.contains(name)) {
      report(
          token,
          "no "
              + field
              + " '"
              + name
              + "'; valid values: "
              + String.join(", ", new TreeSet<>(allowed)));
    }
  }

  private void report(Token token, String description) {
    problems.add(source.problemAt(token.getLine(), token.getCharPositionInLine(), description));
  }
}
