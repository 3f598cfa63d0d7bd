package fordridge.json;

import fordridge.eventloop.EventLoopTimers;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.time.Duration;
import java.util.function.IntConsumer;

/**
 * Goes on accepting soon after the system could not accept a connection (out of descriptors or
 * buffers, a connection aborted in the queue). Without it the acceptor pauses for a second on each
 * error, and clients that are connected by the kernel wait for as long. The listening channel stays
 * readable meanwhile, so a short pause is needed, or the loop would spin. Confined to the event
 * loop.
 */
final class AcceptRetryHandler extends ChannelInboundHandlerAdapter {
  private static final Duration RETRY_DELAY = Duration.ofMillis(5);

  /** A failure so long after the one before begins a new row. */
  private static final Duration SERIES_GAP = Duration.ofMillis(200);

  private final EventLoopTimers timers;
  private final IntConsumer onCycleCompleted;
  private int accepted;
  private long failureCount;
  private boolean isPaused;
  private long lastFailureNanos;

  /** The first of a row of failures, of which each comes soon after the one before. */
  private long firstFailureNanos;

  /** The consumer gets how many connections each cycle of accepting brought. */
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
   * Whether connections may wait that the system has just refused to hand out; not after a row of
   * failures that is longer than {@code limit}.
   */
  boolean isRefused(Duration limit) {
    return isPaused && System.nanoTime() - firstFailureNanos < limit.toNanos();
  }

  /** How often the system could not accept a connection. */
  long failureCount() {
    return failureCount;
  }
}
