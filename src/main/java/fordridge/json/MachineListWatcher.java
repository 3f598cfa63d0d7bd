package fordridge.json;

import fordridge.eventloop.EventLoopTimers;
import fordridge.json.JsonFields.MalformedInputException;
import fordridge.membership.HedgedWatch;
import fordridge.model.SeededRandom;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.AbstractNioChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.LineBasedFrameDecoder;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Watches the machine list: follows the numbered events of a server over any number of connections.
 * If a connection breaks, is silent for too long or delivers an event that can't be read, the
 * watcher opens another one and requests the events after the last one that it applied; repeated
 * events are skipped. {@link HedgedWatch} decides which connections are open. All methods have to
 * be called on the event loop.
 *
 * <p>The configuration and the protocol call this stream of events the journal.
 */
public final class MachineListWatcher {
  private static final Duration CHECK_INTERVAL = Duration.ofMillis(100);

  /** The system repeats a lost packet of the handshake after one second. */
  private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(1500);

  private static final int MAX_EVENT_BYTES = 1 << 20;

  /**
   * A server that sends its position more often than this within a second is disconnected: what it
   * repeats has to be read before each decision.
   */
  private static final int MAX_POSITIONS_PER_SECOND = 100;

  /** Bounds what has to be read at once; without a limit the system lets it grow to megabytes. */
  private static final int RECEIVE_BUFFER_BYTES = 1 << 18;

  private static final int READ_BYTES = 1 << 15;

  /**
   * All events that have arrived are read in each turn of the event loop: they have to be known
   * before anything is sent to a machine.
   */
  private static final int MAX_READS_PER_TURN = 64;

  private static final long NO_POSITION = -1;
  private static final Duration POSITION_COUNT_INTERVAL = Duration.ofSeconds(1);

  /** Receives the events, in order and each once. */
  public interface Listener {
    /** The machine list has changed. */
    void machineListChanged(MachineListEvent event);
  }

  /** Records the bytes that arrive on a connection, whether they complete a line or not. */
  private final class ReceivedBytes extends ChannelInboundHandlerAdapter {
    private final ConnectionHandler connection;

    ReceivedBytes(ConnectionHandler connection) {
      this.connection = connection;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
      connections.bytesReceived(connection, clock());
      ctx.fireChannelRead(message);
    }
  }

  private final class ConnectionHandler extends SimpleChannelInboundHandler<ByteBuf> {
    private Channel channel;

    /**
     * Whether a line could not be applied; what follows it is discarded and requested again
     * together with that line.
     */
    private boolean isInputRejected;

    private Duration positionsCountedSince = clock();
    private int positionCount;

    @Override
    @SuppressWarnings("FutureReturnValueIgnored") // A void promise: failures reach exceptionCaught.
    public void channelActive(ChannelHandlerContext ctx) {
      isUnreachable = false;
      ctx.writeAndFlush(
          ByteBufUtil.writeUtf8(ctx.alloc(), "tail " + position + "\n"),
          ctx.channel().voidPromise());
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, ByteBuf line) {
      if (isInputRejected) {
        return;
      }
      boolean isPositionConfirmed = false;
      isHandlingLine = true;
      try {
        isPositionConfirmed = lineReceived(line.toString(StandardCharsets.UTF_8).trim(), this);
      } catch (MalformedInputException | NumberFormatException | IOException e) {
        log.accept("machine list watch: event not taken: " + e.getMessage());
        isInputRejected = true;
        close();
      } finally {
        isHandlingLine = false;
      }
      if (!isInputRejected) {
        connections.lineReceived(this, clock());
      }
      if (isPositionConfirmed) {
        connections.positionConfirmed(this);
      }
      runFirstContactTask();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      connectionEnded(this);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      log.accept("machine list watch: connection failed: " + cause.getMessage());
      close();
    }

    /** Records that the server repeated its position; fails if it does so too often. */
    private void positionReceived() {
      Duration now = clock();
      if (now.minus(positionsCountedSince).compareTo(POSITION_COUNT_INTERVAL) > 0) {
        positionsCountedSince = now;
        positionCount = 0;
      }
      if (++positionCount > MAX_POSITIONS_PER_SECOND) {
        throw new MalformedInputException("the server repeats its position too often");
      }
    }

    /** Reads what has arrived, without waiting for the event loop to get to this connection. */
    private void readNow() {
      if (channel instanceof AbstractNioChannel nioChannel && nioChannel.isActive()) {
        nioChannel.unsafe().read();
      }
    }

    @SuppressWarnings("FutureReturnValueIgnored") // channelInactive reports the close.
    private void close() {
      channel.close();
    }
  }

  /** Opens and closes connections as {@link HedgedWatch} tells. */
  private final class Connections implements HedgedWatch.Connections<ConnectionHandler> {
    @Override
    public ConnectionHandler create() {
      return new ConnectionHandler();
    }

    @Override
    public void open(ConnectionHandler connection) {
      connect(connection);
    }

    @Override
    public void close(ConnectionHandler connection) {
      connection.readNow();
      connection.close();
    }
  }

  private final EventLoopGroup loop;
  private final EventLoopTimers timers;
  private final Listener listener;
  private final Consumer<String> log;
  private final HedgedWatch<ConnectionHandler> connections;
  private InetSocketAddress address;

  /** The position of the last event that was applied. */
  private long position;

  /** The position after which events were missing most recently. */
  private long lastGapPosition = NO_POSITION;

  private boolean isClosed;

  /** Whether the last attempt to connect failed. */
  private boolean isUnreachable;

  private Runnable onFirstContact = () -> {};

  /**
   * Whether a line is being handled: no nested read may start meanwhile, or events would be applied
   * twice.
   */
  private boolean isHandlingLine;

  /**
   * Creates a watcher that has the events up to {@code position} and is not connected to a server
   * yet.
   *
   * @param seed of the jitter of delays
   */
  public MachineListWatcher(
      EventLoopGroup loop,
      EventLoopTimers timers,
      long seed,
      long position,
      Listener listener,
      Consumer<String> log) {
    this.loop = loop;
    this.timers = timers;
    this.position = position;
    this.listener = listener;
    this.log = log;
    connections = new HedgedWatch<>(new Connections(), new SeededRandom(seed));
    timers.runEvery(CHECK_INTERVAL, this::checkConnections);
  }

  private static Duration clock() {
    return Duration.ofNanos(System.nanoTime());
  }

  /** The position of the last event that was applied. */
  public long position() {
    return position;
  }

  /**
   * Follows the server at this address from the current position; no effect if it does so already.
   */
  public void watch(InetSocketAddress newAddress) {
    if (newAddress.equals(address) && !isClosed) {
      return;
    }
    address = newAddress;
    connections.addressChanged(clock());
  }

  /**
   * Runs the task once the server has sent a line, or the first attempt to connect has failed: the
   * list then includes what changed between the making of the configuration and the start of the
   * watch, as far as that can be known.
   */
  public void whenFirstContacted(Runnable task) {
    onFirstContact = task;
  }

  private void runFirstContactTask() {
    Runnable task = onFirstContact;
    onFirstContact = () -> {};
    task.run();
  }

  /**
   * Reads the events that have arrived on all connections, without waiting for the event loop to
   * get to them; does nothing if called from within {@link Listener#machineListChanged}.
   */
  public void readNow() {
    if (!isHandlingLine) {
      connections.connections().forEach(ConnectionHandler::readNow);
    }
  }

  /** The counts of connections since the start, for the status line. */
  public String describe() {
    return connections.describe();
  }

  /** Stops the watch. */
  public void close() {
    isClosed = true;
    connections.connections().forEach(ConnectionHandler::close);
  }

  /** Applies a line; returns whether it is the position of the last event that was applied. */
  private boolean lineReceived(String line, ConnectionHandler connection) throws IOException {
    if (line.startsWith("{")) {
      eventReceived(JsonFields.parse(line));
      return false;
    }
    connection.positionReceived();
    if (line.isEmpty()) {
      return false;
    }
    long serverPosition = Long.parseLong(line);
    if (serverPosition > position) {
      throw new MalformedInputException(
          "the server is at position " + line + ", but sent events only up to " + position);
    }
    return serverPosition == position;
  }

  private void eventReceived(Map<String, Object> event) {
    long eventPosition = JsonFields.wholeNumber(event, "pos", "event");
    if (eventPosition <= position) {
      return;
    }
    Map<String, Object> hosts = JsonFields.object(event.get("hosts"), "event.hosts");
    boolean hasGap =
        eventPosition > position + 1 && !JsonFields.bool(hosts, "complete", "event.hosts");
    // Missing events are requested again only once, as one of them may be a drain. A complete list
    // does not depend on earlier events, and a server that repeats the same gap has no more events.
    if (hasGap && lastGapPosition != position) {
      lastGapPosition = position;
      throw new MalformedInputException(
          "events are missing between positions " + position + " and " + eventPosition);
    }
    listener.machineListChanged(MachineListEvent.read(hosts));
    position = eventPosition;
  }

  @SuppressWarnings(
      "FutureReturnValueIgnored") // addListener returns the future that it is called on.
  private void connect(ConnectionHandler handler) {
    ChannelFuture connected =
        new Bootstrap()
            .group(loop)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) CONNECT_TIMEOUT.toMillis())
            .option(ChannelOption.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
            .option(
                ChannelOption.RECVBUF_ALLOCATOR,
                new FixedRecvByteBufAllocator(READ_BYTES).maxMessagesPerRead(MAX_READS_PER_TURN))
            .handler(
                new ChannelInitializer<NioSocketChannel>() {
                  @Override
                  protected void initChannel(NioSocketChannel channel) {
                    channel
                        .pipeline()
                        .addLast(
                            new ReceivedBytes(handler),
                            new LineBasedFrameDecoder(MAX_EVENT_BYTES, true, true),
                            handler);
                  }
                })
            .connect(address);
    handler.channel = connected.channel();
    connected.addListener(
        outcome -> {
          if (!outcome.isSuccess()) {
            logConnectFailure(outcome.cause());
            runFirstContactTask();
            connectionEnded(handler);
          }
        });
  }

  /** Logs only the first of consecutive failures, as connecting is retried ten times a second. */
  private void logConnectFailure(Throwable cause) {
    if (!isUnreachable) {
      isUnreachable = true;
      log.accept("machine list watch: can't connect: " + cause.getMessage());
    }
  }

  private void connectionEnded(ConnectionHandler connection) {
    if (isClosed) {
      return;
    }
    Duration now = clock();
    connections.closed(connection, now);
    timers.runAfter(connections.retryDelay(now), this::checkConnections);
  }

  /**
   * Opens and closes connections whose time has come. The sockets are read first: if the process
   * stood still, what a connection is waiting for may have arrived meanwhile.
   */
  private void checkConnections() {
    Duration now = clock();
    if (isClosed || address == null || !connections.isDue(now)) {
      return;
    }
    readNow();
    boolean wasHedged = connections.isHedged();
    connections.advance(now);
    if (connections.isHedged() && !wasHedged) {
      log.accept(
          "machine list watch: no line in time; watching beside it from "
              + position
              + "; "
              + connections.describe());
    }
  }
}
