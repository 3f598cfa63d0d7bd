package fordridge.membership;

/**
 * One key of the store with its decoded value.
 *
 * @param name name of the machine, shared setting or scheduler that the record describes
 * @param modRevision revision of the last change of the key
 * @param createRevision revision at which the key was created
 */
public record StoreRecord(
    String key, RecordKind kind, String name, long modRevision, long createRevision, Value value) {
  /** A decoded value. */
  public sealed interface Value permits MachineRecord, Drain, Text, Unreadable {}

  /**
   * A drain record: its machine gets no new VMs.
   *
   * @param reason why the machine is drained, for operators
   */
  public record Drain(String reason) implements Value {}

  /** An undecoded value: a shared setting, a scheduler's registration, or an unknown record. */
  public record Text(String text) implements Value {}

  /**
   * A value that cannot be decoded.
   *
   * @param reason why it cannot be decoded
   */
  public record Unreadable(String reason) implements Value {}
}
