package fordridge.emulator.invariant;

import fordridge.emulator.record.RecordField;
import fordridge.emulator.record.RecordedEvent;
import java.util.OptionalLong;

/**
 * A placement attempt as its machine recorded it, from the offer until the end of the VM. Times are
 * in microseconds since the start of the recording.
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

  /** Whether a response with the outcome of the offer was delivered to the scheduler. */
  boolean isOutcomeDelivered;

  /** Whether the machine reported that the VM has never run. */
  boolean hasNeverRun;

  /** Whether the VM no longer occupies the machine: refused, ended, or lost in a crash. */
  boolean hasEnded;

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

  /**
   * Whether the event was recorded at the attempt's machine and concerns this attempt. The caller
   * has matched the VM.
   */
  boolean matches(RecordedEvent event) {
    return machine.equals(event.source())
        && number == event.whole(RecordField.ATTEMPT_NUMBER)
        && scheduler.equals(event.text(RecordField.SCHEDULER));
  }

  boolean isStarted() {
    return startedAtUs.isPresent();
  }

  /** Whether the scheduler cannot know the outcome yet and has to wait for it. */
  boolean isOutstanding(long nowUs, long toleranceUs) {
    return !isOutcomeDelivered
        && !hasEnded
        && connectionBrokenAtUs.isEmpty()
        && cancelledAtUs.isEmpty()
        && nowUs < deadlineUs - toleranceUs;
  }

  /** Whether the VM runs and the scheduler has known so for longer than the tolerance. */
  boolean isKnownToRun(long nowUs, long toleranceUs) {
    return isStarted()
        && isOutcomeDelivered
        && !hasEnded
        && connectionBrokenAtUs.isEmpty()
        && nowUs > startedAtUs.getAsLong() + toleranceUs;
  }

  void started(long nowUs) {
    startedAtUs = OptionalLong.of(nowUs);
  }

  /** When the machine received the first cancellation; empty if it received none. */
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
