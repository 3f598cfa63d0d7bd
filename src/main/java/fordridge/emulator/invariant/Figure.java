package fordridge.emulator.invariant;

/** What is counted or measured beside the invariants; times are microseconds. */
public enum Figure {
  REQUESTS("placement requests"),
  RESPONSES_ACCEPTED("responses: accepted"),
  RESPONSES_REJECTED("responses: rejected"),
  RESPONSES_FAILED("responses: failed"),
  ATTEMPTS("attempts"),
  ATTEMPTS_STARTED("attempts started, response lost or not"),
  NON_IDEMPOTENT_STARTS("starts of non-idempotent VMs"),
  REPEATED_IDEMPOTENT_STARTS("repeated starts of idempotent VMs"),
  LATEST_OFFER_AFTER_DRAIN_SENT_US("latest offer after a scheduler was sent a drain, us"),
  LATEST_OFFER_AFTER_DRAIN_PUBLISHED_US("latest offer after a drain was published, us"),
  MOST_OFFERS_WHILE_WARMING("most offers to a warming machine within its span"),
  MOST_OF_A_SERVICE_IN_A_DOMAIN("most VMs of a service of a scheduler in a domain"),
  OFFERS_CHECKED_AGAINST_CONSTRAINTS("offers checked against tenants' constraints"),
  LONGEST_EMULATOR_STALL_US("longest stall of the emulator's process, us");

  private final String label;

  Figure(String label) {
    this.label = label;
  }

  /** How the figure is named in the report. */
  public String label() {
    return label;
  }
}
