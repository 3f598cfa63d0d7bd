package fordridge.eventloop;

import io.netty.channel.IoHandle;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.IoRegistration;

/**
 * Delegates every call to another I/O handler, times the loop's turns for a monitor, and rounds the
 * loop's waits up to whole milliseconds.
 *
 * <p>The selector can't wait for less than a millisecond: Netty polls it continuously while the
 * next timer is due within half a millisecond. That uses processor time which the loop lacks later:
 * for seconds on a platform that charges the time used in one go. With the rounding a timer may run
 * up to a millisecond late instead.
 */
public final class MonitoredIoHandler implements IoHandler {
  private static final long NANOS_PER_MILLI = 1_000_000;

  private final IoHandler handler;
  private final LoopTurnMonitor monitor;
  private final SocketPoller poller;
  private long activeIoNanos;

  private MonitoredIoHandler(IoHandler handler, LoopTurnMonitor monitor, SocketPoller poller) {
    this.handler = handler;
    this.monitor = monitor;
    this.poller = poller;
  }

  /**
   * Returns a factory that wraps the handlers of {@code factory}; for a group of one event loop.
   */
  public static IoHandlerFactory newFactory(
      IoHandlerFactory factory, LoopTurnMonitor monitor, SocketPoller poller) {
    return executor -> {
      MonitoredIoHandler handler =
          new MonitoredIoHandler(factory.newHandler(executor), monitor, poller);
      poller.attach(handler);
      return handler;
    };
  }

  /**
   * Reads the ready sockets from within a turn, in addition to the read at the turn's beginning.
   */
  int readReady(IoHandlerContext nonBlocking) {
    return handler.run(nonBlocking);
  }

  @Override
  public int run(IoHandlerContext context) {
    monitor.waitStarted(System.nanoTime());
    activeIoNanos = 0;
    int readySockets = handler.run(new TimedContext(context));
    long nowNanos = System.nanoTime();
    poller.passCompleted(nowNanos - activeIoNanos);
    monitor.ioCompleted(readySockets, activeIoNanos, nowNanos);
    return readySockets;
  }

  /**
   * Returns the delay rounded up to whole milliseconds. A delay that is not positive, and the one
   * that means no limit, stay as they are.
   */
  static long wholeMillis(long delayNanos) {
    if (delayNanos <= 0 || delayNanos > Long.MAX_VALUE - NANOS_PER_MILLI) {
      return delayNanos;
    }
    return (delayNanos + NANOS_PER_MILLI - 1) / NANOS_PER_MILLI * NANOS_PER_MILLI;
  }

  /** Makes the handler report the time that it spends on ready sockets, and rounds its waits. */
  private final class TimedContext implements IoHandlerContext {
    private final IoHandlerContext context;

    TimedContext(IoHandlerContext context) {
      this.context = context;
    }

    @Override
    public boolean canBlock() {
      return context.canBlock();
    }

    @Override
    public long delayNanos(long currentTimeNanos) {
      return wholeMillis(context.delayNanos(currentTimeNanos));
    }

    @Override
    public long deadlineNanos() {
      return context.deadlineNanos();
    }

    @Override
    public boolean shouldReportActiveIoTime() {
      return true;
    }

    @Override
    public void reportActiveIoTime(long nanos) {
      activeIoNanos += nanos;
      context.reportActiveIoTime(nanos);
    }
  }

  @Override
  public void initialize() {
    handler.initialize();
  }

  @Override
  public void prepareToDestroy() {
    handler.prepareToDestroy();
  }

  @Override
  public void destroy() {
    handler.destroy();
  }

  @Override
  public IoRegistration register(IoHandle handle) throws Exception {
    return handler.register(handle);
  }

  @Override
  public void wakeup() {
    handler.wakeup();
  }

  @Override
  public boolean isCompatible(Class<? extends IoHandle> handleType) {
    return handler.isCompatible(handleType);
  }
}
