package fordridge.emulator.invariant;

import fordridge.emulator.record.RecordField;
import fordridge.emulator.record.RecordedEvent;

/**
 * The settings of a priority class on which the invariants depend, as recorded.
 *
 * @param deduplicationDomain the domain within which machines share idempotency keys
 * @param deduplicationWindowUs how long idempotency keys are remembered, in microseconds
 * @param spreadLimit the maximum number of VMs of one service that one scheduler may have in a
 *     spread domain
 */
record RecordedPriorityClass(
    RecordedRetrySafety retrySafety,
    FailureDomain deduplicationDomain,
    long deduplicationWindowUs,
    FailureDomain spreadScope,
    long spreadLimit) {

  static RecordedPriorityClass of(RecordedEvent event) {
    return new RecordedPriorityClass(
        RecordedRetrySafety.of(event.text(RecordField.RETRY_SAFETY)),
        FailureDomain.of(event.text(RecordField.DEDUPLICATION_DOMAIN)),
        event.whole(RecordField.DEDUPLICATION_WINDOW),
        FailureDomain.of(event.text(RecordField.SPREAD_DOMAIN)),
        event.whole(RecordField.SPREAD_LIMIT));
  }

  boolean isSpread() {
    return spreadScope != FailureDomain.OFF;
  }

  /** Whether a VM whose start has an unknown outcome may safely be started again on any machine. */
  boolean isRestartSafeAnywhere() {
    return retrySafety == RecordedRetrySafety.IDEMPOTENT
        || (retrySafety == RecordedRetrySafety.IDEMPOTENT_WITH_KEY
            && deduplicationDomain == FailureDomain.ALL);
  }
}
