package fordridge.runtime;

import java.time.Duration;

/**
 * How long an ask may have waited to be read: the most that the loop was late within the last
 * while. An owner's time runs from when it asked, and the placer's from when it read; under load
 * the difference is the loop's own lateness, and answers must be early by as much. Free of clocks:
 * lateness comes in.
 */
public final class EventLoopLag {
  private final Duration remembers;
  private Duration now = Duration.ZERO;
  private Duration before = Duration.ZERO;
  private Duration since = Duration.ZERO;

  public EventLoopLag(Duration remembers) {
    this.remembers = remembers;
  }

  /** The loop was late by so much. */
  public void seen(Duration late, Duration at) {
    turn(at);
    if (late.compareTo(now) > 0) {
      now = late;
    }
  }

  /** What to take off an owner's time. */
  public Duration allowance(Duration at) {
    turn(at);
    return now.compareTo(before) > 0 ? now : before;
  }

  private void turn(Duration at) {
    if (at.minus(since).compareTo(remembers) >= 0) {
      before = at.minus(since).compareTo(remembers.multipliedBy(2)) >= 0 ? Duration.ZERO : now;
      now = Duration.ZERO;
      since = at;
    }
  }
}
