package fordridge.membership;

/**
 * One key of the store with its value, decoded as far as it can be.
 *
 * @param name name of what the record is about
 * @param modRevision revision of the key's last change
 * @param createRevision revision at which the key was created
 */
public record StoreRecord(
    String key, RecordKind kind, String name, long modRevision, long createRevision, Value value) {
  /** A decoded value. */
  public sealed interface Value permits MachineRecord, Drain, Text, Unreadable {}

  /**
   * A drain: the machine takes nothing new.
   *
   * @param reason why, for operators
   */
  public record Drain(String reason) implements Value {}

  /** A value that is used as it is: a shared setting, a registration, or an unknown record. */
  public record Text(String text) implements Value {}

  /**
   * A value that cannot be read.
   *
   * @param reason what is wrong with it
   */
  public record Unreadable(String reason) implements Value {}
}
