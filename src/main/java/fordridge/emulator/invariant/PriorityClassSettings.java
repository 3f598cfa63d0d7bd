package fordridge.emulator.invariant;

import fordridge.emulator.record.RecordField;
import fordridge.emulator.record.RecordedEvent;

/**
 * What the invariants depend on in a priority class.
 *
 * @param deduplicationDomain where a machine knows the idempotency keys of another
 * @param deduplicationWindowUs how long idempotency keys are remembered, in microseconds
 * @param spreadLimit the most VMs of one service of one scheduler in a domain
 */
record PriorityClassSettings(
    RetrySafety retrySafety,
    FailureDomain deduplicationDomain,
    long deduplicationWindowUs,
    FailureDomain spreadDomain,
    long spreadLimit) {

  static PriorityClassSettings of(RecordedEvent event) {
    return new PriorityClassSettings(
        RetrySafety.of(event.text(RecordField.RETRY_SAFETY)),
        FailureDomain.of(event.text(RecordField.DEDUPLICATION_DOMAIN)),
        event.whole(RecordField.DEDUPLICATION_WINDOW),
        FailureDomain.of(event.text(RecordField.SPREAD_DOMAIN)),
        event.whole(RecordField.SPREAD_LIMIT));
  }

  boolean isSpread() {
    return spreadDomain != FailureDomain.OFF;
  }

  /** Whether a start whose outcome is unknown may be followed by another one anywhere. */
  boolean mayStartAgainAnywhere() {
    return retrySafety == RetrySafety.IDEMPOTENT
        || (retrySafety == RetrySafety.IDEMPOTENT_WITH_KEY
            && deduplicationDomain == FailureDomain.ALL);
  }
}
