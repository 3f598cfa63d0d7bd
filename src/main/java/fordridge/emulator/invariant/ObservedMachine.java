package fordridge.emulator.invariant;

import fordridge.emulator.record.RecordField;
import fordridge.emulator.record.RecordedEvent;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

/**
 * The state of a machine according to the recording. Times are in microseconds since the start of
 * the recording.
 */
final class ObservedMachine {
  final String name;
  String kind = "";
  String zone = "";
  long cell;

  private OptionalLong unavailableSinceUs = OptionalLong.empty();
  private OptionalLong startedAtUs = OptionalLong.empty();
  private double minWarmUpOffers;
  private double overloadMultiple;
  private long overloadSpanUs;
  private double initialSpeedShare;
  private long warmUpUs;
  private double fullRatePerSecond;
  private final Deque<Long> warmUpOffersUs = new ArrayDeque<>();

  ObservedMachine(String name) {
    this.name = name;
  }

  /** Sets the topology labels from the event that describes the machine. */
  void setLabels(RecordedEvent event) {
    kind = event.text(RecordField.MACHINE_KIND);
    zone = event.text(RecordField.ZONE);
    cell = event.whole(RecordField.CELL);
  }

  /** Records a state that the registry published; only a live machine may be offered VMs. */
  void listed(boolean isLive, long nowUs) {
    if (isLive) {
      unavailableSinceUs = OptionalLong.empty();
    } else if (unavailableSinceUs.isEmpty()) {
      unavailableSinceUs = OptionalLong.of(nowUs);
    }
  }

  /** Since when the registry has listed the machine as unavailable; empty if it is available. */
  OptionalLong unavailableSinceUs() {
    return unavailableSinceUs;
  }

  /** Records that the machine started and begins to warm up. */
  void started(RecordedEvent event) {
    startedAtUs = OptionalLong.of(event.timeUs());
    minWarmUpOffers = event.real(RecordField.MIN_WARM_UP_OFFERS);
    overloadMultiple = event.real(RecordField.OVERLOAD_MULTIPLE);
    overloadSpanUs = event.whole(RecordField.OVERLOAD_SPAN);
    initialSpeedShare = event.real(RecordField.INITIAL_SPEED_SHARE);
    warmUpUs = event.whole(RecordField.WARM_UP);
    fullRatePerSecond = event.real(RecordField.FULL_RATE);
    warmUpOffersUs.clear();
  }

  boolean isWarmingUp(long nowUs) {
    return startedAtUs.isPresent() && nowUs - startedAtUs.getAsLong() <= warmUpUs;
  }

  /**
   * The time since the machine started; to be called only for a machine that has recorded its
   * start.
   */
  long ageUs(long nowUs) {
    return nowUs - startedAtUs.orElseThrow();
  }

  /**
   * Adds an offer to a machine that is warming up, and returns the number of offers within the
   * overload span.
   */
  int addWarmUpOffer(long nowUs) {
    warmUpOffersUs.addLast(nowUs);
    while (warmUpOffersUs.peekFirst() + overloadSpanUs < nowUs) {
      warmUpOffersUs.removeFirst();
    }
    return warmUpOffersUs.size();
  }

  /**
   * The largest number of offers within the overload span that does not overload the machine now.
   */
  double warmUpOfferLimit(long nowUs) {
    double warmUpShare = ageUs(nowUs) / (double) Math.max(1, warmUpUs);
    double speedShare = Math.min(1, initialSpeedShare + (1 - initialSpeedShare) * warmUpShare);
    double spanSeconds = overloadSpanUs / (double) TimeUnit.SECONDS.toMicros(1);
    return Math.max(
        minWarmUpOffers, overloadMultiple * fullRatePerSecond * speedShare * spanSeconds);
  }
}
