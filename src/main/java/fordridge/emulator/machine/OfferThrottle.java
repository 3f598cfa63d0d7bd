package fordridge.emulator.machine;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;

/** Applies a throttle, counting the offers that pass it over a sliding window of one second. */
final class OfferThrottle {
  private static final Duration WINDOW = Duration.ofSeconds(1);

  private final Deque<Duration> passedAt = new ArrayDeque<>();

  /** Whether the throttle refuses the offer; an offer that passes is counted. */
  boolean refuses(ActiveFaults.Throttle throttle, VmOffer offer, Duration now) {
    if (!throttle.covers(offer)) {
      return false;
    }
    while (!passedAt.isEmpty() && passedAt.peekFirst().plus(WINDOW).compareTo(now) <= 0) {
      passedAt.removeFirst();
    }
    if (passedAt.size() >= Math.max(1, throttle.ratePerSecond())) {
      return true;
    }
    passedAt.addLast(now);
    return false;
  }
}
