package fordridge.emulator.invariant;

import static fordridge.emulator.invariant.Invariant.DRAIN_RESPECTED;

import fordridge.emulator.record.RecordField;
import fordridge.emulator.record.RecordedEvent;
import java.util.HashMap;
import java.util.Map;

/**
 * No scheduler offers to a machine that drains or is gone, the grace after it could know aside. A
 * scheduler that watches the store can know from when the store sent it the change; one that reads
 * a file, from when the list was published and the poll interval has passed.
 */
final class DrainInvariant {
  /** The store has one record for the machine and one for its drain. */
  private record StoreRecord(String subject, String machine) {}

  private static final String MACHINE_RECORD = "machine";
  private static final String DRAIN_RECORD = "drain";

  private final ObservedState state;
  private final Findings findings;

  /** For each scheduler that watches the store, since when it was sent that a machine is closed. */
  private final Map<String, Map<StoreRecord, Long>> closedSinceUs = new HashMap<>();

  DrainInvariant(ObservedState state, Findings findings) {
    this.state = state;
    this.findings = findings;
  }

  void snapshotSent(RecordedEvent event) {
    closedSinceUs.put(event.text(RecordField.SCHEDULER), new HashMap<>());
  }

  void changeSent(RecordedEvent event) {
    Map<StoreRecord, Long> known =
        closedSinceUs.computeIfAbsent(
            event.text(RecordField.SCHEDULER), scheduler -> new HashMap<>());
    StoreRecord changed =
        new StoreRecord(event.text(RecordField.SUBJECT), event.text(RecordField.MACHINE));
    if (event.isTrue(RecordField.IS_CLOSED)) {
      known.putIfAbsent(changed, event.timeUs());
    } else {
      known.remove(changed);
    }
  }

  void attemptOffered(ObservedAttempt attempt) {
    Map<StoreRecord, Long> known = closedSinceUs.get(attempt.scheduler);
    if (known != null) {
      checkAfterChangeSent(attempt, known);
    } else {
      checkAfterPublished(attempt);
    }
  }

  private void checkAfterChangeSent(ObservedAttempt attempt, Map<StoreRecord, Long> known) {
    Long drain = known.get(new StoreRecord(DRAIN_RECORD, attempt.machine));
    Long gone = known.get(new StoreRecord(MACHINE_RECORD, attempt.machine));
    if (drain == null && gone == null) {
      return;
    }
    long sinceUs =
        Math.min(drain == null ? Long.MAX_VALUE : drain, gone == null ? Long.MAX_VALUE : gone);
    long lateUs = attempt.offeredAtUs - sinceUs;
    findings.maximum(Figure.LATEST_OFFER_AFTER_DRAIN_SENT_US, lateUs);
    if (lateUs > state.drainGraceUs()) {
      findings.violated(
          DRAIN_RESPECTED, describe(attempt, lateUs) + " ms after the change was sent");
    }
  }

  private void checkAfterPublished(ObservedAttempt attempt) {
    state
        .machine(attempt.machine)
        .closedAtUs()
        .ifPresent(
            closedAtUs -> {
              long lateUs = attempt.offeredAtUs - closedAtUs;
              findings.maximum(Figure.LATEST_OFFER_AFTER_DRAIN_PUBLISHED_US, lateUs);
              long allowedUs =
                  state.drainGraceUs() + state.pollIntervalUs() + ObservedState.TOLERANCE_US;
              if (lateUs > allowedUs) {
                findings.violated(
                    DRAIN_RESPECTED,
                    describe(attempt, lateUs) + " ms after it was listed as closed");
              }
            });
  }

  private static String describe(ObservedAttempt attempt, long lateUs) {
    return attempt.scheduler + " offered to " + attempt.machine + " " + lateUs / 1000;
  }
}
