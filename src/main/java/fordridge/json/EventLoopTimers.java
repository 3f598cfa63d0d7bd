package fordridge.json;

import io.netty.channel.EventLoop;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Runs tasks later on one event loop. A task that fails is logged with its stack, and a periodic
 * one goes on: a bare scheduled future would keep the exception to itself and stop the timer.
 */
public final class EventLoopTimers {
  private final EventLoop loop;
  private final Consumer<String> log;

  /** Creates timers for this loop that log failures. */
  public EventLoopTimers(EventLoop loop, Consumer<String> log) {
    this.loop = loop;
    this.log = log;
  }

  /** Runs the task once, behind what the loop has to read by then, even if the delay is zero. */
  @SuppressWarnings("FutureReturnValueIgnored") // Failures are logged, and nothing is cancelled.
  public void runAfter(Duration delay, Runnable task) {
    long nanos = Math.max(0, delay.toNanos());
    loop.schedule(() -> runAndLogFailure(task), nanos, TimeUnit.NANOSECONDS);
  }

  /** Runs the task again and again, the first time after one interval. */
  @SuppressWarnings("FutureReturnValueIgnored") // Failures are logged, and nothing is cancelled.
  public void runEvery(Duration interval, Runnable task) {
    long nanos = interval.toNanos();
    loop.scheduleAtFixedRate(() -> runAndLogFailure(task), nanos, nanos, TimeUnit.NANOSECONDS);
  }

  private void runAndLogFailure(Runnable task) {
    try {
      task.run();
    } catch (RuntimeException | Error e) {
      log.accept("event loop task failed: " + stackTrace(e));
    }
  }

  /** The exception and its stack as text. */
  public static String stackTrace(Throwable thrown) {
    StringWriter text = new StringWriter();
    thrown.printStackTrace(new PrintWriter(text, true));
    return text.toString();
  }
}
