package fordridge.settings;

/**
 * A kind of machine.
 *
 * @param cores cores of each such machine
 * @param memory memory of each such machine, in the cluster's memory units
 */
public record MachineKind(String name, double cores, double memory) {
  static MachineKind read(ConfigReader reader) {
    MachineKind kind =
        new MachineKind(
            reader.string("name", Limits.MAX_NAME_LENGTH),
            reader.decimal("cores", 0.01, 1e6),
            reader.decimal("memory", 0.01, 1e9));
    reader.rejectUnknownKeys();
    return kind;
  }
}
