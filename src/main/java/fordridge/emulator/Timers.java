package fordridge.emulator;

import java.time.Duration;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Schedules work of the emulated peers. Failures are logged, as no caller awaits the result. */
final class Timers {
  private static final Logger LOG = LoggerFactory.getLogger(Timers.class);

  private Timers() {}

  /** Creates an executor with one daemon thread. */
  static ScheduledExecutorService singleThread(String threadName) {
    return Executors.newSingleThreadScheduledExecutor(
        action -> {
          Thread thread = new Thread(action, threadName);
          thread.setDaemon(true);
          return thread;
        });
  }

  /** Runs an action once after a delay. */
  static void schedule(ScheduledExecutorService executor, Duration delay, Runnable action) {
    Future<?> unused =
        executor.schedule(
            loggingFailures(action), Math.max(0, delay.toNanos()), TimeUnit.NANOSECONDS);
  }

  /** Runs an action repeatedly, with a fixed pause before each run. */
  static void repeat(ScheduledExecutorService executor, Duration pause, Runnable action) {
    Future<?> unused =
        executor.scheduleWithFixedDelay(
            loggingFailures(action), pause.toNanos(), pause.toNanos(), TimeUnit.NANOSECONDS);
  }

  private static Runnable loggingFailures(Runnable action) {
    return () -> {
      try {
        action.run();
      } catch (RuntimeException e) {
        LOG.error("scheduled-work-failed", e);
        throw e;
      }
    };
  }
}
