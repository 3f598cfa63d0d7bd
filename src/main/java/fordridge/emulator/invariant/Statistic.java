package fordridge.emulator.invariant;

/**
 * The counts and maxima that are reported in addition to the invariants; times are in microseconds.
 */
public enum Statistic {
  REQUESTS("placement requests"),
  RESPONSES_ACCEPTED("responses: accepted"),
  RESPONSES_REJECTED("responses: rejected"),
  RESPONSES_FAILED("responses: failed"),
  ATTEMPTS("attempts"),
  ATTEMPTS_STARTED("attempts started, response lost or not"),
  NON_IDEMPOTENT_STARTS("starts of non-idempotent VMs"),
  REPEATED_IDEMPOTENT_STARTS("repeated starts of idempotent VMs"),
  MAX_OFFER_DELAY_AFTER_DRAIN_SENT_US("latest offer after a scheduler was sent a drain, us"),
  MAX_OFFER_DELAY_AFTER_DRAIN_PUBLISHED_US("latest offer after a drain was published, us"),
  MAX_OFFERS_DURING_WARM_UP("most offers to a warming machine within its span"),
  MAX_VMS_OF_A_SERVICE_IN_A_DOMAIN("most VMs of a service of a scheduler in a domain"),
  OFFERS_CHECKED_AGAINST_CONSTRAINTS("offers checked against tenants' constraints"),
  LONGEST_EMULATOR_STALL_US("longest stall of the emulator's process, us");

  private final String label;

  Statistic(String label) {
    this.label = label;
  }

  /** The label of the statistic in the report. */
  public String label() {
    return label;
  }
}
