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
public final class Language {
    /** Names that rules may speak of; an empty set leaves a field unchecked. */
    public record Names(Set<String> customers, Set<String> flavours, Set<String> kinds, Set<String> zones) {
        public static final Names ANY = new Names(Set.of(), Set.of(), Set.of(), Set.of());
    }

    /** A set that cannot be read; each complaint with line, column, the line itself and what would be right. */
    public static final class Refused extends Exception {
        private static final long serialVersionUID = 1L;
        public final transient List<String> complaints;

        Refused(List<String> complaints) {
            super(String.join("\n", complaints));
            this.complaints = List.copyOf(complaints);
        }
    }

    private static final int MOST_CHARACTERS = 1 << 20;
    private static final int DEEPEST = 200;

    private Language() {
    }

    public static List<Rule> read(String text, Names names) throws Refused {
        if (text.length() > MOST_CHARACTERS) {
            throw new Refused(List.of("1:1: " + text.length() + " characters, at most " + MOST_CHARACTERS));
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
            throw new Refused(List.of("1:1: nested " + deepest + " deep, at most " + DEEPEST));
        }
        BaseErrorListener listener = new BaseErrorListener() {
            @Override
            public void syntaxError(Recognizer<?, ?> r, Object symbol, int line, int column, String message,
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
            throw new Refused(errors);
        }
        List<Rule> rules = new ArrayList<>();
        Map<String, Integer> seen = new HashMap<>();
        Reading reading = new Reading(lines, names, errors);
        for (ConstraintsParser.Rule_Context r : file.rule_()) {
            Rule rule = reading.rule(r);
            Integer before = seen.putIfAbsent(rule.name(), rule.line());
            if (before != null) {
                errors.add(place(lines, r.name.getLine(), r.name.getCharPositionInLine()) + "rule '" + rule.name()
                        + "' stands already in line " + before + "; each name once");
            }
            rules.add(rule);
        }
        if (!errors.isEmpty()) {
            throw new Refused(errors);
        }
        return rules;
    }

    /** One rule a line; reads back to the same. */
    public static String print(List<Rule> rules) {
        StringBuilder s = new StringBuilder();
        rules.forEach(r -> s.append(r).append('\n'));
        return s.toString();
    }

    private static String place(String[] lines, int line, int column) {
        String at = line >= 1 && line <= lines.length ? lines[line - 1].strip() : "";
        return line + ":" + (column + 1) + ": in '" + (at.length() > 80 ? at.substring(0, 80) + "..." : at) + "': ";
    }

    /** Turns the parser's tree into rules and complains of what the grammar cannot see. */
    private static final class Reading extends ConstraintsBaseVisitor<Rule.Clause> {
        private final String[] lines;
        private final Names names;
        private final List<String> errors;

        Reading(String[] lines, Names names, List<String> errors) {
            this.lines = lines;
            this.names = names;
            this.errors = errors;
        }

        private void error(Token at, String what) {
            errors.add(place(lines, at.getLine(), at.getCharPositionInLine()) + what);
        }

        Rule rule(ConstraintsParser.Rule_Context r) {
            double weight = 0;
            if (r.strength().PREFER() != null) {
                weight = number(r.strength().weight, 1, 1_000_000);
            }
            return new Rule(r.name.getText(), scope(r.scope()), weight, visit(r.clause()), r.name.getLine());
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

        private Rule.Scope scope(ConstraintsParser.ScopeContext c) {
            Set<String> customers = new LinkedHashSet<>();
            Set<String> flavours = new LinkedHashSet<>();
            Set<String> services = new LinkedHashSet<>();
            for (ConstraintsParser.SelectorContext s : c.selector()) {
                Set<String> into = switch (s.field.getType()) {
                    case ConstraintsLexer.CUSTOMER -> customers;
                    case ConstraintsLexer.FLAVOUR -> flavours;
                    default -> services;
                };
                if (!into.isEmpty()) {
                    error(s.field, "'" + s.field.getText() + "' twice in one scope; list its values with commas");
                }
                for (ConstraintsParser.ValueContext v : s.value()) {
                    String text = text(v);
                    into.add(text);
                    if (into == services && !text.matches("[0-9]{1,19}")) {
                        error(v.start, "service '" + text + "' is not a number");
                    }
                    known(v.start, text, into == customers ? names.customers : into == flavours ? names.flavours
                            : Set.of(), s.field.getText());
                }
            }
            return new Rule.Scope(Set.copyOf(customers), Set.copyOf(flavours), Set.copyOf(services));
        }

        private void known(Token at, String text, Set<String> names, String field) {
            if (!names.isEmpty() && !names.contains(text)) {
                error(at, "no " + field + " '" + text + "'; there are " + String.join(", ", new TreeSet<>(names)));
            }
        }

        private static String text(ConstraintsParser.ValueContext v) {
            String t = v.getText();
            return v.STRING() != null ? t.substring(1, t.length() - 1) : t;
        }

        private static Rule.Domain domain(ConstraintsParser.DomainContext d) {
            return Rule.Domain.valueOf(d.getText().toUpperCase());
        }

        @Override
        public Rule.Clause visitNear(ConstraintsParser.NearContext c) {
            return new Rule.Near(scope(c.scope()), domain(c.domain()));
        }

        @Override
        public Rule.Clause visitApart(ConstraintsParser.ApartContext c) {
            return new Rule.Apart(scope(c.scope()), domain(c.domain()));
        }

        @Override
        public Rule.Clause visitMost(ConstraintsParser.MostContext c) {
            return new Rule.Most(number(c.most, 1, 1_000_000), c.EACH() != null, domain(c.domain()),
                    c.reach() != null && c.reach().OVERALL() != null);
        }

        @Override
        public Rule.Clause visitSkew(ConstraintsParser.SkewContext c) {
            return new Rule.Skew(number(c.skew, 1, 1_000_000), c.EACH() != null, domain(c.domain()));
        }

        @Override
        public Rule.Clause visitOn(ConstraintsParser.OnContext c) {
            return new Rule.On(predicate(c.predicate()));
        }

        private Rule.Predicate predicate(ParserRuleContext c) {
            if (c instanceof ConstraintsParser.NestedContext n) {
                return predicate(n.predicate());
            }
            if (c instanceof ConstraintsParser.NotContext n) {
                return new Rule.Not(predicate(n.predicate()));
            }
            if (c instanceof ConstraintsParser.BothContext b) {
                return new Rule.Both(predicate(b.predicate(0)), predicate(b.predicate(1)));
            }
            if (c instanceof ConstraintsParser.EitherContext b) {
                return new Rule.Either(predicate(b.predicate(0)), predicate(b.predicate(1)));
            }
            ConstraintsParser.LabelContext l = (ConstraintsParser.LabelContext) c;
            Set<String> values = new LinkedHashSet<>();
            for (ConstraintsParser.ValueContext v : l.value()) {
                String text = text(v);
                values.add(text);
                known(v.start, text, l.field.getType() == ConstraintsLexer.KIND ? names.kinds
                        : l.field.getType() == ConstraintsLexer.ZONE ? names.zones : Set.of(), l.field.getText());
                if (l.field.getType() == ConstraintsLexer.CELL && !text.matches("[0-9]{1,9}")) {
                    error(v.start, "cell '" + text + "' is not a number");
                }
            }
            return new Rule.Label(l.field.getText(), Set.copyOf(values));
        }
    }
}
