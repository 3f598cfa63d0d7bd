package fordridge.emulator.machine;

/** Why a machine refuses an offer. */
public enum RefusalReason {
  UNSPECIFIED("UNTOLD"),
  NO_CORES("NO_CORES"),
  NO_MEMORY("NO_MEMORY"),
  QUEUE_FULL("LINE_FULL"),
  NOT_AVAILABLE("NOT_HERE");

  private final String text;

  RefusalReason(String text) {
    this.text = text;
  }

  /** The value of the reason in a recording. */
  public String text() {
    return text;
  }
}
