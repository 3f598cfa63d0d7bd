package fordridge.eventloop;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Runs delayed and periodic tasks on one event loop. A task's failure is reported, and a periodic
 * task continues after it: a plain scheduled future would keep the exception and stop the timer.
 */
public final class EventLoopTimers {
  /** A task that is to run once after a delay. */
  public interface Timer {
    /**
     * Drops the task, with all that it refers to, unless it has run; to be called on the event
     * loop.
     */
    void cancel();
  }

  private final EventLoop loop;
  private final Consumer<Throwable> failureHandler;

  /** Creates timers for this event loop; the handler gets what a task throws. */
  public EventLoopTimers(EventLoop loop, Consumer<Throwable> failureHandler) {
    this.loop = loop;
    this.failureHandler = failureHandler;
  }

  /**
   * Runs the task once after the delay. Even if the delay is zero, the loop reads the input that is
   * available by then before it runs the task. A negative delay counts as zero.
   *
   * @return the timer, which keeps the task until it has run or is cancelled
   */
  public Timer runAfter(Duration delay, Runnable task) {
    long nanos = Math.max(0, delay.toNanos());
    Future<?> scheduled =
        loop.schedule(() -> runAndReportFailure(task), nanos, TimeUnit.NANOSECONDS);
    return () -> scheduled.cancel(false);
  }

  /** Runs the task periodically, the first time after one interval. */
  @SuppressWarnings("FutureReturnValueIgnored") // Failures are reported, and nothing is cancelled.
  public void runEvery(Duration interval, Runnable task) {
    long nanos = interval.toNanos();
    loop.scheduleAtFixedRate(() -> runAndReportFailure(task), nanos, nanos, TimeUnit.NANOSECONDS);
  }

  private void runAndReportFailure(Runnable task) {
    try {
      task.run();
    } catch (RuntimeException | Error e) {
      failureHandler.accept(e);
    }
  }
}
