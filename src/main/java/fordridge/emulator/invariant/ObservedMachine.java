package fordridge.emulator.invariant;

import fordridge.emulator.record.RecordField;
import fordridge.emulator.record.RecordedEvent;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

/** A machine as the recording shows it. Times are microseconds of the recording. */
final class ObservedMachine {
  final String name;
  String kind = "";
  String zone = "";
  long cell;

  private OptionalLong closedAtUs = OptionalLong.empty();
  private OptionalLong startedAtUs = OptionalLong.empty();
  private double minWarmingOffers;
  private double overloadMultiple;
  private long overloadSpanUs;
  private double initialPace;
  private long warmUpUs;
  private double fullRatePerSecond;
  private final Deque<Long> warmingOffersUs = new ArrayDeque<>();

  ObservedMachine(String name) {
    this.name = name;
  }

  /** Takes over the topology labels. */
  void described(RecordedEvent event) {
    kind = event.text(RecordField.MACHINE_KIND);
    zone = event.text(RecordField.ZONE);
    cell = event.whole(RecordField.CELL);
  }

  /** The registry published a state; only a live machine may be offered VMs. */
  void listed(boolean isLive, long nowUs) {
    if (isLive) {
      closedAtUs = OptionalLong.empty();
    } else if (closedAtUs.isEmpty()) {
      closedAtUs = OptionalLong.of(nowUs);
    }
  }

  /** Since when the registry lists the machine as not to be used; empty if it may be used. */
  OptionalLong closedAtUs() {
    return closedAtUs;
  }

  /** The machine came up and begins to warm up. */
  void started(RecordedEvent event) {
    startedAtUs = OptionalLong.of(event.timeUs());
    minWarmingOffers = event.real(RecordField.MIN_WARMING_OFFERS);
    overloadMultiple = event.real(RecordField.OVERLOAD_MULTIPLE);
    overloadSpanUs = event.whole(RecordField.OVERLOAD_SPAN);
    initialPace = event.real(RecordField.INITIAL_PACE);
    warmUpUs = event.whole(RecordField.WARM_UP);
    fullRatePerSecond = event.real(RecordField.FULL_RATE);
    warmingOffersUs.clear();
  }

  boolean isWarmingUp(long nowUs) {
    return startedAtUs.isPresent() && nowUs - startedAtUs.getAsLong() <= warmUpUs;
  }

  /** Time since the machine came up; only for a machine that is warming up. */
  long ageUs(long nowUs) {
    return nowUs - startedAtUs.orElseThrow();
  }

  /** Counts an offer to a machine that warms up; the offers within the overload span. */
  int countWarmingOffer(long nowUs) {
    warmingOffersUs.addLast(nowUs);
    while (warmingOffersUs.peekFirst() + overloadSpanUs < nowUs) {
      warmingOffersUs.removeFirst();
    }
    return warmingOffersUs.size();
  }

  /** How many offers within the overload span the machine withstands now. */
  double warmingOfferLimit(long nowUs) {
    double age = ageUs(nowUs) / (double) Math.max(1, warmUpUs);
    double pace = Math.min(1, initialPace + (1 - initialPace) * age);
    double spanSeconds = overloadSpanUs / (double) TimeUnit.SECONDS.toMicros(1);
    return Math.max(minWarmingOffers, overloadMultiple * fullRatePerSecond * pace * spanSeconds);
  }
}
