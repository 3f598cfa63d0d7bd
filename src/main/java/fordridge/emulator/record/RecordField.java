package fordridge.emulator.record;

/**
 * The fields of recorded events, with their names in the file. Times and durations are in
 * microseconds.
 */
public enum RecordField {
  // Every event.
  TIME("t"),
  SOURCE("at"),
  KIND("what"),
  // Messages about one placement attempt.
  SCHEDULER("placer"),
  VM("vm"),
  ATTEMPT_NUMBER("n"),
  PRIORITY_CLASS("flavour"),
  SERVICE("service"),
  TENANT("customer"),
  TIME_LEFT_AT_OFFER("within"),
  REASON("why"),
  END_KIND("how"),
  HAS_RUN("ran"),
  IS_LOST("lost"),
  INVENTORY_SIZE("held"),
  PROBE_NUMBER("probe"),
  /** What a usage note measures, or the kind of store record that a change concerns. */
  SUBJECT("of"),
  AMOUNT("amount"),
  // Messages between clients and schedulers.
  IS_RESUMING("resume"),
  LAST_SEEN_SEQUENCE("seen"),
  IS_RESUMED("resumed"),
  SEQUENCE("seq"),
  MACHINE("machine"),
  WORKLOAD("workload"),
  TIME_LEFT("left"),
  // Machines.
  MACHINE_KIND("kind"),
  ZONE("zone"),
  CELL("cell"),
  CORES("cores"),
  MEMORY("memory"),
  STATE("state"),
  STARTED_AT("started"),
  IS_UNAVAILABLE("closed"),
  MIN_WARM_UP_OFFERS("bears"),
  OVERLOAD_MULTIPLE("multiple"),
  OVERLOAD_SPAN("over"),
  INITIAL_SPEED_SHARE("from"),
  WARM_UP("warm"),
  FULL_RATE("rate"),
  // The emulator and its settings.
  FAULT_KIND("kind"),
  DRAIN_GRACE("grace"),
  POLL_INTERVAL("poll"),
  ACCEPTANCE_SIGNAL("yes"),
  NAME("name"),
  RETRY_SAFETY("effect"),
  DEDUPLICATION_DOMAIN("group"),
  DEDUPLICATION_WINDOW("window"),
  SPREAD_DOMAIN("spread"),
  SPREAD_LIMIT("most"),
  CONSTRAINT_TEXT("text"),
  SCHEDULER_COUNT("placers"),
  STALL("for"),
  IS_ANSWERED("answered");

  private final String text;

  RecordField(String text) {
    this.text = text;
  }

  /** The field's name in the file. Fields of different kinds of events may have the same name. */
  public String text() {
    return text;
  }
}
