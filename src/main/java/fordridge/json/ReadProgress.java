package fordridge.json;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.RecvByteBufAllocator;

/**
 * Tracks whether a connection was read to the end of its input; has to be the first of a channel's
 * handlers. A read cycle makes at most {@link #MAX_READS_PER_CYCLE} reads and ends earlier only if
 * the socket had no more input, however little each read returned. Confined to the connection's
 * event loop.
 */
final class ReadProgress extends ChannelInboundHandlerAdapter {
  private static final int READ_BYTES = 4096;

  /** The reads from one connection before other connections get their turn. */
  private static final int MAX_READS_PER_CYCLE = 4;

  /** Receives the end of each read cycle. */
  interface Listener {
    /** A cycle has read that many bytes; whether it reached the end of the socket's input. */
    void cycleCompleted(int bytes, boolean isReadToEnd);
  }

  private final Listener listener;
  private int readsInCycle;
  private int bytesInCycle;

  ReadProgress(Listener listener) {
    this.listener = listener;
  }

  /** Returns the allocator of receive buffers for channels with this handler. */
  static RecvByteBufAllocator newAllocator() {
    FixedRecvByteBufAllocator allocator = new FixedRecvByteBufAllocator(READ_BYTES);
    allocator.maxMessagesPerRead(MAX_READS_PER_CYCLE);
    allocator.respectMaybeMoreData(false);
    return allocator;
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    if (message instanceof ByteBuf bytes) {
      readsInCycle++;
      bytesInCycle += bytes.readableBytes();
    }
    ctx.fireChannelRead(message);
  }

  @Override
  public void channelReadComplete(ChannelHandlerContext ctx) {
    boolean isReadToEnd = readsInCycle < MAX_READS_PER_CYCLE;
    int bytes = bytesInCycle;
    readsInCycle = 0;
    bytesInCycle = 0;
    listener.cycleCompleted(bytes, isReadToEnd);
    ctx.fireChannelReadComplete();
  }
}
