package fordridge.emulator.invariant;

/** The guarantees of the schedulers that are checked against a recording. */
public enum Invariant {
  TIMELY_RESPONSE(1, "one final response in time"),
  NO_DUPLICATE_EFFECT(2, "no duplicate effect"),
  DRAIN_RESPECTED(3, "drains respected"),
  SLOW_START_RESPECTED(4, "no overload while warming up"),
  SPREAD_RESPECTED(5, "spread respected"),
  TENANT_CONSTRAINTS_RESPECTED(6, "tenants' constraints respected");

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

  /** A short title of the guarantee, as shown in the report. */
  public String title() {
    return title;
  }
}
