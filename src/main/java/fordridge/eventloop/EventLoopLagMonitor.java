package fordridge.eventloop;

import fordridge.model.Durations;
import fordridge.runtime.EventLoopLag;
import java.time.Duration;
import java.util.function.Supplier;

/**
 * Measures by how much an event loop runs its timers late, which delays the reading of sockets as
 * well. Confined to the event loop.
 */
public final class EventLoopLagMonitor {
  private static final Duration SAMPLE_INTERVAL = Duration.ofMillis(25);

  /** The time for which a measured lag counts. */
  private static final Duration WINDOW = Duration.ofSeconds(2);

  private final EventLoopTimers timers;
  private final Supplier<Duration> clock;
  private final EventLoopLag lag = new EventLoopLag(WINDOW);

  /** When the next sample is due, on the clock of {@link System#nanoTime}; 0 before the start. */
  private long sampleDueNanos;

  /** Creates a monitor; {@code clock} returns the time since the start. */
  public EventLoopLagMonitor(EventLoopTimers timers, Supplier<Duration> clock) {
    this.timers = timers;
    this.clock = clock;
  }

  /**
   * Starts measuring. To be called once, after the long inputs of the scheduler's start, which
   * would count as lag.
   */
  public void start() {
    sampleDueNanos = System.nanoTime() + SAMPLE_INTERVAL.toNanos();
    timers.runAfter(
        SAMPLE_INTERVAL,
        () -> {
          lag.record(sampleDelay(), clock.get());
          start();
        });
  }

  /**
   * Returns how long a message may have waited to be read: the longest lag of the last one to two
   * windows. A message that is read at the end of a long turn is handled before the sample that
   * shows the delay, so a sample that is overdue counts already.
   */
  public Duration maxReadDelay(Duration at) {
    return Durations.max(lag.maxRecentLag(at), sampleDelay());
  }

  /**
   * Same as {@link #maxReadDelay(Duration)}, for a caller that knows how long ago the sockets were
   * polled before this turn. The samples make an idle loop poll the sockets once every sample
   * interval, which is not lag.
   */
  public Duration maxReadDelay(Duration at, Duration sincePreviousPoll) {
    return Durations.max(maxReadDelay(at), sincePreviousPoll.minus(SAMPLE_INTERVAL));
  }

  private Duration sampleDelay() {
    long lateNanos = sampleDueNanos == 0 ? 0 : System.nanoTime() - sampleDueNanos;
    return Duration.ofNanos(Math.max(0, lateNanos));
  }
}
