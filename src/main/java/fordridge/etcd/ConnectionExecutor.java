package fordridge.etcd;

import java.time.Duration;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Runs the tasks of an etcd client on one thread, and discards the tasks of closed connections.
 *
 * <p>Each task belongs to the {@link Scope} of a connection. {@link #newScope()} ends the previous
 * scope, so that late responses of a closed connection have no effect.
 */
final class ConnectionExecutor {
  private static final Logger LOG = LoggerFactory.getLogger(ConnectionExecutor.class);

  private final ScheduledThreadPoolExecutor executor;
  private final Consumer<RuntimeException> failureHandler;
  private Scope currentScope = new Scope();

  /**
   * Creates an executor with one daemon thread.
   *
   * @param failureHandler receives exceptions thrown by tasks of the current scope, on the thread
   *     of the executor
   */
  ConnectionExecutor(String threadName, Consumer<RuntimeException> failureHandler) {
    this.failureHandler = failureHandler;
    executor =
        new ScheduledThreadPoolExecutor(
            1, task -> newDaemonThread(task, threadName), new ThreadPoolExecutor.DiscardPolicy());
  }

  private static Thread newDaemonThread(Runnable task, String name) {
    Thread thread = new Thread(task, name);
    thread.setDaemon(true);
    return thread;
  }

  /** The tasks of one connection. */
  final class Scope {
    /** Runs a task unless the scope has ended by then. Thread-safe. */
    void execute(Runnable task) {
      if (!executor.isShutdown()) {
        executor.execute(() -> runIfCurrent(task));
      }
    }

    /** Runs a task after a delay, unless the scope has ended by then. */
    void schedule(Runnable task, Duration delay) {
      submitDelayed(() -> runIfCurrent(task), delay);
    }

    /** Whether no later scope has begun; called on the thread of the executor. */
    boolean isCurrent() {
      return this == currentScope;
    }

    private void runIfCurrent(Runnable task) {
      if (!isCurrent() || executor.isShutdown()) {
        return;
      }
      try {
        task.run();
      } catch (RuntimeException e) {
        LOG.error("etcd: unexpected error in a client task", e);
        failureHandler.accept(e);
      }
    }
  }

  /** Ends the current scope and begins a new one; called on the thread of the executor. */
  Scope newScope() {
    currentScope = new Scope();
    return currentScope;
  }

  /** Runs a task that belongs to no scope. Thread-safe. */
  void execute(Runnable task) {
    executor.execute(task);
  }

  /** Runs a task that belongs to no scope periodically until shutdown; it must not throw. */
  @SuppressWarnings("FutureReturnValueIgnored") // The task runs until shutdown.
  void executeRepeatedly(Runnable task, Duration delay) {
    executor.scheduleWithFixedDelay(task, delay.toNanos(), delay.toNanos(), TimeUnit.NANOSECONDS);
  }

  @SuppressWarnings(
      "FutureReturnValueIgnored") // runIfCurrent() checks the scope and logs failures.
  private void submitDelayed(Runnable task, Duration delay) {
    executor.schedule(task, delay.toNanos(), TimeUnit.NANOSECONDS);
  }

  boolean isShutdown() {
    return executor.isShutdown();
  }

  /** Stops the thread after the tasks that are already submitted without a delay. */
  void shutdown() {
    executor.shutdown();
  }
}
