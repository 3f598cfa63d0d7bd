package fordridge.grpc;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
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
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Sends and receives gossip between schedulers, one datagram for each message: late, lost and
 * duplicated messages are harmless, and a scheduler that is down delays no other. Datagrams that do
 * not come from a configured peer, or are longer than a gossip message can be, are ignored.
 * Receives on its event loop.
 */
public final class GossipSocket implements AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger("fordridge.placer");
  private static final int MAX_DATAGRAM_BYTES = 256;

  private final Channel channel;
  private final List<InetSocketAddress> peers;

  /** Binds the socket; {@code receiver} is called with the peers' messages on the event loop. */
  public GossipSocket(
      EventLoop loop,
      InetSocketAddress address,
      List<InetSocketAddress> peers,
      Consumer<String> receiver)
      throws IOException {
    this.peers = List.copyOf(peers);
    try {
      channel =
          new Bootstrap()
              .group(loop)
              .channel(NioDatagramChannel.class)
              .handler(new DatagramHandler(this.peers, receiver))
              .bind(address)
              .syncUninterruptibly()
              .channel();
    } catch (RuntimeException e) {
      throw new IOException(
          "placer.notes: cannot bind the gossip socket to " + address + ": " + e.getMessage(), e);
    }
  }

  /** The local port. */
  public int port() {
    return ((InetSocketAddress) channel.localAddress()).getPort();
  }

  /** Sends a message to every peer, or drops it if the socket cannot write it immediately. */
  public void send(String message) {
    if (!channel.isWritable()) {
      return;
    }
    byte[] bytes = message.getBytes(StandardCharsets.UTF_8);
    for (InetSocketAddress peer : peers) {
      channel
          .writeAndFlush(new DatagramPacket(Unpooled.wrappedBuffer(bytes), peer))
          .addListener(
              (ChannelFutureListener)
                  write -> {
                    if (!write.isSuccess()) {
                      logDropped(peer, write.cause());
                    }
                  });
    }
  }

  private static void logDropped(InetSocketAddress peer, Throwable cause) {
    LOG.atDebug().addKeyValue("peer", peer).setCause(cause).log("gossip message dropped");
  }

  @Override
  public void close() {
    channel.close().addListener(ChannelFutureListener.FIRE_EXCEPTION_ON_FAILURE);
  }

  private static final class DatagramHandler extends SimpleChannelInboundHandler<DatagramPacket> {
    private final List<InetSocketAddress> peers;
    private final Consumer<String> receiver;

    DatagramHandler(List<InetSocketAddress> peers, Consumer<String> receiver) {
      this.peers = peers;
      this.receiver = receiver;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, DatagramPacket datagram) {
      if (datagram.content().readableBytes() <= MAX_DATAGRAM_BYTES
          && peers.contains(datagram.sender())) {
        receiver.accept(datagram.content().toString(StandardCharsets.UTF_8));
      }
    }
  }
}
