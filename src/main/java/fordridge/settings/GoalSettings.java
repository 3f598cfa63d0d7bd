package fordridge.settings;

/**
 * Weights of the terms of the objective that the scheduler maximizes (block {@code goal}).
 *
 * @param overall weight of the result over the whole run
 * @param worstWindow weight of the result of the worst time window
 * @param worstPriorityClass weight of the result of the worst priority class
 * @param worstTenant weight of the result of the worst tenant
 */
public record GoalSettings(
    double overall, double worstWindow, double worstPriorityClass, double worstTenant) {
  private static final double MAX_WEIGHT = 1000;

  static GoalSettings read(ConfigReader reader) {
    return new GoalSettings(
        weight(reader, "whole"),
        weight(reader, "worst_window"),
        weight(reader, "worst_flavour"),
        weight(reader, "worst_customer"));
  }

  private static double weight(ConfigReader reader, String name) {
    return reader.decimal("goal." + name, 0, MAX_WEIGHT);
  }

  void check(ConfigReader reader) {
    if (overall + worstWindow + worstPriorityClass + worstTenant <= 0) {
      reader.reject("goal", "weights that sum to 0", "at least one weight above 0");
    }
  }
}
