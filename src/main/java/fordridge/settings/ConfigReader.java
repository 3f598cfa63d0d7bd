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
 * Reads typed values from one HOCON object and collects every error with file, line, key, found and
 * allowed value.
 *
 * <p>A wrong value is replaced by the nearest bound or an empty value, so that reading goes on and
 * all errors are reported at once. Not safe for use by several threads.
 */
public final class ConfigReader {
  /** Numbers from here on are not written as whole ones in errors. */
  private static final double MAX_PLAIN_WHOLE_NUMBER = 1e15;

  private final Config config;
  private final String pathPrefix;
  private final List<SettingError> errors;
  private final Set<String> knownKeys = new HashSet<>();

  /**
   * A reader of one object.
   *
   * @param config the object, with its defaults
   * @param pathPrefix the object's own path with a dot behind it, for errors; empty for the root
   * @param errors where errors are added
   */
  public ConfigReader(Config config, String pathPrefix, List<SettingError> errors) {
    this.config = config;
    this.pathPrefix = pathPrefix;
    this.errors = errors;
  }

  /** Adds an error on a key that was read. */
  public void reject(String key, String found, String allowed) {
    ConfigValue value = config.hasPathOrNull(key) ? valueAt(key) : null;
    ConfigOrigin origin = value == null ? config.root().origin() : value.origin();
    errors.add(new SettingError.InvalidValue(location(origin), pathPrefix + key, found, allowed));
  }

  /** Whether an optional key is set; it is a known key either way. */
  public boolean has(String key) {
    knownKeys.add(key);
    return valueAt(key) != null;
  }

  /** Makes a key known that is read elsewhere. */
  public void markKnown(String key) {
    knownKeys.add(key);
  }

  /** A string of at most so many characters. */
  public String string(String key, int maxLength) {
    String value = read(key, "", "text", () -> config.getString(key));
    if (value.length() > maxLength) {
      reject(key, value.length() + " characters", "at most " + maxLength);
    }
    return value;
  }

  /** A list of strings. */
  public List<String> strings(String key) {
    return read(key, List.of(), "a list of texts", () -> config.getStringList(key));
  }

  /** One of the words given; the first where it is none of them. */
  public String oneOf(String key, String... words) {
    String allowed = "one of " + String.join(", ", words);
    String value = read(key, words[0], allowed, () -> config.getString(key));
    if (!Arrays.asList(words).contains(value)) {
      reject(key, "'" + value + "'", allowed);
      return words[0];
    }
    return value;
  }

  /** The constant whose word is set; the first one given where it is none of them. */
  @SafeVarargs
  public final <T extends ConfigWord> T constant(String key, T... constants) {
    String[] words = Arrays.stream(constants).map(ConfigWord::configWord).toArray(String[]::new);
    return constants[Arrays.asList(words).indexOf(oneOf(key, words))];
  }

  /** True or false. */
  public boolean bool(String key) {
    return read(key, false, "true or false", () -> config.getBoolean(key));
  }

  /** A whole number within bounds. */
  public int integer(String key, int least, int most) {
    double value = decimal(key, least, most);
    if (value != Math.rint(value)) {
      reject(key, found(key), "a whole number");
    }
    return (int) value;
  }

  /** Any whole number. */
  public long longInteger(String key) {
    return read(key, 0L, "a whole number", () -> config.getLong(key));
  }

  /** A number within bounds. */
  public double decimal(String key, double least, double most) {
    String allowed = "a number from " + plain(least) + " to " + plain(most);
    double value = read(key, least, allowed, () -> config.getDouble(key));
    if (!(value >= least && value <= most)) {
      reject(key, plain(value), allowed);
      return least;
    }
    return value;
  }

  /** A span of time within bounds; its unit must be written. */
  public Duration duration(String key, Duration least, Duration most) {
    String allowed = "a span from " + inWords(least) + " to " + inWords(most) + ", as 250ms or 3s";
    Duration value = read(key, least, allowed, () -> durationWithUnit(key));
    if (value.compareTo(least) < 0 || value.compareTo(most) > 0) {
      reject(key, found(key), allowed);
      return least;
    }
    return value;
  }

  /** A number of bytes within bounds. */
  public int byteSize(String key, int least, int most) {
    String allowed = "a size from " + least + " to " + most + " bytes, as 64KiB";
    long value = read(key, (long) least, allowed, () -> config.getBytes(key));
    if (value < least || value > most) {
      reject(key, found(key), allowed);
      return least;
    }
    return (int) value;
  }

  /** The objects of a list, each with a reader of its own. */
  public List<ConfigReader> objects(String key) {
    return objects(key, null);
  }

  /** The objects of a list, each laid over the defaults that stand under another key. */
  public List<ConfigReader> objectsWithDefaults(String key, String defaultsKey) {
    return objects(key, config.getConfig(defaultsKey));
  }

  private List<ConfigReader> objects(String key, Config defaults) {
    knownKeys.add(key);
    List<ConfigReader> readers = new ArrayList<>();
    if (!(valueAt(key) instanceof ConfigList list)) {
      reject(key, found(key), "a list of objects");
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

  /** Adds an error for every key that was not read, naming the most similar known one. */
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

  private <T> T read(String key, T replacement, String allowed, ValueReader<T> reader) {
    knownKeys.add(key);
    try {
      return reader.read();
    } catch (ConfigException e) {
      reject(key, found(key), allowed);
      return replacement;
    }
  }

  private Duration durationWithUnit(String key) {
    ConfigValue value = valueAt(key);
    if (value != null && value.valueType() == ConfigValueType.NUMBER) {
      throw new ConfigException.BadValue(key, "a span needs its unit");
    }
    return config.getDuration(key);
  }

  private ConfigValue valueAt(String key) {
    ConfigValue value = config.root();
    for (String step : key.split("\\.")) {
      value = value instanceof ConfigObject object ? object.get(step) : null;
    }
    return value;
  }

  private String found(String key) {
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

  private static String plain(double value) {
    return value == Math.rint(value) && Math.abs(value) < MAX_PLAIN_WHOLE_NUMBER
        ? Long.toString((long) value)
        : Double.toString(value);
  }

  private static String inWords(Duration duration) {
    return duration.toMillis() % 1000 == 0
        ? duration.toSeconds() + "s"
        : duration.toMillis() + "ms";
  }
}
