package fordridge.model;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Settings as received: plain values by name, with nested names joined by dots.
 *
 * <p>Only readers of settings use this class; they return typed records such as {@link
 * SchedulerSettings}. A value that is missing or of another type is read as the default.
 */
public final class SettingsValues {
  private static final long NANOS_PER_MICROSECOND = 1000;

  private final Map<String, Object> values;

  /** Wraps values whose nested names are already joined. */
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
   * Adds nested values under names joined by dots. A list of objects is added as its length, under
   * its own name, and its elements, under the name with their index appended.
   */
  public static void flatten(String prefix, Map<String, Object> from, Map<String, Object> into) {
    for (Map.Entry<String, Object> entry : from.entrySet()) {
      flatten(prefix + entry.getKey(), entry.getValue(), into);
    }
  }

  @SuppressWarnings("unchecked") // keys of JSON objects are strings
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
  public double number(String name, double defaultValue) {
    return values.get(name) instanceof Number number ? number.doubleValue() : defaultValue;
  }

  /** A boolean. */
  public boolean flag(String name, boolean defaultValue) {
    return values.get(name) instanceof Boolean flag ? flag : defaultValue;
  }

  /** A string. */
  public String text(String name, String defaultValue) {
    return values.get(name) instanceof String text ? text : defaultValue;
  }

  /** A list, empty if it is missing. */
  public List<?> list(String name) {
    return values.get(name) instanceof List<?> list ? list : List.of();
  }

  /** The number at an index of a list. */
  public double numberAt(String name, int index, double defaultValue) {
    List<?> list = list(name);
    return index >= 0 && index < list.size() && list.get(index) instanceof Number number
        ? number.doubleValue()
        : defaultValue;
  }

  /** A duration, given in microseconds. */
  public Duration micros(String name, Duration defaultValue) {
    return values.get(name) instanceof Number number
        ? Duration.ofNanos((long) (number.doubleValue() * NANOS_PER_MICROSECOND))
        : defaultValue;
  }
}
