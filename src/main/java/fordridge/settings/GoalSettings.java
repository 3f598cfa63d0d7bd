package fordridge.settings;

/**
 * Weights of the parts of the result that the scheduler works for (block {@code goal}).
 *
 * @param overall the result over the whole run
 * @param worstWindow the result of the worst window of time
 * @param worstPriorityClass the result of the worst priority class
 * @param worstTenant the result of the worst tenant
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
      reader.reject("goal", "weights that sum to 0", "at least one above 0");
    }
  }
}
