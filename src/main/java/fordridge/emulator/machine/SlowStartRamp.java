package fordridge.emulator.machine;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;

/**
 * Tracks the warm-up of a machine after a restart: its speed, and the number of offers that
 * overload it. A machine that was never restarted has its full speed.
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

  /** The present speed as a share of the full speed. */
  double speedShare() {
    if (restartedAt.isEmpty()) {
      return 1;
    }
    Duration age = events.now().minus(restartedAt.get());
    double warmUpShare = (double) age.toNanos() / Math.max(1, slowStart.warmUp().toNanos());
    return Math.min(
        1, slowStart.initialSpeedShare() + (1 - slowStart.initialSpeedShare()) * warmUpShare);
  }

  /** Counts an offer, and returns false if it overloads the machine. */
  boolean addOffer() {
    if (!isWarmingUp()) {
      return true;
    }
    Duration now = events.now();
    recentOffers.addLast(now);
    while (recentOffers.peekFirst().plus(slowStart.overloadSpan()).compareTo(now) < 0) {
      recentOffers.removeFirst();
    }
    double overloadLimit =
        slowStart.overloadMultiple() * startsPerSecond() * slowStart.overloadSpan().toNanos() / 1e9;
    return recentOffers.size() <= Math.max(slowStart.minOffers(), overloadLimit);
  }

  private boolean isWarmingUp() {
    return restartedAt.isPresent()
        && events.now().minus(restartedAt.get()).compareTo(slowStart.warmUp()) < 0;
  }

  /** The number of starts per second at the present speed. */
  private double startsPerSecond() {
    double workSeconds = startUp.work().toNanos() / 1e9;
    return startUp.parallelStarts() * speedShare() * startUp.speed() / workSeconds;
  }
}
