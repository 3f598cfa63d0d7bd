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
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.apache.commons.text.similarity.LevenshteinDistance;

/**
 * Takes typed values out of one HOCON object and keeps every complaint, each with file, line, key,
 * what was found and what is allowed. A wrong value reads as null or 0, so that reading goes on and
 * all errors come at once.
 */
public final class ConfigReader {
  private final Config from;
  private final String prefix;
  private final List<String> errors;
  private final Set<String> known = new HashSet<>();

  public ConfigReader(Config from, String prefix, List<String> errors) {
    this.from = from;
    this.prefix = prefix;
    this.errors = errors;
  }

  public void error(String key, String found, String allowed) {
    errors.add(where(key) + prefix + key + ": found " + found + ", allowed: " + allowed);
  }

  private String where(String key) {
    ConfigValue v = from.hasPathOrNull(key) ? valueAt(key) : null;
    return place(v == null ? from.root().origin() : v.origin());
  }

  private static String place(ConfigOrigin at) {
    String file =
        at.filename() != null
            ? at.filename()
            : at.resource() != null ? at.resource() : at.description();
    return file + (at.lineNumber() > 0 ? ":" + at.lineNumber() : "") + ": ";
  }

  private ConfigValue valueAt(String key) {
    ConfigValue v = from.root();
    for (String step : key.split("\\.")) {
      v = v instanceof ConfigObject o ? o.get(step) : null;
    }
    return v;
  }

  private String found(String key) {
    ConfigValue v = valueAt(key);
    return v == null ? "nothing" : v.unwrapped() + " (" + v.valueType().name().toLowerCase() + ")";
  }

  private interface ValueReader<T> {
    T take();
  }

  private <T> T take(String key, T instead, String allowed, ValueReader<T> taking) {
    known.add(key);
    try {
      return taking.take();
    } catch (ConfigException e) {
      error(key, found(key), allowed);
      return instead;
    }
  }

  /** Whether an optional key is there; it is a known one either way. */
  public boolean has(String key) {
    known.add(key);
    return valueAt(key) != null;
  }

  public String text(String key, int longest) {
    String s = take(key, "", "text", () -> from.getString(key));
    if (s.length() > longest) {
      error(key, s.length() + " characters", "at most " + longest);
    }
    return s;
  }

  public String word(String key, String... allowed) {
    String s =
        take(key, allowed[0], "one of " + String.join(", ", allowed), () -> from.getString(key));
    if (!Arrays.asList(allowed).contains(s)) {
      error(key, "'" + s + "'", "one of " + String.join(", ", allowed));
      return allowed[0];
    }
    return s;
  }

  public boolean flag(String key) {
    return take(key, false, "true or false", () -> from.getBoolean(key));
  }

  public int whole(String key, int least, int most) {
    double d = number(key, least, most);
    if (d != Math.rint(d)) {
      error(key, found(key), "a whole number");
    }
    return (int) d;
  }

  public long any(String key) {
    return take(key, 0L, "a whole number", () -> from.getLong(key));
  }

  public double number(String key, double least, double most) {
    String allowed = "a number from " + plain(least) + " to " + plain(most);
    double d = take(key, least, allowed, () -> from.getDouble(key));
    if (!(d >= least && d <= most)) {
      error(key, plain(d), allowed);
      return least;
    }
    return d;
  }

  private static String plain(double d) {
    return d == Math.rint(d) && Math.abs(d) < 1e15 ? Long.toString((long) d) : Double.toString(d);
  }

  public Duration span(String key, Duration least, Duration most) {
    String allowed = "a span from " + inWords(least) + " to " + inWords(most) + ", as 250ms or 3s";
    Duration d =
        take(
            key,
            least,
            allowed,
            () -> {
              if (valueAt(key) != null && valueAt(key).valueType() == ConfigValueType.NUMBER) {
                throw new ConfigException.BadValue(key, "a span needs its unit");
              }
              return from.getDuration(key);
            });
    if (d.compareTo(least) < 0 || d.compareTo(most) > 0) {
      error(key, found(key), allowed);
      return least;
    }
    return d;
  }

  private static String inWords(Duration d) {
    return d.toMillis() % 1000 == 0 ? d.toSeconds() + "s" : d.toMillis() + "ms";
  }

  public int size(String key, int least, int most) {
    String allowed = "a size from " + least + " to " + most + " bytes, as 64KiB";
    long n = take(key, (long) least, allowed, () -> from.getBytes(key));
    if (n < least || n > most) {
      error(key, found(key), allowed);
      return least;
    }
    return (int) n;
  }

  /** The objects of a list, each read over the defaults under another key (null for none). */
  public List<ConfigReader> each(String key, String defaults) {
    known.add(key);
    List<ConfigReader> some = new ArrayList<>();
    Config base = defaults == null ? null : from.getConfig(defaults);
    ConfigValue v = valueAt(key);
    if (!(v instanceof ConfigList list)) {
      error(key, found(key), "a list of objects");
      return some;
    }
    for (int i = 0; i < list.size(); i++) {
      String name = prefix + key + "[" + i + "].";
      if (list.get(i) instanceof ConfigObject o) {
        some.add(
            new ConfigReader(
                base == null ? o.toConfig() : o.toConfig().withFallback(base), name, errors));
      } else {
        errors.add(
            place(list.get(i).origin())
                + prefix
                + key
                + "["
                + i
                + "]: found "
                + list.get(i).unwrapped()
                + ", allowed: an object");
      }
    }
    return some;
  }

  public List<String> texts(String key) {
    return take(key, List.of(), "a list of texts", () -> from.getStringList(key));
  }

  public void knows(String key) {
    known.add(key);
  }

  /** Complains of every key that nothing above asked for, with the nearest that exists. */
  public void refuseUnknown() {
    walk("", from.root());
  }

  private void walk(String path, ConfigObject o) {
    for (Map.Entry<String, ConfigValue> e : new java.util.TreeMap<>(o).entrySet()) {
      String key = path + e.getKey();
      if (known.contains(key)) {
        continue;
      }
      boolean group = known.stream().anyMatch(k -> k.startsWith(key + "."));
      if (group && e.getValue() instanceof ConfigObject sub) {
        walk(key + ".", sub);
      } else if (group) {
        errors.add(
            place(e.getValue().origin())
                + prefix
                + key
                + ": found "
                + e.getValue().unwrapped()
                + ", allowed: an object");
      } else {
        errors.add(
            place(e.getValue().origin())
                + prefix
                + ConfigUtil.joinPath(key.split("\\."))
                + ": unknown key"
                + nearest(key));
      }
    }
  }

  private String nearest(String key) {
    LevenshteinDistance distance = LevenshteinDistance.getDefaultInstance();
    String best =
        known.stream()
            .sorted()
            .min((a, b) -> Integer.compare(distance.apply(key, a), distance.apply(key, b)))
            .orElse("");
    return best.isEmpty() ? "" : "; the nearest known one is " + prefix + best;
  }
}
