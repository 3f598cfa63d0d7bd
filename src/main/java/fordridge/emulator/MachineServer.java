package fordridge.emulator;

import io.grpc.BindableService;
import io.grpc.Server;
import io.grpc.netty.NettyServerBuilder;
import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * The gRPC server of an emulated machine on loopback: its listening socket and its connections. It
 * keeps its port across restarts. Used on the machine's event loop, except for {@link #start} and
 * {@link #restart}, which block.
 */
final class MachineServer {
  private static final int MIN_KEEPALIVE_INTERVAL_MILLIS = 50;
  private static final int SHUTDOWN_WAIT_SECONDS = 2;
  private static final int MAX_BIND_ATTEMPTS = 50;
  private static final int BIND_RETRY_MILLIS = 20;

  private final EventLoop loop;
  private final BindableService service;
  private final List<Channel> connections = new ArrayList<>();
  private Optional<Channel> listener = Optional.empty();
  private volatile Server server;
  private volatile int port;
  private boolean isKilled;

  MachineServer(EventLoop loop, BindableService service) {
    this.loop = loop;
    this.service = service;
  }

  /** Starts to listen. Waits for the event loop, so it must not be called on it. */
  void start() throws IOException {
    Server started =
        NettyServerBuilder.forAddress(new InetSocketAddress(InetAddress.getLoopbackAddress(), port))
            .bossEventLoopGroup(loop)
            .workerEventLoopGroup(loop)
            .channelFactory(ListeningChannel::new)
            .directExecutor()
            .permitKeepAliveTime(MIN_KEEPALIVE_INTERVAL_MILLIS, TimeUnit.MILLISECONDS)
            .permitKeepAliveWithoutCalls(true)
            .addService(service)
            .build()
            .start();
    server = started;
    port = started.getPort();
  }

  /** A listening socket that keeps track of itself and of the connections that it accepts. */
  private final class ListeningChannel extends NioServerSocketChannel {
    @Override
    protected int doReadMessages(List<Object> accepted) throws Exception {
      int count = super.doReadMessages(accepted);
      accepted.forEach(connection -> connections.add((Channel) connection));
      connections.removeIf(connection -> connection.isRegistered() && !connection.isOpen());
      listener = Optional.of(this);
      return count;
    }
  }

  int port() {
    return port;
  }

  /** Starts or stops reading from the connections and accepting new ones. */
  void setReading(boolean on) {
    connections.removeIf(connection -> !connection.isOpen());
    connections.forEach(connection -> connection.config().setAutoRead(on));
    listener.ifPresent(channel -> channel.config().setAutoRead(on));
  }

  /** Returns whether the server was killed since the last call; the caller then restarts it. */
  boolean getAndClearKilled() {
    boolean wasKilled = isKilled;
    isKilled = false;
    return wasKilled;
  }

  /** Stops listening and closes all connections without ending their streams first. */
  void kill() {
    isKilled = true;
    server.shutdownNow();
    for (Channel connection : connections) {
      Future<?> unused = connection.close();
    }
    connections.clear();
  }

  /** Forgets the listening socket of a server that was killed while reading was stopped. */
  void forgetListener() {
    listener = Optional.empty();
  }

  /**
   * Listens again on the same port once the killed server has terminated. May block for seconds.
   *
   * @throws IOException if the port stays in use
   */
  void restart() throws IOException, InterruptedException {
    server.awaitTermination(SHUTDOWN_WAIT_SECONDS, TimeUnit.SECONDS);
    for (int attempt = 1; ; attempt++) {
      try {
        start();
        return;
      } catch (IOException e) {
        if (attempt == MAX_BIND_ATTEMPTS) {
          throw new IOException(
              "port " + port + " is still in use after " + MAX_BIND_ATTEMPTS + " attempts to bind",
              e);
        }
        Thread.sleep(BIND_RETRY_MILLIS);
      }
    }
  }

  void close() {
    server.shutdownNow();
  }
}
