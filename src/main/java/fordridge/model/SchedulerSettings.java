package fordridge.model;

import java.time.Duration;
import java.util.List;
import java.util.Map;

/**
 * What was read at start, by name, nested names joined by dots; and spans of time. It only reads.
 */
public final class SchedulerSettings {
  private final Map<String, Object> values;

  public SchedulerSettings(Map<String, Object> values) {
    this.values = values;
  }

  /** Nested names joined by dots; a list of objects becomes its length and numbered names. */
  public static void flatten(String prefix, Map<String, Object> from, Map<String, Object> into) {
    for (Map.Entry<String, Object> e : from.entrySet()) {
      flatten(prefix + e.getKey(), e.getValue(), into);
    }
  }

  @SuppressWarnings("unchecked")
  private static void flatten(String name, Object value, Map<String, Object> into) {
    if (value instanceof Map) {
      flatten(name + ".", (Map<String, Object>) value, into);
    } else if (value instanceof List<?> list && !list.isEmpty() && list.get(0) instanceof Map) {
      into.put(name, (long) list.size());
      for (int i = 0; i < list.size(); i++) {
        flatten(name + "." + i, list.get(i), into);
      }
    } else if (value != null) {
      into.put(name, value);
    }
  }

  public double num(String name, double absent) {
    return values.get(name) instanceof Number n ? n.doubleValue() : absent;
  }

  public boolean flag(String name, boolean absent) {
    return values.get(name) instanceof Boolean b ? b : absent;
  }

  public String text(String name, String absent) {
    return values.get(name) instanceof String s ? s : absent;
  }

  public List<?> list(String name) {
    return values.get(name) instanceof List<?> l ? l : List.of();
  }

  public double item(String name, int i, double absent) {
    return i < list(name).size() && list(name).get(i) instanceof Number n
        ? n.doubleValue()
        : absent;
  }

  public Duration micros(String name, double absent) {
    return Duration.ofNanos((long) (num(name, absent) * 1000));
  }

  public static double seconds(Duration d) {
    return d.toNanos() / 1e9;
  }

  public static Duration seconds(double s) {
    return Duration.ofNanos((long) (s * 1e9));
  }

  /**
   * Duration's own product and quotient go through big decimals: dear where each machine is looked
   * at.
   */
  public static Duration times(Duration d, double by) {
    return Duration.ofNanos((long) (d.toNanos() * by));
  }
}
