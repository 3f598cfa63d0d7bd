package fordridge.constraint;

import static fordridge.constraint.ConstraintFixtures.parse;
import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import fordridge.constraint.ConstraintParser.KnownNames;
import java.util.List;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

class ConstraintParserTest {
  private static final String[] TOKENS = {
    "rule",
    "a",
    ":",
    "all",
    "require",
    "prefer",
    "3",
    "near",
    "apart",
    "spread",
    "at",
    "most",
    "within",
    "per",
    "machine",
    "zone",
    ";",
    "on",
    "(",
    ")",
    "not",
    "and",
    "or",
    "kind",
    "\"",
    ",",
    "#",
    "\n",
    "flavour",
    "service",
    "99999999999999999999",
    "\u0000",
    "\ud83d"
  };

  @Property(tries = 500, seed = "6160")
  void formattedConstraintsParseBackToEqualConstraints(@ForAll long seed) throws Exception {
    List<PlacementConstraint> constraints =
        ConstraintFixtures.randomConstraints(new Random(seed), 4);

    assertThat(parse(ConstraintParser.format(constraints))).isEqualTo(constraints);
  }

  @Property(tries = 2000, seed = "7170")
  void anyTextIsParsedOrRejectedWithLocatedProblems(@ForAll long seed) {
    Random random = new Random(seed);
    StringBuilder text = new StringBuilder();
    for (int i = random.nextInt(40); i >= 0; i--) {
      text.append(TOKENS[random.nextInt(TOKENS.length)]);
      text.append(random.nextInt(5) > 0 ? " " : "");
    }

    try {
      parse(text.toString());
    } catch (ConstraintSyntaxException e) {
      assertThat(e.messages()).allMatch(message -> message.matches("(?s)[0-9]+:[0-9]+: .*"));
    }
  }

  @Example
  void unknownClauseIsReportedWithLineColumnExcerptAndValidClauses() {
    assertThatThrownBy(
            () ->
                parse(
                    """
                    rule a: all require on kind std;
                    rule b: flavour w require close flavour x;"""))
        .hasMessageContaining("2:27: in 'rule b: flavour w require close flavour x;'")
        .hasMessageContaining("'near'");
  }

  @Example
  void unknownPriorityClassIsReportedWithTheValidNames() {
    KnownNames known =
        new KnownNames(Set.of(), Set.of("matcher", "lobby"), Set.of("std"), Set.of());

    assertThatThrownBy(
            () -> ConstraintParser.parse("rule a: flavour mtcher require on kind std;", known))
        .hasMessageContaining("1:17")
        .hasMessageContaining("no flavour 'mtcher'; valid values: lobby, matcher");
  }

  @Example
  void duplicateNameIsReportedWithItsFirstLine() {
    assertThatThrownBy(
            () -> parse("rule a: all require on kind x;\nrule a: all require on kind y;"))
        .hasMessageContaining("rule 'a' is already defined in line 1");
  }

  @Example
  void deepNestingIsRejectedBeforeParsing() {
    assertThatThrownBy(() -> parse("rule a: all require on " + "(".repeat(5000) + "kind x;"))
        .hasMessageContaining("nested 5000 levels deep");
    assertThatThrownBy(() -> parse("rule a: all require on " + "not ".repeat(20_000) + "kind x;"))
        .hasMessageContaining("'not' occurs 20000 times");
  }

  @Example
  void serviceNumberOutOfLongRangeIsRejected() throws Exception {
    assertThat(parse("rule a: service 9223372036854775807 require on kind x;")).hasSize(1);
    assertThatThrownBy(() -> parse("rule a: service 9223372036854775808 require on kind x;"))
        .hasMessageContaining("1:17")
        .hasMessageContaining("service '9223372036854775808' is not a number");
  }
}
