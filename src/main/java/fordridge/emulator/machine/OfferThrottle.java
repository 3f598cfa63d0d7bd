package fordridge.emulator.machine;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;

/** Counts the offers that a throttle lets pass, over a window of one second. */
final class OfferThrottle {
  private static final Duration WINDOW = Duration.ofSeconds(1);

  private final Deque<Duration> passed = new ArrayDeque<>();

  /** Whether the throttle refuses the offer; one that it lets pass is counted. */
  boolean refuses(ActiveFaults.Throttle throttle, VmOffer offer, Duration now) {
    if (!throttle.covers(offer)) {
      return false;
    }
    while (!passed.isEmpty() && passed.peekFirst().plus(WINDOW).compareTo(now) <= 0) {
      passed.removeFirst();
    }
    if (passed.size() >= Math.max(1, throttle.ratePerSecond())) {
      return true;
    }
    passed.addLast(now);
    return false;
  }
}
