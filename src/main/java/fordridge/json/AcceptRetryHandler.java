package fordridge.json;

import fordridge.eventloop.EventLoopTimers;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.time.Duration;
import java.util.function.IntConsumer;

/**
 * Resumes accepting shortly after the system failed to accept a connection (out of descriptors or
 * buffers, or a connection aborted in the queue). Without this handler Netty's acceptor pauses for
 * a second after each error, and clients whose connections the kernel has established wait as long.
 * The listening channel stays readable meanwhile, so a short pause is needed, or the event loop
 * would spin. Confined to the event loop.
 */
final class AcceptRetryHandler extends ChannelInboundHandlerAdapter {
  private static final Duration RETRY_DELAY = Duration.ofMillis(5);

  /** A failure that comes this long after the previous one starts a new series. */
  private static final Duration SERIES_GAP = Duration.ofMillis(200);

  private final EventLoopTimers timers;
  private final IntConsumer onCycleCompleted;
  private int accepted;
  private long failureCount;
  private boolean isPaused;
  private long lastFailureNanos;

  /**
   * The first failure of the current series, in which each failure comes soon after the one before.
   */
  private long firstFailureNanos;

  /**
   * Creates a handler; {@code onCycleCompleted} gets the number of connections accepted in each
   * read cycle.
   */
  AcceptRetryHandler(EventLoopTimers timers, IntConsumer onCycleCompleted) {
    this.timers = timers;
    this.onCycleCompleted = onCycleCompleted;
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object connection) {
    accepted++;
    ctx.fireChannelRead(connection);
  }

  @Override
  public void channelReadComplete(ChannelHandlerContext ctx) {
    onCycleCompleted.accept(accepted);
    accepted = 0;
    ctx.fireChannelReadComplete();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    failureCount++;
    recordFailure(System.nanoTime());
    if (!isPaused) {
      isPaused = true;
      ctx.channel().config().setAutoRead(false);
      timers.runAfter(RETRY_DELAY, () -> resume(ctx));
    }
  }

  private void recordFailure(long nowNanos) {
    if (failureCount == 1 || nowNanos - lastFailureNanos > SERIES_GAP.toNanos()) {
      firstFailureNanos = nowNanos;
    }
    lastFailureNanos = nowNanos;
  }

  private void resume(ChannelHandlerContext ctx) {
    isPaused = false;
    ctx.channel().config().setAutoRead(true);
  }

  /**
   * Whether connections may be waiting that the system has just failed to accept; false once the
   * series of failures has lasted for {@code limit}.
   */
  boolean isRefused(Duration limit) {
    return isPaused && System.nanoTime() - firstFailureNanos < limit.toNanos();
  }

  /** The number of times that the system failed to accept a connection. */
  long failureCount() {
    return failureCount;
  }
}
