package fordridge.scheduling;

import java.util.List;
import java.util.function.BooleanSupplier;

/**
 * An ordered list of rules, applied one at a time until no condition holds.
 *
 * <p>After each action the conditions are checked again from the first rule on.
 */
final class RuleList {
  /** An action that runs when the condition holds; repeated, it must make the condition false. */
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
