package fordridge.settings;

import com.typesafe.config.Config;
import com.typesafe.config.ConfigException;
import com.typesafe.config.ConfigList;
import com.typesafe.config.ConfigObject;
import com.typesafe.config.ConfigOrigin;
import com.typesafe.config.ConfigUtil;
import com.typesafe.config.ConfigValue;
import com.typesafe.config.ConfigValueType;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.apache.commons.text.similarity.LevenshteinDistance;

/**
 * Reads typed values from one HOCON object and collects an error with file, line, key, actual value
 * and allowed values for each that is invalid.
 *
 * <p>An invalid value is replaced by a default (the lower bound, the first constant or an empty
 * value), so that reading continues and all errors are reported together. Not thread-safe.
 */
public final class ConfigReader {
  /** Larger whole numbers are written in floating-point notation in error messages. */
  private static final double MAX_EXACT_WHOLE_NUMBER = 1e15;

  private final Config config;
  private final String pathPrefix;
  private final List<SettingError> errors;
  private final Set<String> knownKeys = new HashSet<>();

  /**
   * Creates a reader of one object.
   *
   * @param config the object, already merged with its defaults
   * @param pathPrefix path of the object with a trailing dot, for error messages; empty for the
   *     root
   * @param errors the list to which errors are added
   */
  public ConfigReader(Config config, String pathPrefix, List<SettingError> errors) {
    this.config = config;
    this.pathPrefix = pathPrefix;
    this.errors = errors;
  }

  /** Adds an error for the value of a key. */
  public void reject(String key, String found, String allowed) {
    ConfigValue value = config.hasPathOrNull(key) ? valueAt(key) : null;
    ConfigOrigin origin = value == null ? config.root().origin() : value.origin();
    errors.add(new SettingError.InvalidValue(location(origin), pathPrefix + key, found, allowed));
  }

  /** Whether an optional key is set; also marks the key as known. */
  public boolean has(String key) {
    knownKeys.add(key);
    return valueAt(key) != null;
  }

  /** Marks a key as known that this reader does not read itself. */
  public void markKnown(String key) {
    knownKeys.add(key);
  }

  /** Reads a string of at most {@code maxLength} characters. */
  public String string(String key, int maxLength) {
    String value = read(key, "", "text", () -> config.getString(key));
    if (value.length() > maxLength) {
      reject(key, value.length() + " characters", "at most " + maxLength);
    }
    return value;
  }

  /** Reads a list of strings. */
  public List<String> strings(String key) {
    return read(key, List.of(), "a list of strings", () -> config.getStringList(key));
  }

  /** Reads one of the given words; returns the first for any other value. */
  public String oneOf(String key, String... words) {
    String allowed = "one of " + String.join(", ", words);
    String value = read(key, words[0], allowed, () -> config.getString(key));
    if (!Arrays.asList(words).contains(value)) {
      reject(key, "'" + value + "'", allowed);
      return words[0];
    }
    return value;
  }

  /** Reads the word of an enum constant; returns the first constant for any other value. */
  public <T extends ConfigWord> T enumConstant(String key, T[] constants) {
    String[] words = Arrays.stream(constants).map(ConfigWord::configWord).toArray(String[]::new);
    return constants[Arrays.asList(words).indexOf(oneOf(key, words))];
  }

  /** Reads a boolean. */
  public boolean bool(String key) {
    return read(key, false, "true or false", () -> config.getBoolean(key));
  }

  /** Reads a whole number within inclusive bounds. */
  public int integer(String key, int min, int max) {
    double value = decimal(key, min, max);
    if (value != Math.rint(value)) {
      reject(key, describeValue(key), "a whole number");
    }
    return (int) value;
  }

  /** Reads a whole number of any size. */
  public long longInteger(String key) {
    return read(key, 0L, "a whole number", () -> config.getLong(key));
  }

  /** Reads a number within inclusive bounds. */
  public double decimal(String key, double min, double max) {
    String allowed = "a number from " + formatNumber(min) + " to " + formatNumber(max);
    double value = read(key, min, allowed, () -> config.getDouble(key));
    if (!(value >= min && value <= max)) {
      reject(key, formatNumber(value), allowed);
      return min;
    }
    return value;
  }

  /** Reads a duration within inclusive bounds; a value without a unit is an error. */
  public Duration duration(String key, Duration min, Duration max) {
    String allowed =
        "a duration from "
            + formatDuration(min)
            + " to "
            + formatDuration(max)
            + ", such as 250ms or 3s";
    Duration value = read(key, min, allowed, () -> durationWithUnit(key));
    if (value.compareTo(min) < 0 || value.compareTo(max) > 0) {
      reject(key, describeValue(key), allowed);
      return min;
    }
    return value;
  }

  /** Reads a size in bytes within inclusive bounds. */
  public int byteSize(String key, int min, int max) {
    String allowed = "a size from " + min + " to " + max + " bytes, such as 64KiB";
    long value = read(key, (long) min, allowed, () -> config.getBytes(key));
    if (value < min || value > max) {
      reject(key, describeValue(key), allowed);
      return min;
    }
    return (int) value;
  }

  /** Returns a reader for each object of a list. */
  public List<ConfigReader> objects(String key) {
    return objects(key, null);
  }

  /** Returns a reader for each object of a list, merged with the defaults under another key. */
  public List<ConfigReader> objectsWithDefaults(String key, String defaultsKey) {
    return objects(key, config.getConfig(defaultsKey));
  }

  private List<ConfigReader> objects(String key, Config defaults) {
    knownKeys.add(key);
    List<ConfigReader> readers = new ArrayList<>();
    if (!(valueAt(key) instanceof ConfigList list)) {
      reject(key, describeValue(key), "a list of objects");
      return readers;
    }
    for (int i = 0; i < list.size(); i++) {
      String path = pathPrefix + key + "[" + i + "]";
      if (list.get(i) instanceof ConfigObject object) {
        Config item =
            defaults == null ? object.toConfig() : object.toConfig().withFallback(defaults);
        readers.add(new ConfigReader(item, path + ".", errors));
      } else {
        rejectNonObject(path, list.get(i));
      }
    }
    return readers;
  }

  /** Adds an error for every unknown key, with the most similar known key as a hint. */
  public void rejectUnknownKeys() {
    rejectUnknownKeys("", config.root());
  }

  private void rejectUnknownKeys(String objectPath, ConfigObject object) {
    for (Map.Entry<String, ConfigValue> entry : new TreeMap<>(object).entrySet()) {
      String key = objectPath + entry.getKey();
      if (knownKeys.contains(key)) {
        continue;
      }
      boolean hasKnownKeysBelow = knownKeys.stream().anyMatch(k -> k.startsWith(key + "."));
      if (hasKnownKeysBelow && entry.getValue() instanceof ConfigObject nested) {
        rejectUnknownKeys(key + ".", nested);
      } else if (hasKnownKeysBelow) {
        rejectNonObject(pathPrefix + key, entry.getValue());
      } else {
        rejectUnknownKey(key, entry.getValue());
      }
    }
  }

  private void rejectUnknownKey(String key, ConfigValue value) {
    errors.add(
        new SettingError.UnknownKey(
            location(value.origin()),
            pathPrefix + ConfigUtil.joinPath(key.split("\\.")),
            nearestKnownKey(key)));
  }

  private void rejectNonObject(String path, ConfigValue value) {
    errors.add(
        new SettingError.InvalidValue(
            location(value.origin()), path, String.valueOf(value.unwrapped()), "an object"));
  }

  private String nearestKnownKey(String key) {
    LevenshteinDistance distance = LevenshteinDistance.getDefaultInstance();
    return knownKeys.stream()
        .sorted()
        .min(Comparator.comparingInt(known -> distance.apply(key, known)))
        .map(known -> pathPrefix + known)
        .orElse("");
  }

  private interface ValueReader<T> {
    T read();
  }

  private <T> T read(String key, T fallback, String allowed, ValueReader<T> reader) {
    knownKeys.add(key);
    try {
      return reader.read();
    } catch (ConfigException e) {
      reject(key, describeValue(key), allowed);
      return fallback;
    }
  }

  private Duration durationWithUnit(String key) {
    ConfigValue value = valueAt(key);
    if (value != null && value.valueType() == ConfigValueType.NUMBER) {
      throw new ConfigException.BadValue(key, "a duration needs a unit");
    }
    return config.getDuration(key);
  }

  private ConfigValue valueAt(String key) {
    ConfigValue value = config.root();
    for (String element : key.split("\\.", 0)) {
      value = value instanceof ConfigObject object ? object.get(element) : null;
    }
    return value;
  }

  private String describeValue(String key) {
    ConfigValue value = valueAt(key);
    return value == null
        ? "nothing"
        : value.unwrapped() + " (" + value.valueType().name().toLowerCase(Locale.ROOT) + ")";
  }

  private static String location(ConfigOrigin origin) {
    String line = origin.lineNumber() > 0 ? ":" + origin.lineNumber() : "";
    return sourceName(origin) + line + ": ";
  }

  private static String sourceName(ConfigOrigin origin) {
    if (origin.filename() != null) {
      return origin.filename();
    }
    return origin.resource() != null ? origin.resource() : origin.description();
  }

  private static String formatNumber(double value) {
    return value == Math.rint(value) && Math.abs(value) < MAX_EXACT_WHOLE_NUMBER
        ? Long.toString((long) value)
        : Double.toString(value);
  }

  private static String formatDuration(Duration duration) {
    return duration.toMillis() % 1000 == 0
        ? duration.toSeconds() + "s"
        : duration.toMillis() + "ms";
  }
}
