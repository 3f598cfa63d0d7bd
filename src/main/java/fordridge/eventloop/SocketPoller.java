package fordridge.eventloop;

import io.netty.channel.IoHandlerContext;

/**
 * Reads the sockets of an event loop that are ready at this instant, from within one of its tasks:
 * for what must not be decided before it is known what has arrived. Confined to the event loop.
 */
public final class SocketPoller {
  private MonitoredIoHandler handler;

  /** Called by the handler of the event loop when it is made. */
  void attach(MonitoredIoHandler newHandler) {
    handler = newHandler;
  }

  /**
   * Reads each socket that is ready once, and returns how many were. Not to be called from within
   * what a socket's event has called.
   */
  public int readReady() {
    return handler.readReady(NON_BLOCKING);
  }

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
}
