package fordridge.emulator.machine;

import java.time.Duration;
import java.util.Comparator;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.function.BooleanSupplier;

/**
 * A machine's virtual time and what is due in it. Events that fall due at the same time run in the
 * order in which they were scheduled. Not thread-safe.
 */
final class EventQueue {
  private record Event(Duration at, long order, Runnable action) {}

  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparing(Event::at).thenComparing(Event::order));
  private long nextOrder;
  private Duration now = Duration.ZERO;
  private boolean isHalted;

  Duration now() {
    return now;
  }

  void schedule(Duration at, Runnable action) {
    events.add(new Event(at, nextOrder++, action));
  }

  Optional<Duration> nextAt() {
    return events.isEmpty() ? Optional.empty() : Optional.of(events.peek().at());
  }

  /** Runs what is due until then. While it is paused nothing runs; it is made up for later. */
  void advanceTo(Duration to, BooleanSupplier isPaused) {
    while (!isPaused.getAsBoolean() && !events.isEmpty() && events.peek().at().compareTo(to) <= 0) {
      Event event = events.poll();
      now = later(now, event.at());
      if (!isHalted) {
        event.action().run();
      }
    }
    now = later(now, to);
  }

  /** What falls due is dropped from now on, until {@link #restart}. */
  void halt() {
    isHalted = true;
  }

  boolean isHalted() {
    return isHalted;
  }

  /** Forgets what is due and goes on from this time, if it isn't past. */
  void restart(Duration at) {
    events.clear();
    isHalted = false;
    now = later(now, at);
  }

  private static Duration later(Duration first, Duration second) {
    return second.compareTo(first) > 0 ? second : first;
  }

  static Duration scaled(Duration duration, double factor) {
    return Duration.ofNanos((long) (duration.toNanos() * factor));
  }
}
