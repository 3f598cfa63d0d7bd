package fordridge.etcd;

import java.time.Duration;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Runs the tasks of a client on one thread, and drops those that belong to a connection that was
 * given up.
 *
 * <p>Each task belongs to the {@link Scope} of a connection. {@link #newScope()} ends the scope
 * before, so that late responses of a former connection have no effect.
 */
final class ConnectionScheduler {
  private static final Logger LOG = LoggerFactory.getLogger(ConnectionScheduler.class);

  private final ScheduledThreadPoolExecutor thread;
  private final Consumer<RuntimeException> failureHandler;
  private Scope currentScope = new Scope();

  /**
   * Starts the thread.
   *
   * @param failureHandler gets what a task of the current scope throws, on the thread
   */
  ConnectionScheduler(String threadName, Consumer<RuntimeException> failureHandler) {
    this.failureHandler = failureHandler;
    thread =
        new ScheduledThreadPoolExecutor(
            1, task -> daemon(task, threadName), new ThreadPoolExecutor.DiscardPolicy());
  }

  private static Thread daemon(Runnable task, String name) {
    Thread thread = new Thread(task, name);
    thread.setDaemon(true);
    return thread;
  }

  /** The tasks of one connection. */
  final class Scope {
    /** Runs a task on the thread, unless the scope has ended by then. From any thread. */
    void execute(Runnable task) {
      if (!thread.isShutdown()) {
        thread.execute(() -> runIfCurrent(task));
      }
    }

    /** Runs a task on the thread after a delay, unless the scope has ended by then. */
    void schedule(Runnable task, Duration delay) {
      submitDelayed(() -> runIfCurrent(task), delay);
    }

    /** Whether no later scope has begun; on the thread. */
    boolean isCurrent() {
      return this == currentScope;
    }

    private void runIfCurrent(Runnable task) {
      if (!isCurrent() || thread.isShutdown()) {
        return;
      }
      try {
        task.run();
      } catch (RuntimeException e) {
        LOG.error("etcd: a task failed", e);
        failureHandler.accept(e);
      }
    }
  }

  /** Ends the current scope and begins the next; on the thread. */
  Scope newScope() {
    currentScope = new Scope();
    return currentScope;
  }

  /** Runs a task on the thread, whatever the scope. From any thread. */
  void execute(Runnable task) {
    thread.execute(task);
  }

  /** Runs a task on the thread again and again, whatever the scope; it must not throw. */
  @SuppressWarnings("FutureReturnValueIgnored") // It runs until the thread is shut down.
  void executeRepeatedly(Runnable task, Duration delay) {
    thread.scheduleWithFixedDelay(task, delay.toNanos(), delay.toNanos(), TimeUnit.NANOSECONDS);
  }

  @SuppressWarnings("FutureReturnValueIgnored") // The end of the scope cancels; nothing is thrown.
  private void submitDelayed(Runnable task, Duration delay) {
    thread.schedule(task, delay.toNanos(), TimeUnit.NANOSECONDS);
  }

  boolean isShutdown() {
    return thread.isShutdown();
  }

  /** Ends the thread once the tasks that were executed before are done. */
  void shutdown() {
    thread.shutdown();
  }
}
