package fordridge.runtime;

import java.time.Duration;

/**
 * The longest lag of an event loop over the last one to two windows: how long a request may have
 * waited to be read.
 *
 * <p>A client's deadline runs from when it sent its request, the scheduler's from when that was
 * read; under load the difference is the lag of the loop, and responses must come earlier by as
 * much. Belongs to the loop's thread; it reads no clock.
 */
public final class EventLoopLag {
  private final Duration window;
  private Duration windowStart = Duration.ZERO;
  private Duration longestInWindow = Duration.ZERO;
  private Duration longestInPreviousWindow = Duration.ZERO;

  /** Remembers lags for at least that window. */
  public EventLoopLag(Duration window) {
    this.window = window;
  }

  /** The loop lagged by so much at that time. */
  public void seen(Duration lag, Duration at) {
    rotate(at);
    if (lag.compareTo(longestInWindow) > 0) {
      longestInWindow = lag;
    }
  }

  /** What to take off a client's time. */
  public Duration allowance(Duration at) {
    rotate(at);
    return longestInWindow.compareTo(longestInPreviousWindow) > 0 ? longestInWindow : longestInPreviousWindow;
  }

  private void rotate(Duration at) {
    Duration age = at.minus(windowStart);
    if (age.compareTo(window) >= 0) {
      longestInPreviousWindow = age.compareTo(window.multipliedBy(2)) >= 0 ? Duration.ZERO : longestInWindow;
      longestInWindow = Duration.ZERO;
      windowStart = at;
    }
  }
}
