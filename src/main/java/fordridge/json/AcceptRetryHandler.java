package fordridge.json;

import fordridge.eventloop.EventLoopTimers;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.time.Duration;

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
  private long failureCount;

  AcceptRetryHandler(EventLoopTimers timers) {
    this.timers = timers;
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
