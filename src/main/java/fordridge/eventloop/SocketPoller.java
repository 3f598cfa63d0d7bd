package fordridge.eventloop;

import io.netty.channel.IoHandlerContext;
import java.time.Duration;

/**
 * Reads the sockets of an event loop that are ready at this instant, from within one of its tasks:
 * for what must not be decided before it is known what has arrived. It also knows when the sockets
 * were looked at last. Confined to the event loop.
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

  /** Called by the handler of the event loop when it is made. */
  void attach(MonitoredIoHandler newHandler) {
    handler = newHandler;
  }

  /** The events of a pass are handled, which had looked which sockets are ready at that time. */
  void passCompleted(long polledNanos) {
    previousPollNanos = polledNanos;
  }

  /**
   * Reads each socket that is ready once, and returns how many were. Not to be called from within
   * what a socket's event has called.
   */
  public int readReady() {
    long startedNanos = System.nanoTime();
    int sockets = handler.readReady(NON_BLOCKING);
    passCompleted(startedNanos);
    return sockets;
  }

  /**
   * How long ago the sockets were looked at in the pass before this one: what is read now, from a
   * socket that was read to its end, has come since. Includes the time for which the loop was idle.
   */
  public Duration sincePreviousPoll() {
    return Duration.ofNanos(System.nanoTime() - previousPollNanos);
  }
}
