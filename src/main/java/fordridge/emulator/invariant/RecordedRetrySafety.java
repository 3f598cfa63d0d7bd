package fordridge.emulator.invariant;

/** The recorded setting of whether a VM of a priority class may be started more than once. */
enum RecordedRetrySafety {
  IDEMPOTENT("rebuildable"),
  IDEMPOTENT_WITH_KEY("tokened"),
  NON_IDEMPOTENT("one-shot");

  private final String text;

  RecordedRetrySafety(String text) {
    this.text = text;
  }

  static RecordedRetrySafety of(String text) {
    for (RecordedRetrySafety safety : values()) {
      if (safety.text.equals(text)) {
        return safety;
      }
    }
    throw new IllegalArgumentException(
        "retry safety '"
            + text
            + "' in the recording is not one of rebuildable, tokened, one-shot");
  }
}
