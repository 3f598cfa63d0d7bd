package fordridge.model;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Settings as they were received: plain values by name, nested names joined by dots.
 *
 * <p>Only readers of settings use it; what they read goes on in typed records such as {@link
 * SchedulerSettings}. A value that is absent or of another type reads as the default given.
 */
public final class SettingsValues {
  private static final long NANOS_PER_MICROSECOND = 1000;

  private final Map<String, Object> values;

  /** Values whose nested names are joined already. */
  public SettingsValues(Map<String, Object> values) {
    this.values = values;
  }

  /** The values of a nested object, such as one parsed from JSON. */
  public static SettingsValues ofNested(Map<String, Object> nested) {
    Map<String, Object> flat = new HashMap<>();
    flatten("", nested, flat);
    return new SettingsValues(flat);
  }

  /**
   * Adds nested values under names joined by dots; a list of objects becomes its length and
   * numbered names.
   */
  public static void flatten(String prefix, Map<String, Object> from, Map<String, Object> into) {
    for (Map.Entry<String, Object> entry : from.entrySet()) {
      flatten(prefix + entry.getKey(), entry.getValue(), into);
    }
  }

  @SuppressWarnings("unchecked") // JSON objects have names of type String
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

  /** A number, whole or not. */
  public double number(String name, double absent) {
    return values.get(name) instanceof Number number ? number.doubleValue() : absent;
  }

  /** True or false. */
  public boolean flag(String name, boolean absent) {
    return values.get(name) instanceof Boolean flag ? flag : absent;
  }

  /** A string. */
  public String text(String name, String absent) {
    return values.get(name) instanceof String text ? text : absent;
  }

  /** A list, empty if absent. */
  public List<?> list(String name) {
    return values.get(name) instanceof List<?> list ? list : List.of();
  }

  /** The number at that index of a list. */
  public double item(String name, int index, double absent) {
    List<?> list = list(name);
    return index >= 0 && index < list.size() && list.get(index) instanceof Number number
        ? number.doubleValue()
        : absent;
  }

  /** A span of time, which is told in microseconds. */
  public Duration micros(String name, Duration absent) {
    return values.get(name) instanceof Number number
        ? Duration.ofNanos((long) (number.doubleValue() * NANOS_PER_MICROSECOND))
        : absent;
  }
}
