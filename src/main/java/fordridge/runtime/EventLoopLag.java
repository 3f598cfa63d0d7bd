package fordridge.runtime;

import java.time.Duration;

/**
 * The longest lag of an event loop in the last one to two windows: how long a request may have
 * waited before it was read.
 *
 * <p>A client's deadline counts from when it sent its request, the scheduler's from when it read
 * the request. Under load they differ by the lag of the event loop, and responses have to be sent
 * earlier by that much. Reads no clock. Not thread-safe; confined to the event loop's thread.
 */
public final class EventLoopLag {
  private final Duration window;
  private Duration windowStart = Duration.ZERO;
  private Duration longestInWindow = Duration.ZERO;
  private Duration longestInPreviousWindow = Duration.ZERO;

  /** Creates a record in which each lag counts for at least {@code window}. */
  public EventLoopLag(Duration window) {
    this.window = window;
  }

  /** Records the lag of the event loop at this time. */
  public void record(Duration lag, Duration at) {
    rotate(at);
    if (lag.compareTo(longestInWindow) > 0) {
      longestInWindow = lag;
    }
  }

  /** Returns the time by which a client's deadline is to be shortened. */
  public Duration maxRecentLag(Duration at) {
    rotate(at);
    return longestInWindow.compareTo(longestInPreviousWindow) > 0
        ? longestInWindow
        : longestInPreviousWindow;
  }

  private void rotate(Duration at) {
    Duration age = at.minus(windowStart);
    if (age.compareTo(window) >= 0) {
      longestInPreviousWindow =
          age.compareTo(window.multipliedBy(2)) >= 0 ? Duration.ZERO : longestInWindow;
      longestInWindow = Duration.ZERO;
      windowStart = at;
    }
  }
}
