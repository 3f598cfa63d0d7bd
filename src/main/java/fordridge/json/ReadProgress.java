package fordridge.json;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.RecvByteBufAllocator;
import java.util.function.Consumer;

/**
 * Tells whether a connection was read to its end: first of a channel's handlers. A read cycle makes
 * some reads of a few KiB and ends early only where the socket had no more, however short the reads
 * were. Confined to the connection's event loop.
 */
final class ReadProgress extends ChannelInboundHandlerAdapter {
  private static final int READ_BYTES = 4096;

  /** So much of one connection is read before the others have their turn. */
  private static final int MAX_READS_PER_CYCLE = 4;

  private final Consumer<Boolean> onCycleCompleted;
  private int readsInCycle;

  /** The consumer gets, after each cycle, whether the socket was read to its end. */
  ReadProgress(Consumer<Boolean> onCycleCompleted) {
    this.onCycleCompleted = onCycleCompleted;
  }

  /** The buffers for channels with this handler. */
  static RecvByteBufAllocator newAllocator() {
    FixedRecvByteBufAllocator allocator = new FixedRecvByteBufAllocator(READ_BYTES);
    allocator.maxMessagesPerRead(MAX_READS_PER_CYCLE);
    allocator.respectMaybeMoreData(false);
    return allocator;
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    if (message instanceof ByteBuf) {
      readsInCycle++;
    }
    ctx.fireChannelRead(message);
  }

  @Override
  public void channelReadComplete(ChannelHandlerContext ctx) {
    boolean isReadToEnd = readsInCycle < MAX_READS_PER_CYCLE;
    readsInCycle = 0;
    onCycleCompleted.accept(isReadToEnd);
    ctx.fireChannelReadComplete();
  }
}
