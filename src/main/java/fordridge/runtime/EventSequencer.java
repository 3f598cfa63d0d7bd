package fordridge.runtime;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * The order in which a feeder's inputs are entered, and their clock: one after another as they were
 * met, each at the time of a clock that only goes forward; what follows from one is entered behind
 * it. For one thread.
 */
public final class EventSequencer {
  private final LongSupplier nanos;
  private final Consumer<Duration> before;
  private final Consumer<RuntimeException> failed;
  private final long startedNanos;
  private final Deque<Runnable> waiting = new ArrayDeque<>();
  private boolean inside;
  private Runnable readWatch = () -> {};
  private Duration watchEvery = Duration.ZERO;
  private Duration watchReadAt = Duration.ZERO;
  private boolean readingWatch;

  /**
   * {@code before} hears the time of each input; {@code failed} of one that threw, and those behind
   * it go on.
   */
  public EventSequencer(
      LongSupplier nanos, Consumer<Duration> before, Consumer<RuntimeException> failed) {
    this.nanos = nanos;
    this.before = before;
    this.failed = failed;
    startedNanos = nanos.getAsLong();
  }

  public Duration clock() {
    return Duration.ofNanos(nanos.getAsLong() - startedNanos);
  }

  /**
   * Before an input, {@code read} is run if it was last run {@code every} ago or longer: what the
   * watch has to say is known to whatever begins then, however many inputs wait. What it reads may
   * be entered from within.
   */
  public void watch(Runnable read, Duration every) {
    readWatch = read;
    watchEvery = every;
  }

  /** When the watch was last read to its end; while it is read, when it was read before that. */
  public Duration watchReadAt() {
    return watchReadAt;
  }

  private void readWatchIfDue() {
    Duration at = clock();
    if (inside || readingWatch || at.minus(watchReadAt).compareTo(watchEvery) < 0) {
      return;
    }
    readingWatch = true;
    try {
      readWatch.run();
    } finally {
      readingWatch = false;
    }
    watchReadAt = at;
  }

  /**
   * Enters one and all that follows from it; false if it stands behind one that is being entered.
   */
  public boolean enter(Runnable input) {
    readWatchIfDue();
    return enterFromWatch(input);
  }

  /**
   * Enters what the watch itself says, whoever reads it, as {@link #enter} does: the watch is not
   * read for it.
   */
  public boolean enterFromWatch(Runnable input) {
    waiting.addLast(input);
    if (inside) {
      return false;
    }
    inside = true;
    for (Runnable next = waiting.pollFirst(); next != null; next = waiting.pollFirst()) {
      try {
        before.accept(clock());
        next.run();
      } catch (RuntimeException e) {
        failed.accept(e);
      }
    }
    inside = false;
    return true;
  }

  /** To be entered behind the one that is being entered. */
  public void behind(Runnable input) {
    waiting.addLast(input);
  }
}
