package fordridge.json;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.LineBasedFrameDecoder;
import io.netty.handler.codec.TooLongFrameException;

/**
 * Splits the input of one connection into lines. An incomplete line is kept in a heap buffer of
 * about its size, and its bytes are reported to {@link InputMemory}: the receive buffers are
 * direct, and direct memory is scarcer than the heap; an allocation that has to wait for it blocks
 * the event loop.
 */
final class LineDecoder extends LineBasedFrameDecoder {
  /** Buffers grow in steps of this size, so that short reads are not copied each time. */
  private static final int GROWTH_BYTES = 1024;

  private final InputMemory memory;

  /** Set once input was read. */
  private ChannelHandlerContext context;

  /** Whether a line was completed in the current read cycle. */
  private boolean hasCompletedLine;

  LineDecoder(int maxLineBytes, InputMemory memory) {
    super(maxLineBytes, true, true);
    this.memory = memory;
    setCumulator(LineDecoder::appendOnHeap);
  }

  /** Copies the received bytes behind the retained ones; takes over both buffers. */
  private static ByteBuf appendOnHeap(ByteBufAllocator alloc, ByteBuf retained, ByteBuf received) {
    if (received.readableBytes() <= retained.maxFastWritableBytes() && retained.refCnt() == 1) {
      retained.writeBytes(received);
      received.release();
      return retained;
    }
    int joinedBytes = retained.readableBytes() + received.readableBytes();
    ByteBuf joined = alloc.heapBuffer(roundUp(joinedBytes));
    joined.writeBytes(retained).writeBytes(received);
    retained.release();
    received.release();
    return joined;
  }

  private static int roundUp(int bytes) {
    return (bytes + GROWTH_BYTES - 1) / GROWTH_BYTES * GROWTH_BYTES;
  }

  @Override
  protected Object decode(ChannelHandlerContext ctx, ByteBuf buffer) throws Exception {
    Object line = super.decode(ctx, buffer);
    hasCompletedLine |= line != null;
    return line;
  }

  @Override
  public void channelReadComplete(ChannelHandlerContext ctx) throws Exception {
    context = ctx;
    super.channelReadComplete(ctx);
    if (!ctx.isRemoved()) {
      int bytes = actualReadableBytes() == 0 ? 0 : internalBuffer().capacity();
      memory.update(this, bytes, hasCompletedLine);
      hasCompletedLine = false;
    }
  }

  @Override
  protected void handlerRemoved0(ChannelHandlerContext ctx) {
    memory.remove(this);
  }

  /** Reports the incomplete line as too long and drops it, with all further input. */
  void rejectLine() {
    context.fireExceptionCaught(
        new TooLongFrameException("incomplete line, and the memory for input is used up"));
    if (!context.isRemoved()) {
      context.pipeline().remove(this);
    }
  }
}
