package fordridge.emulator.invariant;

/** What is counted or measured beside the invariants; times are microseconds. */
public enum Figure {
  REQUESTS("VMs asked for"),
  RESPONSES_ACCEPTED("answers: bound"),
  RESPONSES_REJECTED("answers: denied"),
  RESPONSES_FAILED("answers: errored"),
  ATTEMPTS("claims"),
  ATTEMPTS_STARTED("claims started, answers lost or not"),
  NON_IDEMPOTENT_STARTS("one-shot starts"),
  REPEATED_IDEMPOTENT_STARTS("second starts of VMs that may run again"),
  LATEST_OFFER_AFTER_DRAIN_SENT_US("latest offer after a placer was sent a drain, us"),
  LATEST_OFFER_AFTER_DRAIN_PUBLISHED_US("latest offer after a drain was published, us"),
  MOST_OFFERS_WHILE_WARMING("most offers to a cold machine within its span"),
  MOST_OF_A_SERVICE_IN_A_DOMAIN("most of a service of one placer in one place"),
  OFFERS_CHECKED_AGAINST_CONSTRAINTS("offers judged by customers' rules"),
  LONGEST_EMULATOR_STALL_US("longest that the rig itself stood still, us");

  private final String label;

  Figure(String label) {
    this.label = label;
  }

  /** How the figure is named in the report. */
  public String label() {
    return label;
  }
}
