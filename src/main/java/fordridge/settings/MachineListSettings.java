package fordridge.settings;

import java.time.Duration;

/**
 * The source of the machine list (block {@code machines}).
 *
 * @param origin the type of the source
 * @param path path of the machine list file, relative to the settings file; used if the source is a
 *     file
 * @param pollInterval interval at which files are checked for changes
 */
public record MachineListSettings(Origin origin, String path, Duration pollInterval) {
  /** The types of machine list sources. */
  public enum Origin implements ConfigWord {
    FILE("file"),
    ETCD("etcd");

    private final String configWord;

    Origin(String configWord) {
      this.configWord = configWord;
    }

    @Override
    public String configWord() {
      return configWord;
    }
  }

  static MachineListSettings read(ConfigReader reader) {
    return new MachineListSettings(
        reader.enumConstant("machines.source", Origin.values()),
        reader.string("machines.list", Limits.MAX_PATH_LENGTH),
        reader.duration("machines.poll", Duration.ofMillis(10), Duration.ofMinutes(1)));
  }

  /** Whether the machine list is read from etcd. */
  public boolean isInEtcd() {
    return origin == Origin.ETCD;
  }
}
