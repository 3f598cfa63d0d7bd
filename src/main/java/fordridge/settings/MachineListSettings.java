package fordridge.settings;

import java.time.Duration;

/**
 * Where the machine list comes from (block {@code machines}).
 *
 * @param origin the kind of source
 * @param path path of the list where it is a file, relative to the settings file
 * @param pollInterval how often files are looked at for changes
 */
public record MachineListSettings(Origin origin, String path, Duration pollInterval) {
  /** The kinds of source. */
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
        reader.constant("machines.source", Origin.FILE, Origin.ETCD),
        reader.string("machines.list", Limits.MAX_PATH_LENGTH),
        reader.duration("machines.poll", Duration.ofMillis(10), Duration.ofMinutes(1)));
  }

  /** Whether the list comes from etcd. */
  public boolean isInEtcd() {
    return origin == Origin.ETCD;
  }
}
