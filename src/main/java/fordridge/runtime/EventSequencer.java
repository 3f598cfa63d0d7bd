package fordridge.runtime;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * Runs the inputs of a scheduler one after another in the order in which they come, and gives each
 * its time.
 *
 * <p>What follows from an input is queued behind it. The clock only goes forward and counts from
 * the making of the sequencer. For one thread.
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
   * A sequencer whose clock is {@code nanoClock}.
   *
   * @param beforeInput gets the time of each input before it runs
   * @param onFailure gets what an input threw; the inputs behind it run all the same
   */
  public EventSequencer(
      LongSupplier nanoClock, Consumer<Duration> beforeInput, Consumer<Throwable> onFailure) {
    this.nanoClock = nanoClock;
    this.beforeInput = beforeInput;
    this.onFailure = onFailure;
    startNanos = nanoClock.getAsLong();
  }

  /** The time since the start. */
  public Duration clock() {
    return Duration.ofNanos(nanoClock.getAsLong() - startNanos);
  }

  /**
   * Lets {@code reader} run before an input if it last ran that interval ago or longer: the events
   * of the watch are known to each input, however many inputs wait. The reader may enter inputs.
   */
  public void watch(Runnable reader, Duration interval) {
    watchReader = reader;
    watchReadInterval = interval;
  }

  /** When the watch was last read to its end; while it is read, when it was read before that. */
  public Duration watchReadAt() {
    return watchReadAt;
  }

  /**
   * Runs an input and all that follows from it; false if it was queued, as another input is
   * running.
   */
  public boolean enter(Runnable input) {
    readWatchIfDue();
    return enterFromWatch(input);
  }

  /** As {@link #enter}, for an event of the watch itself: the watch is not read for it. */
  public boolean enterFromWatch(Runnable input) {
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

  /** Queues an input behind the one that is running; it runs with the next that is entered. */
  public void behind(Runnable input) {
    queue.addLast(input);
  }

  private void run(Runnable input) {
    try {
      beforeInput.accept(clock());
      input.run();
    } catch (RuntimeException | Error e) {
      // An error must not leave the sequencer as running: no input would ever run again.
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
