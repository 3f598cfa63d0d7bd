package fordridge.eventloop;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Runs tasks later on one event loop. A task that fails is reported, and a periodic one goes on: a
 * bare scheduled future would keep the exception to itself and stop the timer.
 */
public final class EventLoopTimers {
  private final EventLoop loop;
  private final Consumer<Throwable> failureHandler;

  /** Creates timers for this loop; the handler gets what a task throws. */
  public EventLoopTimers(EventLoop loop, Consumer<Throwable> failureHandler) {
    this.loop = loop;
    this.failureHandler = failureHandler;
  }

  /**
   * Runs the task once, behind what the loop has to read by then, even if the delay is zero; a
   * negative delay counts as none.
   */
  @SuppressWarnings("FutureReturnValueIgnored") // Failures are reported, and nothing is cancelled.
  public void runAfter(Duration delay, Runnable task) {
    long nanos = Math.max(0, delay.toNanos());
    loop.schedule(() -> runAndReportFailure(task), nanos, TimeUnit.NANOSECONDS);
  }

  /** Runs the task again and again, the first time after one interval. */
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
