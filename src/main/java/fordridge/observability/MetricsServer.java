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

/** Serves the metrics of a process over HTTP at {@code /metrics}, on the loopback address. */
public final class MetricsServer implements AutoCloseable {
  private static final String PATH = "/metrics";
  private static final int MAX_REQUEST_BYTES = 8192;

  private final Channel channel;

  /**
   * Starts the server; blocks until the port is bound.
   *
   * @param port port to listen on; 0 for any free port
   * @param eventLoops event loops that serve connections; the caller shuts them down
   */
  public MetricsServer(int port, Metrics metrics, EventLoopGroup eventLoops) {
    channel =
        new ServerBootstrap()
            .group(eventLoops)
            .channel(NioServerSocketChannel.class)
            .childHandler(new ConnectionInitializer(metrics))
            .bind(InetAddress.getLoopbackAddress(), port)
            .syncUninterruptibly()
            .channel();
  }

  /** The port that the server listens on. */
  public int port() {
    return ((InetSocketAddress) channel.localAddress()).getPort();
  }

  @Override
  @SuppressWarnings(
      "FutureReturnValueIgnored") // The owner of the event loops awaits their termination.
  public void close() {
    channel.close();
  }

  private static final class ConnectionInitializer extends ChannelInitializer<SocketChannel> {
    private final Metrics metrics;

    ConnectionInitializer(Metrics metrics) {
      this.metrics = metrics;
    }

    @Override
    protected void initChannel(SocketChannel connection) {
      connection
          .pipeline()
          .addLast(
              new HttpServerCodec(),
              new HttpObjectAggregator(MAX_REQUEST_BYTES),
              new RequestHandler(metrics));
    }
  }

  private static final class RequestHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
    private final Metrics metrics;

    RequestHandler(Metrics metrics) {
      this.metrics = metrics;
    }

    @Override
    @SuppressWarnings(
        "FutureReturnValueIgnored") // The listener closes the connection on success and failure.
    protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
      FullHttpResponse response =
          request.uri().equals(PATH)
              ? response(HttpResponseStatus.OK, metrics.scrape())
              : response(
                  HttpResponseStatus.NOT_FOUND, "not found; metrics are served at /metrics\n");
      context.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
    }

    private static FullHttpResponse response(HttpResponseStatus status, String text) {
      FullHttpResponse response =
          new DefaultFullHttpResponse(
              HttpVersion.HTTP_1_1, status, Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
      response.headers().set("content-type", "text/plain; version=0.0.4; charset=utf-8");
      response.headers().setInt("content-length", response.content().readableBytes());
      return response;
    }
  }
}
