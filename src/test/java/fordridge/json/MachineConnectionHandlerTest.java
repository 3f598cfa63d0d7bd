package fordridge.json;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.lang.reflect.Proxy;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;
import net.jqwik.api.lifecycle.BeforeTry;

/** What a connection on a real socket reports on the messages that are written to it. */
class MachineConnectionHandlerTest {
  private static final String VM = "00000000000000a1";

  private final EventLoopGroup eventLoop =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final MachineConnectionHandler handler =
      new MachineConnectionHandler(null, new ConnectionQuota(1), ignoreEvents());
  private ServerSocket server;
  private Socket machine;

  private static MachineClient.Listener ignoreEvents() {
    return (MachineClient.Listener)
        Proxy.newProxyInstance(
            MachineClient.Listener.class.getClassLoader(),
            new Class<?>[] {MachineClient.Listener.class},
            (proxy, method, arguments) -> null);
  }

  @BeforeTry
  void connect() throws Exception {
    server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
    Channel channel =
        new Bootstrap()
            .group(eventLoop)
            .channel(NioSocketChannel.class)
            .handler(
                new ChannelInitializer<NioSocketChannel>() {
                  @Override
                  protected void initChannel(NioSocketChannel created) {
                    handler.addTo(created.pipeline(), new InputMemory(Long.MAX_VALUE));
                  }
                })
            .connect(server.getLocalSocketAddress())
            .sync()
            .channel();
    handler.setChannel(channel);
    machine = server.accept();
  }

  @AfterTry
  void close() throws Exception {
    eventLoop.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
    machine.close();
    server.close();
  }

  private boolean write() {
    return handler.write("new", VM, LineCodec.NO_CODE, "d");
  }

  private void reset() throws IOException {
    machine.setSoLinger(true, 0);
    machine.close();
  }

  @Example
  void messageToAnOpenConnectionMayBeReceived() throws Exception {
    assertThat(eventLoop.submit(this::write).get()).isTrue();
  }

  /** The connection is reset while its event loop is busy, which so writes before it reads. */
  @Example
  void messageToAConnectionThatWasResetIsNeverReceived() throws Exception {
    boolean mayBeReceived =
        eventLoop
            .submit(
                () -> {
                  reset();
                  return write();
                })
            .get();
    assertThat(mayBeReceived).isFalse();
  }

  @Example
  void messageToAClosedConnectionIsNeverReceived() throws Exception {
    boolean mayBeReceived =
        eventLoop
            .submit(
                () -> {
                  handler.close();
                  return write();
                })
            .get();
    assertThat(mayBeReceived).isFalse();
  }
}
