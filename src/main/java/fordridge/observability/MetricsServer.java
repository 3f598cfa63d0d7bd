package fordridge.observability;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;

/** The plain metrics of a process on a loopback port. */
public final class MetricsServer implements AutoCloseable {
  private final Channel channel;

  public MetricsServer(int port, Metrics metrics, EventLoopGroup loops) {
    channel =
        new ServerBootstrap()
            .group(loops)
            .channel(NioServerSocketChannel.class)
            .childHandler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel c) {
                    c.pipeline()
                        .addLast(
                            new HttpServerCodec(),
                            new HttpObjectAggregator(8192),
                            new RequestHandler(metrics));
                  }
                })
            .bind(InetAddress.getLoopbackAddress(), port)
            .syncUninterruptibly()
            .channel();
  }

  public int port() {
    return ((InetSocketAddress) channel.localAddress()).getPort();
  }

  @Override
  public void close() {
    channel.close();
  }

  private static final class RequestHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
    private final Metrics metrics;

    RequestHandler(Metrics metrics) {
      this.metrics = metrics;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
      boolean known = request.uri().equals("/metrics");
      FullHttpResponse r =
          new DefaultFullHttpResponse(
              HttpVersion.HTTP_1_1,
              known ? HttpResponseStatus.OK : HttpResponseStatus.NOT_FOUND,
              Unpooled.copiedBuffer(
                  known ? metrics.scrape() : "only /metrics is here\n", StandardCharsets.UTF_8));
      r.headers().set("content-type", "text/plain; version=0.0.4; charset=utf-8");
      r.headers().setInt("content-length", r.content().readableBytes());
      ctx.writeAndFlush(r).addListener(ChannelFutureListener.CLOSE);
    }
  }
}
