package fordridge.emulator.machine;

import java.time.Duration;
import java.util.Comparator;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.function.BooleanSupplier;

/**
 * A machine's clock and scheduled events, in virtual time. Events that are due at the same time run
 * in the order in which they were scheduled. Not thread-safe.
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

  /**
   * Advances the time and runs the events that fall due. While the machine is paused the time
   * advances but no event runs; overdue events run on the first call after the pause.
   */
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

  /** Discards all events that fall due until the next {@link #restart}. */
  void halt() {
    isHalted = true;
  }

  boolean isHalted() {
    return isHalted;
  }

  /**
   * Discards all scheduled events and resumes at the given time, or at the present time if that is
   * later.
   */
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
