package fordridge.membership;

/**
 * The layout of the keys in the store: a prefix for each cluster, and below it one path for each
 * kind of record.
 *
 * @param prefix prefix of all keys of the cluster, without a trailing slash
 */
public record StoreKeys(String prefix) {
  private static final String MACHINES = "/machines/";
  private static final String DRAINS = "/drains/";
  private static final String SHARED_SETTINGS = "/terms/";
  private static final String SCHEDULERS = "/placers/";

  /** The key of a machine's record. */
  public String machine(String name) {
    return prefix + MACHINES + name;
  }

  /** The key of a machine's drain record. */
  public String drain(String machineName) {
    return prefix + DRAINS + machineName;
  }

  /** The key of a setting that all schedulers share. */
  public String sharedSetting(String name) {
    return prefix + SHARED_SETTINGS + name;
  }

  /** The key of a scheduler's registration. */
  public String scheduler(String name) {
    return prefix + SCHEDULERS + name;
  }

  /** The prefix of all keys of the cluster, with a trailing slash. */
  public String commonPrefix() {
    return prefix + "/";
  }

  /** The kind of the record under a key. */
  public RecordKind kind(String key) {
    if (!key.startsWith(prefix)) {
      return RecordKind.OTHER;
    }
    String relativeKey = key.substring(prefix.length());
    if (relativeKey.startsWith(MACHINES)) {
      return RecordKind.MACHINE;
    }
    if (relativeKey.startsWith(DRAINS)) {
      return RecordKind.DRAIN;
    }
    if (relativeKey.startsWith(SHARED_SETTINGS)) {
      return RecordKind.SHARED_SETTING;
    }
    return relativeKey.startsWith(SCHEDULERS) ? RecordKind.SCHEDULER : RecordKind.OTHER;
  }

  /** The last path element of a key: the name of a machine, a shared setting or a scheduler. */
  public String name(String key) {
    return key.substring(key.lastIndexOf('/') + 1);
  }
}
