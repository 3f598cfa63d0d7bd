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

  private final EventLoopTimers timers;
  private final IntConsumer onCycleCompleted;
  private int accepted;
  private long failureCount;

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
    if (ctx.channel().config().isAutoRead()) {
      ctx.channel().config().setAutoRead(false);
      timers.runAfter(RETRY_DELAY, () -> ctx.channel().config().setAutoRead(true));
    }
  }

  /** How often the system could not accept a connection. */
  long failureCount() {
    return failureCount;
  }
}
