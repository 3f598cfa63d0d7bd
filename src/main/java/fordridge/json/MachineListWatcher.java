package fordridge.json;

import fordridge.eventloop.EventLoopTimers;
import fordridge.json.JsonFields.MalformedInputException;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
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
 * watcher reconnects and requests the events after the last one that it applied; repeated events
 * are skipped. All methods have to be called on the event loop.
 *
 * <p>The configuration and the protocol call this stream of events the journal.
 */
public final class MachineListWatcher {
  /**
   * The server sends its position every second; a server that is silent for this long is assumed to
   * hang.
   */
  private static final Duration SILENCE_TIMEOUT = Duration.ofMillis(1700);

  private static final Duration SILENCE_CHECK_INTERVAL = Duration.ofMillis(200);
  private static final Duration RECONNECT_DELAY = Duration.ofMillis(100);
  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
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
  private static final long NANOS_PER_SECOND = 1_000_000_000;

  /** Receives the events, in order and each once. */
  public interface Listener {
    /** The machine list has changed. */
    void machineListChanged(MachineListEvent event);
  }

  private final class ConnectionHandler extends SimpleChannelInboundHandler<ByteBuf> {
    private long lastReceivedNanos = System.nanoTime();
    private Channel channel;

    /**
     * Whether a line could not be applied; what follows it is discarded and requested again
     * together with that line.
     */
    private boolean isInputRejected;

    private long positionsCountedSinceNanos = lastReceivedNanos;
    private int positionCount;

    @Override
    @SuppressWarnings("FutureReturnValueIgnored") // A void promise: failures reach exceptionCaught.
    public void channelActive(ChannelHandlerContext ctx) {
      lastReceivedNanos = System.nanoTime();
      isUnreachable = false;
      ctx.writeAndFlush(
          ByteBufUtil.writeUtf8(ctx.alloc(), "tail " + position + "\n"),
          ctx.channel().voidPromise());
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, ByteBuf line) {
      if (this != current || isInputRejected) {
        return;
      }
      lastReceivedNanos = System.nanoTime();
      isHandlingLine = true;
      try {
        lineReceived(line.toString(StandardCharsets.UTF_8).trim(), this);
      } catch (MalformedInputException | NumberFormatException | IOException e) {
        log.accept("machine list watch: event not taken: " + e.getMessage());
        isInputRejected = true;
        close();
      } finally {
        isHandlingLine = false;
      }
      runFirstContactTask();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      reconnectLater(this);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      log.accept("machine list watch: connection failed: " + cause.getMessage());
      close();
    }

    /** Records that the server repeated its position; fails if it does so too often. */
    private void positionReceived() {
      if (lastReceivedNanos - positionsCountedSinceNanos > NANOS_PER_SECOND) {
        positionsCountedSinceNanos = lastReceivedNanos;
        positionCount = 0;
      }
      if (++positionCount > MAX_POSITIONS_PER_SECOND) {
        throw new MalformedInputException("the server repeats its position too often");
      }
    }

    boolean isSilent(long nowNanos) {
      return channel.isActive() && nowNanos - lastReceivedNanos > SILENCE_TIMEOUT.toNanos();
    }

    @SuppressWarnings("FutureReturnValueIgnored") // channelInactive reports the close.
    void close() {
      channel.close();
    }
  }

  private final EventLoopGroup loop;
  private final EventLoopTimers timers;
  private final Listener listener;
  private final Consumer<String> log;
  private InetSocketAddress address;

  /** The position of the last event that was applied. */
  private long position;

  /** The position after which events were missing most recently. */
  private long lastGapPosition = NO_POSITION;

  /** The connection that is in use or being opened; null while waiting to reconnect. */
  private ConnectionHandler current;

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
   */
  public MachineListWatcher(
      EventLoopGroup loop,
      EventLoopTimers timers,
      long position,
      Listener listener,
      Consumer<String> log) {
    this.loop = loop;
    this.timers = timers;
    this.position = position;
    this.listener = listener;
    this.log = log;
    timers.runEvery(SILENCE_CHECK_INTERVAL, this::closeIfSilent);
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
    ConnectionHandler previous = current;
    current = null;
    if (previous != null) {
      previous.close();
    }
    connect();
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
   * Reads the events that have arrived, without waiting for the event loop to get to this
   * connection; does nothing if no connection is open, or if called from within {@link
   * Listener#machineListChanged}.
   */
  public void readNow() {
    if (!isHandlingLine
        && current != null
        && current.channel instanceof AbstractNioChannel channel
        && channel.isActive()) {
      channel.unsafe().read();
    }
  }

  /** Stops the watch. */
  public void close() {
    isClosed = true;
    if (current != null) {
      current.close();
    }
  }

  private void lineReceived(String line, ConnectionHandler connection) throws IOException {
    if (line.startsWith("{")) {
      eventReceived(JsonFields.parse(line));
      return;
    }
    connection.positionReceived();
    if (!line.isEmpty() && Long.parseLong(line) > position) {
      throw new MalformedInputException(
          "the server is at position " + line + ", but sent events only up to " + position);
    }
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
  private void connect() {
    ConnectionHandler handler = new ConnectionHandler();
    current = handler;
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
                        .addLast(new LineBasedFrameDecoder(MAX_EVENT_BYTES, true, true), handler);
                  }
                })
            .connect(address);
    handler.channel = connected.channel();
    connected.addListener(
        outcome -> {
          if (!outcome.isSuccess()) {
            logConnectFailure(outcome.cause());
            runFirstContactTask();
            reconnectLater(handler);
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

  private void reconnectLater(ConnectionHandler closed) {
    if (closed == current && !isClosed) {
      current = null;
      timers.runAfter(
          RECONNECT_DELAY,
          () -> {
            if (current == null && !isClosed) {
              connect();
            }
          });
    }
  }

  /**
   * Reads what had arrived at the time for which silence is checked: if the process stood still,
   * the socket may hold events that were sent in time.
   */
  private void closeIfSilent() {
    long nowNanos = System.nanoTime();
    readNow();
    if (current != null && current.isSilent(nowNanos)) {
      log.accept("machine list watch: server silent; watching again from " + position);
      current.close();
    }
  }
}
