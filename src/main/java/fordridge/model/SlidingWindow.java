package fordridge.model;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;

/** Counts the events of the latest span of time. */
public final class SlidingWindow {
  private final Deque<Duration> times = new ArrayDeque<>();

  /** Adds an event; events have to be added in order of time. */
  public void add(Duration time) {
    times.addLast(time);
  }

  /** Removes one event of the given time, if there is one. */
  public void remove(Duration time) {
    times.removeFirstOccurrence(time);
  }

  /** The number of events less than a span ago; older ones are removed. */
  public int count(Duration now, Duration span) {
    while (!times.isEmpty() && times.peekFirst().plus(span).compareTo(now) <= 0) {
      times.removeFirst();
    }
    return times.size();
  }
}
