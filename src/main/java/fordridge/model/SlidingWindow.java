package fordridge.model;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;

/** Counts events of the last span. */
public final class SlidingWindow {
  private final Deque<Duration> times = new ArrayDeque<>();

  /** Adds an event; times must not go back. */
  public void add(Duration time) {
    times.addLast(time);
  }

  /** Removes one event of that time, if there is one. */
  public void remove(Duration time) {
    times.removeFirstOccurrence(time);
  }

  /** How many events lie less than a span back; older ones are forgotten. */
  public int count(Duration now, Duration span) {
    while (!times.isEmpty() && times.peekFirst().plus(span).compareTo(now) <= 0) {
      times.removeFirst();
    }
    return times.size();
  }
}
