package fordridge.json;

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
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Follows the journal from the number held, over any number of connections: broken off, silent or
 * told something that can't be read, it asks again from there; what is told twice is passed over.
 */
public final class EndpointWatcher {
  /** A number comes every second; without it for this long the journal is taken to have stopped. */
  private static final Duration SILENT = Duration.ofMillis(1700);

  private static final Duration RETRY = Duration.ofMillis(100);
  private static final Duration CONNECT = Duration.ofMillis(1000);
  private static final int LONGEST = 1 << 20;

  /**
   * Read to its end in each round of the loop: what it told must be known before anything goes out
   * to a machine.
   */
  private static final int READ = 1 << 15;

  private static final int READS = 64;

  /** Whom it tells. */
  public interface Listener {
    /** One change to the list of machines; Malformed if it can't be. */
    void event(Map<String, Object> hosts);
  }

  private final class ConnectionHandler extends SimpleChannelInboundHandler<ByteBuf> {
    private long heardNanos = System.nanoTime();
    private Channel channel;

    /**
     * It said what can't be taken: what came behind that in the same breath is asked for again with
     * it.
     */
    private boolean spoilt;

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
      heardNanos = System.nanoTime();
      ctx.writeAndFlush(ByteBufUtil.writeUtf8(ctx.alloc(), "tail " + pos + "\n"));
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, ByteBuf line) {
      if (this != wire || spoilt) {
        return;
      }
      heardNanos = System.nanoTime();
      taking = true;
      try {
        take(ctx, line);
      } finally {
        taking = false;
      }
    }

    private void take(ChannelHandlerContext ctx, ByteBuf line) {
      String text = line.toString(StandardCharsets.UTF_8).trim();
      try {
        if (text.startsWith("{")) {
          event(JsonFields.line(text));
        } else if (!text.isEmpty() && Long.parseLong(text) > pos) {
          throw new JsonFields.MalformedInputException(
              "the journal is at " + text + ", and told only up to " + pos);
        }
      } catch (JsonFields.MalformedInputException | NumberFormatException | IOException e) {
        log.accept("journal: " + e.getMessage());
        spoilt = true;
        ctx.close();
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      again(this);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      ctx.close();
    }
  }

  private final EventLoopGroup loop;
  private final Listener reader;
  private final Consumer<String> log;
  private InetSocketAddress address;
  private long pos;

  /** The number after which a gap was seen last. */
  private long gapAfter = -1;

  private ConnectionHandler wire;
  private boolean closed;

  /** A line is being taken: nothing more may be read from within. */
  private boolean taking;

  /** To be called on the loop, as all else here. */
  public EndpointWatcher(EventLoopGroup loop, long pos, Listener reader, Consumer<String> log) {
    this.loop = loop;
    this.pos = pos;
    this.reader = reader;
    this.log = log;
    loop.next().scheduleAtFixedRate(this::watch, 200, 200, TimeUnit.MILLISECONDS);
  }

  public long pos() {
    return pos;
  }

  /**
   * Follows it there from now on, from the number held; where it is followed already, all stays as
   * it is.
   */
  public void follow(InetSocketAddress at) {
    if (at.equals(address) && !closed) {
      return;
    }
    address = at;
    ConnectionHandler old = wire;
    wire = null;
    if (old != null) {
      old.channel.close();
    }
    connect();
  }

  /**
   * Reads what has come by now, not only when the loop gets to this connection; nothing if none is
   * up.
   */
  public void readNow() {
    if (!taking
        && wire != null
        && wire.channel instanceof AbstractNioChannel nio
        && nio.isActive()) {
      nio.unsafe().read();
    }
  }

  public void close() {
    closed = true;
    if (wire != null) {
      wire.channel.close();
    }
  }

  private void event(Map<String, Object> event) {
    long at = JsonFields.whole(event, "pos", "event");
    if (at <= pos) {
      return;
    }
    Map<String, Object> hosts = JsonFields.object(event.get("hosts"), "event.hosts");
    // A gap is asked for once more: what was skipped may be a drain. A whole list needs nothing
    // before it, and a
    // journal that has no more than that to tell is believed.
    if (at > pos + 1 && !JsonFields.flag(hosts, "complete", "event.hosts") && gapAfter != pos) {
      gapAfter = pos;
      throw new JsonFields.MalformedInputException("the journal went from " + pos + " to " + at);
    }
    reader.event(hosts);
    pos = at;
  }

  private void connect() {
    ConnectionHandler w = new ConnectionHandler();
    wire = w;
    ChannelFuture f =
        new Bootstrap()
            .group(loop)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) CONNECT.toMillis())
            .option(
                ChannelOption.RECVBUF_ALLOCATOR,
                new FixedRecvByteBufAllocator(READ).maxMessagesPerRead(READS))
            .handler(
                new ChannelInitializer<NioSocketChannel>() {
                  @Override
                  protected void initChannel(NioSocketChannel ch) {
                    ch.pipeline().addLast(new LineBasedFrameDecoder(LONGEST, true, true), w);
                  }
                })
            .connect(address);
    w.channel = f.channel();
    f.addListener(
        x -> {
          if (!x.isSuccess()) {
            again(w);
          }
        });
  }

  private void again(ConnectionHandler of) {
    if (of == wire && !closed) {
      wire = null;
      loop.next()
          .schedule(
              () -> {
                if (wire == null && !closed) {
                  connect();
                }
              },
              RETRY.toMillis(),
              TimeUnit.MILLISECONDS);
    }
  }

  private void watch() {
    ConnectionHandler w = wire;
    if (w != null && w.channel.isActive() && System.nanoTime() - w.heardNanos > SILENT.toNanos()) {
      log.accept("journal: silent; asked again from " + pos);
      w.channel.close();
    }
  }
}
