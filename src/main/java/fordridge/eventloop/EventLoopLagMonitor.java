package fordridge.eventloop;

import fordridge.model.Durations;
import fordridge.runtime.EventLoopLag;
import java.time.Duration;
import java.util.function.Supplier;

/**
 * Measures how late an event loop runs its timers, and with them whatever waits to be read.
 * Confined to the event loop.
 */
public final class EventLoopLagMonitor {
  private static final Duration SAMPLE_INTERVAL = Duration.ofMillis(25);

  /** How long a measured lag counts. */
  private static final Duration WINDOW = Duration.ofSeconds(2);

  private final EventLoopTimers timers;
  private final Supplier<Duration> clock;
  private final EventLoopLag lag = new EventLoopLag(WINDOW);

  /** When the next sample is due; 0 before the start. */
  private long sampleDueNanos;

  /** Creates a monitor; the clock gives the time since the start. */
  public EventLoopLagMonitor(EventLoopTimers timers, Supplier<Duration> clock) {
    this.timers = timers;
    this.clock = clock;
  }

  /**
   * Measures from now on; to be called once, behind the long inputs of the start, which would count
   * as lag.
   */
  public void start() {
    sampleDueNanos = System.nanoTime() + SAMPLE_INTERVAL.toNanos();
    timers.runAfter(
        SAMPLE_INTERVAL,
        () -> {
          lag.seen(sampleDelay(), clock.get());
          start();
        });
  }

  /**
   * How long a message may have waited to be read: the longest lag of the last window or two. What
   * is read at the end of a long turn comes before the sample that would tell of it: so a sample
   * that is overdue counts already.
   */
  public Duration allowance(Duration at) {
    return Durations.max(lag.allowance(at), sampleDelay());
  }

  /**
   * As {@link #allowance(Duration)}, where it is known how long ago the sockets were looked at
   * before. While a loop is idle, its samples let it look at them once an interval.
   */
  public Duration allowance(Duration at, Duration sincePreviousPoll) {
    return Durations.max(allowance(at), sincePreviousPoll.minus(SAMPLE_INTERVAL));
  }

  private Duration sampleDelay() {
    long lateNanos = sampleDueNanos == 0 ? 0 : System.nanoTime() - sampleDueNanos;
    return Duration.ofNanos(Math.max(0, lateNanos));
  }
}
