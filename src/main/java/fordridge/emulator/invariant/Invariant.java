package fordridge.emulator.invariant;

/** The promises of the schedulers that are checked against a recording. */
public enum Invariant {
  TIMELY_RESPONSE(1, "one answer in time"),
  NO_DUPLICATE_EFFECT(2, "no double effect"),
  DRAIN_RESPECTED(3, "drains kept"),
  SLOW_START_RESPECTED(4, "no cold machine pushed over"),
  SPREAD_RESPECTED(5, "spread kept"),
  TENANT_CONSTRAINTS_RESPECTED(6, "customers' rules kept");

  private final int number;
  private final String title;

  Invariant(int number, String title) {
    this.number = number;
    this.title = title;
  }

  /** The number under which the documentation lists it. */
  public int number() {
    return number;
  }

  /** What is promised, in a few words. */
  public String title() {
    return title;
  }
}
