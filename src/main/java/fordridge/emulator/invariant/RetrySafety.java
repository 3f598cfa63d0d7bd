package fordridge.emulator.invariant;

/** Whether a VM of a priority class may be started more than once, as recorded. */
enum RetrySafety {
  IDEMPOTENT("rebuildable"),
  IDEMPOTENT_WITH_KEY("tokened"),
  NON_IDEMPOTENT("one-shot");

  private final String text;

  RetrySafety(String text) {
    this.text = text;
  }

  static RetrySafety of(String text) {
    for (RetrySafety safety : values()) {
      if (safety.text.equals(text)) {
        return safety;
      }
    }
    throw new IllegalArgumentException(
        "retry safety '" + text + "' is not one of rebuildable, tokened, one-shot");
  }
}
