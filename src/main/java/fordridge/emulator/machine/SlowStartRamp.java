package fordridge.emulator.machine;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;

/**
 * The speed of a machine after a restart, and how many offers it withstands while it warms up. A
 * machine that was never restarted is warm.
 */
final class SlowStartRamp {
  private final MachineSpec.SlowStart slowStart;
  private final MachineSpec.StartUp startUp;
  private final EventQueue events;
  private final Deque<Duration> recentOffers = new ArrayDeque<>();
  private Optional<Duration> restartedAt = Optional.empty();

  SlowStartRamp(MachineSpec spec, EventQueue events) {
    slowStart = spec.slowStart();
    startUp = spec.startUp();
    this.events = events;
  }

  void restarted() {
    restartedAt = Optional.of(events.now());
    recentOffers.clear();
  }

  /** The share of its full speed that the machine has now. */
  double pace() {
    if (restartedAt.isEmpty()) {
      return 1;
    }
    Duration age = events.now().minus(restartedAt.get());
    double share = (double) age.toNanos() / Math.max(1, slowStart.warmUp().toNanos());
    return Math.min(1, slowStart.initialPace() + (1 - slowStart.initialPace()) * share);
  }

  /** Counts an offer; false if it is one too many. */
  boolean withstandsOffer() {
    if (!isWarmingUp()) {
      return true;
    }
    Duration now = events.now();
    recentOffers.addLast(now);
    while (recentOffers.peekFirst().plus(slowStart.overloadSpan()).compareTo(now) < 0) {
      recentOffers.removeFirst();
    }
    double startsInSpan =
        slowStart.overloadMultiple() * startsPerSecond() * slowStart.overloadSpan().toNanos() / 1e9;
    return recentOffers.size() <= Math.max(slowStart.minOffers(), startsInSpan);
  }

  private boolean isWarmingUp() {
    return restartedAt.isPresent()
        && events.now().minus(restartedAt.get()).compareTo(slowStart.warmUp()) < 0;
  }

  /** Starts a second at the present speed. */
  private double startsPerSecond() {
    double workSeconds = startUp.work().toNanos() / 1e9;
    return startUp.parallelStarts() * pace() * startUp.speed() / workSeconds;
  }
}
