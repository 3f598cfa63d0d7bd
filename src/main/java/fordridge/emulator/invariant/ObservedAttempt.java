package fordridge.emulator.invariant;

import fordridge.emulator.record.RecordField;
import fordridge.emulator.record.RecordedEvent;
import java.util.OptionalLong;

/**
 * A placement attempt as its machine saw it: an offer of a VM until its outcome. Times are
 * microseconds of the recording.
 */
final class ObservedAttempt {
  final String scheduler;
  final String vm;
  final String machine;
  final String priorityClass;
  final String tenant;
  final long service;
  final long number;
  final long offeredAtUs;
  final long deadlineUs;

  /** The scheduler can have heard the outcome of the offer. */
  boolean isAnswered;

  /** The machine said that the VM has never run. */
  boolean hasNeverRun;

  /** The machine counts nothing for the VM any more. */
  boolean isOver;

  private OptionalLong startedAtUs = OptionalLong.empty();
  private OptionalLong connectionBrokenAtUs = OptionalLong.empty();
  private OptionalLong cancelledAtUs = OptionalLong.empty();

  ObservedAttempt(RecordedEvent offer) {
    scheduler = offer.text(RecordField.SCHEDULER);
    vm = offer.text(RecordField.VM);
    machine = offer.source();
    priorityClass = offer.text(RecordField.PRIORITY_CLASS);
    tenant = offer.text(RecordField.TENANT);
    service = offer.whole(RecordField.SERVICE);
    number = offer.whole(RecordField.ATTEMPT_NUMBER);
    offeredAtUs = offer.timeUs();
    deadlineUs = offeredAtUs + offer.whole(RecordField.TIME_LEFT_AT_OFFER);
  }

  /** Whether the event, recorded at the attempt's machine, is about this attempt. */
  boolean isSubjectOf(RecordedEvent event) {
    return machine.equals(event.source())
        && number == event.whole(RecordField.ATTEMPT_NUMBER)
        && scheduler.equals(event.text(RecordField.SCHEDULER));
  }

  boolean isStarted() {
    return startedAtUs.isPresent();
  }

  /** Whether the scheduler must still take the outcome to be open. */
  boolean isOutstanding(long nowUs, long toleranceUs) {
    return !isAnswered
        && !isOver
        && connectionBrokenAtUs.isEmpty()
        && cancelledAtUs.isEmpty()
        && nowUs < deadlineUs - toleranceUs;
  }

  /** Whether the scheduler has heard, longer ago than the tolerance, that the VM runs. */
  boolean isKnownToRun(long nowUs, long toleranceUs) {
    return isStarted()
        && isAnswered
        && !isOver
        && connectionBrokenAtUs.isEmpty()
        && nowUs > startedAtUs.getAsLong() + toleranceUs;
  }

  void started(long nowUs) {
    startedAtUs = OptionalLong.of(nowUs);
  }

  /** When the machine got the first cancellation. */
  OptionalLong cancelledAtUs() {
    return cancelledAtUs;
  }

  void cancelled(long nowUs) {
    if (cancelledAtUs.isEmpty()) {
      cancelledAtUs = OptionalLong.of(nowUs);
    }
  }

  void connectionBroken(long nowUs) {
    if (connectionBrokenAtUs.isEmpty()) {
      connectionBrokenAtUs = OptionalLong.of(nowUs);
    }
  }
}
