package fordridge.eventloop;

import io.netty.channel.IoHandle;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.IoRegistration;

/**
 * Passes every call on to another I/O handler, times its turns for a monitor, and lets it wait for
 * whole milliseconds only.
 *
 * <p>The selector can't wait for less than a millisecond: Netty polls it without a pause while the
 * next timer is due within half a millisecond. That uses up processor time which the loop lacks
 * later, for seconds where the time used is charged in one go. So a timer runs up to a millisecond
 * late instead.
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

  /** Handlers of {@code factory}, timed and polled; for a group of one event loop. */
  public static IoHandlerFactory newFactory(
      IoHandlerFactory factory, LoopTurnMonitor monitor, SocketPoller poller) {
    return executor -> {
      MonitoredIoHandler handler =
          new MonitoredIoHandler(factory.newHandler(executor), monitor, poller);
      poller.attach(handler);
      return handler;
    };
  }

  /** Reads the sockets that are ready within a turn that has waited for them before. */
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

  /** The delay rounded up to whole milliseconds; none, and one without end, stay as they are. */
  static long wholeMillis(long delayNanos) {
    if (delayNanos <= 0 || delayNanos > Long.MAX_VALUE - NANOS_PER_MILLI) {
      return delayNanos;
    }
    return (delayNanos + NANOS_PER_MILLI - 1) / NANOS_PER_MILLI * NANOS_PER_MILLI;
  }

  /** Asks the handler for the time that it spends on ready sockets, and rounds its waits. */
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
