package fordridge.runtime;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * Runs the inputs of a scheduler one at a time, in the order in which they come, and assigns each
 * its time.
 *
 * <p>An input that results from the one that is running is queued after it. The clock never goes
 * back and counts from the creation of the sequencer. Not thread-safe.
 */
public final class EventSequencer {
  private final LongSupplier nanoClock;
  private final Consumer<Duration> beforeInput;
  private final Consumer<Throwable> onFailure;
  private final long startNanos;
  private final Deque<Runnable> queue = new ArrayDeque<>();
  private boolean isRunning;
  private Runnable watchReader = () -> {};
  private Duration watchReadInterval = Duration.ZERO;
  private Duration watchReadAt = Duration.ZERO;
  private boolean isReadingWatch;

  /**
   * Creates a sequencer whose clock is {@code nanoClock}.
   *
   * @param beforeInput gets the time of each input before the input runs
   * @param onFailure gets what an input threw; the inputs queued after it still run
   */
  public EventSequencer(
      LongSupplier nanoClock, Consumer<Duration> beforeInput, Consumer<Throwable> onFailure) {
    this.nanoClock = nanoClock;
    this.beforeInput = beforeInput;
    this.onFailure = onFailure;
    startNanos = nanoClock.getAsLong();
  }

  /** The time since the creation of the sequencer. */
  public Duration clock() {
    return Duration.ofNanos(nanoClock.getAsLong() - startNanos);
  }

  /**
   * Runs {@code reader} before an input if it last ran at least {@code interval} ago, so that each
   * input is based on recent events of the watch however many inputs are waiting. The reader may
   * submit inputs.
   */
  public void setWatchReader(Runnable reader, Duration interval) {
    watchReader = reader;
    watchReadInterval = interval;
  }

  /** When the watch was last read to its end; during a read, the time of the read before it. */
  public Duration watchReadAt() {
    return watchReadAt;
  }

  /**
   * Runs an input and all inputs that result from it; returns false if the input was queued because
   * another one is running.
   */
  public boolean submit(Runnable input) {
    readWatchIfDue();
    return submitFromWatch(input);
  }

  /** Same as {@link #submit}, for an event of the watch: the watch is not read before it. */
  public boolean submitFromWatch(Runnable input) {
    queue.addLast(input);
    if (isRunning) {
      return false;
    }
    isRunning = true;
    for (Runnable next = queue.pollFirst(); next != null; next = queue.pollFirst()) {
      run(next);
    }
    isRunning = false;
    return true;
  }

  /**
   * Queues an input after the one that is running. If none is running, it runs with the next input
   * that is submitted.
   */
  public void enqueue(Runnable input) {
    queue.addLast(input);
  }

  private void run(Runnable input) {
    try {
      beforeInput.accept(clock());
      input.run();
    } catch (RuntimeException | Error e) {
      // The sequencer must not stay in the running state after an error: no input would run again.
      onFailure.accept(e);
    }
  }

  private void readWatchIfDue() {
    Duration at = clock();
    boolean isDue = at.minus(watchReadAt).compareTo(watchReadInterval) >= 0;
    if (isRunning || isReadingWatch || !isDue) {
      return;
    }
    isReadingWatch = true;
    try {
      watchReader.run();
    } finally {
      isReadingWatch = false;
    }
    watchReadAt = at;
  }
}
