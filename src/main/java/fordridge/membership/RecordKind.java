package fordridge.membership;

/** What a record of the store is about. */
public enum RecordKind {
  MACHINE,
  DRAIN,
  SHARED_SETTING,
  SCHEDULER,
  OTHER
}
