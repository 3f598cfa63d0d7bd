package fordridge.emulator.invariant;

import static fordridge.emulator.invariant.Invariant.DRAIN_RESPECTED;

import fordridge.emulator.record.RecordField;
import fordridge.emulator.record.RecordedEvent;
import java.util.HashMap;
import java.util.Map;

/**
 * Checks that no scheduler offers a VM to a draining or removed machine later than the grace period
 * after the scheduler could know. A scheduler that watches the store can know once the store has
 * sent it the change; one that reads the machine list from a file can know one poll interval after
 * the list was published.
 */
final class DrainInvariant {
  /** Identifies a record in the store; a machine has one for itself and one for its drain. */
  private record StoreRecord(String subject, String machine) {}

  private static final String MACHINE_RECORD = "machine";
  private static final String DRAIN_RECORD = "drain";

  private final ObservedState state;
  private final Findings findings;

  /**
   * For each scheduler that watches the store: when the store sent it the record that made a
   * machine unavailable, in microseconds.
   */
  private final Map<String, Map<StoreRecord, Long>> unavailableSinceUs = new HashMap<>();

  DrainInvariant(ObservedState state, Findings findings) {
    this.state = state;
    this.findings = findings;
  }

  void snapshotSent(RecordedEvent event) {
    unavailableSinceUs.put(event.text(RecordField.SCHEDULER), new HashMap<>());
  }

  void changeSent(RecordedEvent event) {
    Map<StoreRecord, Long> unavailable =
        unavailableSinceUs.computeIfAbsent(
            event.text(RecordField.SCHEDULER), scheduler -> new HashMap<>());
    StoreRecord changed =
        new StoreRecord(event.text(RecordField.SUBJECT), event.text(RecordField.MACHINE));
    if (event.isTrue(RecordField.IS_UNAVAILABLE)) {
      unavailable.putIfAbsent(changed, event.timeUs());
    } else {
      unavailable.remove(changed);
    }
  }

  void attemptOffered(ObservedAttempt attempt) {
    Map<StoreRecord, Long> unavailable = unavailableSinceUs.get(attempt.scheduler);
    if (unavailable != null) {
      checkAfterChangeSent(attempt, unavailable);
    } else {
      checkAfterListPublished(attempt);
    }
  }

  private void checkAfterChangeSent(ObservedAttempt attempt, Map<StoreRecord, Long> unavailable) {
    Long drainingSinceUs = unavailable.get(new StoreRecord(DRAIN_RECORD, attempt.machine));
    Long removedSinceUs = unavailable.get(new StoreRecord(MACHINE_RECORD, attempt.machine));
    if (drainingSinceUs == null && removedSinceUs == null) {
      return;
    }
    long sinceUs =
        Math.min(
            drainingSinceUs == null ? Long.MAX_VALUE : drainingSinceUs,
            removedSinceUs == null ? Long.MAX_VALUE : removedSinceUs);
    long delayUs = attempt.offeredAtUs - sinceUs;
    findings.recordMaximum(Statistic.MAX_OFFER_DELAY_AFTER_DRAIN_SENT_US, delayUs);
    if (delayUs > state.drainGraceUs()) {
      findings.addViolation(
          DRAIN_RESPECTED, describe(attempt, delayUs) + " ms after the change was sent");
    }
  }

  private void checkAfterListPublished(ObservedAttempt attempt) {
    state
        .machine(attempt.machine)
        .unavailableSinceUs()
        .ifPresent(
            sinceUs -> {
              long delayUs = attempt.offeredAtUs - sinceUs;
              findings.recordMaximum(Statistic.MAX_OFFER_DELAY_AFTER_DRAIN_PUBLISHED_US, delayUs);
              long allowedUs =
                  state.drainGraceUs() + state.pollIntervalUs() + ObservedState.TOLERANCE_US;
              if (delayUs > allowedUs) {
                findings.addViolation(
                    DRAIN_RESPECTED,
                    describe(attempt, delayUs) + " ms after it was listed as closed");
              }
            });
  }

  private static String describe(ObservedAttempt attempt, long delayUs) {
    return attempt.scheduler + " offered to " + attempt.machine + " " + delayUs / 1000;
  }
}
