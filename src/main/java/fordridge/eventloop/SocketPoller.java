package fordridge.eventloop;

import io.netty.channel.IoHandlerContext;
import java.time.Duration;

/**
 * Reads an event loop's ready sockets from within one of the loop's tasks, for decisions that have
 * to take into account everything that has arrived. Also records when the sockets were last polled.
 * Confined to the event loop.
 */
public final class SocketPoller {
  private static final IoHandlerContext NON_BLOCKING =
      new IoHandlerContext() {
        @Override
        public boolean canBlock() {
          return false;
        }

        @Override
        public long delayNanos(long currentTimeNanos) {
          return 0;
        }

        @Override
        public long deadlineNanos() {
          return 0;
        }
      };

  private MonitoredIoHandler handler;
  private long previousPollNanos = System.nanoTime();

  /** Called when the event loop's handler is created. */
  void attach(MonitoredIoHandler newHandler) {
    handler = newHandler;
  }

  /**
   * Called after the events of a pass were handled; {@code polledNanos} is when the pass polled the
   * sockets.
   */
  void passCompleted(long polledNanos) {
    previousPollNanos = polledNanos;
  }

  /**
   * Reads each ready socket once, and returns the number of ready sockets. Must not be called from
   * the handler of a socket's event.
   */
  public int readReady() {
    long startedNanos = System.nanoTime();
    int sockets = handler.readReady(NON_BLOCKING);
    passCompleted(startedNanos);
    return sockets;
  }

  /**
   * Returns how long ago the pass before this one polled the sockets: what is read now from a
   * socket that was read to its end has arrived since then. Includes the time for which the loop
   * was idle.
   */
  public Duration sincePreviousPoll() {
    return Duration.ofNanos(System.nanoTime() - previousPollNanos);
  }
}
