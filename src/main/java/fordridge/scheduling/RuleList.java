package fordridge.scheduling;

import java.util.List;
import java.util.function.BooleanSupplier;

/**
 * Rules in the order of their precedence, applied one at a time until no condition holds.
 *
 * <p>After each action all rules are gone through again from the first one. It decides nothing
 * itself.
 */
final class RuleList {
  /** Where the condition holds, the action follows, after which it must not hold for ever. */
  record Rule(BooleanSupplier condition, Runnable action) {}

  private final List<Rule> rules;

  RuleList(Rule... rules) {
    this.rules = List.of(rules);
  }

  /** Applies the rules until none holds. */
  void apply() {
    int index = 0;
    while (index < rules.size()) {
      Rule rule = rules.get(index);
      if (rule.condition().getAsBoolean()) {
        rule.action().run();
        index = 0;
      } else {
        index++;
      }
    }
  }
}
