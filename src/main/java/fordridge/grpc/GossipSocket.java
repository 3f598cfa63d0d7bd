package fordridge.grpc;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.function.Consumer;

/**
 * Notes between placers, each a datagram: late, lost or doubled ones do no harm, and a placer that
 * is down holds nobody up. Only what comes from a placer that the settings name is read, and
 * nothing longer than a note may be.
 */
public final class GossipSocket implements AutoCloseable {
  private static final int MOST = 256;

  private final Channel channel;
  private final List<InetSocketAddress> others;

  public GossipSocket(
      EventLoop loop, InetSocketAddress at, List<InetSocketAddress> others, Consumer<String> heard)
      throws IOException {
    this.others = List.copyOf(others);
    try {
      channel =
          new Bootstrap()
              .group(loop)
              .channel(NioDatagramChannel.class)
              .handler(
                  new SimpleChannelInboundHandler<DatagramPacket>() {
                    @Override
                    protected void channelRead0(ChannelHandlerContext c, DatagramPacket p) {
                      if (p.content().readableBytes() <= MOST
                          && GossipSocket.this.others.contains(p.sender())) {
                        heard.accept(p.content().toString(StandardCharsets.UTF_8));
                      }
                    }
                  })
              .bind(at)
              .syncUninterruptibly()
              .channel();
    } catch (RuntimeException e) {
      throw new IOException("placer.notes: cannot listen at " + at + ": " + e.getMessage(), e);
    }
  }

  public int port() {
    return ((InetSocketAddress) channel.localAddress()).getPort();
  }

  /** What cannot be written at once is lost. */
  public void send(String note) {
    if (!channel.isWritable()) {
      return;
    }
    byte[] bytes = note.getBytes(StandardCharsets.UTF_8);
    for (InetSocketAddress o : others) {
      channel.writeAndFlush(new DatagramPacket(Unpooled.wrappedBuffer(bytes), o));
    }
  }

  @Override
  public void close() {
    channel.close();
  }
}
