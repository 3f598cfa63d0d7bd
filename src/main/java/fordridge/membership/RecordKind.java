package fordridge.membership;

/** The kinds of records in the store. */
public enum RecordKind {
  MACHINE,
  DRAIN,
  SHARED_SETTING,
  SCHEDULER,
  OTHER
}
