package fordridge.membership;

/** Where what stands in the store: one prefix for a cluster, one folder for each kind of record. */
public record StoreKeys(String prefix) {
  static final String MACHINES = "/machines/";
  static final String DRAINS = "/drains/";
  static final String TERMS = "/terms/";
  static final String PLACERS = "/placers/";

  public String machine(String name) {
    return prefix + MACHINES + name;
  }

  public String drain(String name) {
    return prefix + DRAINS + name;
  }

  public String term(String name) {
    return prefix + TERMS + name;
  }

  public String placer(String name) {
    return prefix + PLACERS + name;
  }

  public String all() {
    return prefix + "/";
  }

  public MachineListReplica.StoreRecord.Kind kind(String key) {
    String rest = key.startsWith(prefix) ? key.substring(prefix.length()) : "";
    return rest.startsWith(MACHINES)
        ? MachineListReplica.StoreRecord.Kind.MACHINE
        : rest.startsWith(DRAINS)
            ? MachineListReplica.StoreRecord.Kind.DRAIN
            : rest.startsWith(TERMS)
                ? MachineListReplica.StoreRecord.Kind.TERM
                : rest.startsWith(PLACERS)
                    ? MachineListReplica.StoreRecord.Kind.PLACER
                    : MachineListReplica.StoreRecord.Kind.OTHER;
  }

  public String name(String key) {
    return key.substring(key.lastIndexOf('/') + 1);
  }
}
