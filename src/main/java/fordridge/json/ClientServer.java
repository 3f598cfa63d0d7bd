package fordridge.json;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Where owners connect. Every connection is bounded: one read of a line's length at a turn, so that
 * none is read at the others' cost; output that is not taken in; time without anything asked for;
 * and their number.
 */
public final class ClientServer {
  /**
   * Closed well within the three seconds in which whoever says nothing useful must hear something.
   */
  private static final Duration SILENT = Duration.ofMillis(2000);

  private static final Duration SWEEP = Duration.ofMillis(250);

  /** Once it has said what can't be used, a connection is read no more and closed after this. */
  private static final Duration FAREWELL = Duration.ofMillis(500);

  /**
   * Output that the owner doesn't take in: with so much of it the connection is closed. It is read
   * all the while: an owner that is not read from can't be seen to leave, and what it asked for
   * would go on being offered.
   */
  private static final int UNREAD = 4 * LineCodec.LONGEST;

  /** Whom the front tells, on its loop, in the order of the sockets. */
  public interface ClientRequestHandler {
    void asks(ClientConnection owner, String id, Map<String, Object> fields, String description);

    /** Given up, or ended if it stands. */
    void ends(ClientConnection owner, String id, int cause);

    boolean ready();

    /** All that is in hand on this connection is given up. */
    void closed(ClientConnection owner);

    /** Whether anything that was asked for on it is in hand or stands. */
    boolean busy(ClientConnection owner);

    /** The owner heard that this is over. */
    default void hears(ClientConnection owner, String id) {}
  }

  /** One connection of an owner. */
  public final class ClientConnection extends LineCodec {
    private Channel channel;
    private long usedNanos = System.nanoTime();
    private boolean dismissed;

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
      channel = ctx.channel();
      owners.add(this);
      while (owners.size() > most) {
        makeRoom(this);
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      leaves();
    }

    /**
     * At once, not when the loop gets to it: in a crowd one that is on its way out would make room
     * again and again.
     */
    private void leaves() {
      if (owners.remove(this)) {
        handler.closed(this);
      }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
      flush();
      ctx.fireChannelReadComplete();
    }

    @Override
    void said(String type, String id, Map<String, Object> fields, int cause, String description) {
      if (dismissed) {
        return;
      }
      switch (type) {
        case "new" -> {
          used();
          handler.asks(this, id, fields, description);
        }
        case "down" -> handler.ends(this, id, cause);
        case "hb" -> write("hb_ok", id, handler.ready() ? 1 : 0, null);
        case "ack" -> handler.hears(this, id);
        case "tell", "wait", "hb_ok", "shift" -> {}
        default -> spoilt("line: field 't' is not a known word");
      }
    }

    @Override
    void unreadable(String why) {
      close();
    }

    private void used() {
      usedNanos = System.nanoTime();
    }

    /**
     * Nothing more is read from it, so nothing may be in hand on it; what it was told may still
     * reach it.
     */
    public void dismiss() {
      if (!dismissed && channel != null) {
        dismissed = true;
        channel.config().setAutoRead(false);
        channel.eventLoop().schedule(this::close, FAREWELL.toMillis(), TimeUnit.MILLISECONDS);
      }
    }

    public void close() {
      if (channel != null) {
        leaves();
        channel.close();
      }
    }

    public void write(String type, String id, int cause, String description, String... fields) {
      if (channel == null) {
        return;
      }
      if (!channel.isActive()) {
        // Gone, and the loop has not come to say so: whoever is owed something on it has to know
        // now.
        leaves();
        return;
      }
      ByteBuf line = LineCodec.line(channel, type, id, cause, description, fields);
      used();
      channel.write(line, channel.voidPromise());
      wet.add(this);
      if (channel.unsafe().outboundBuffer().totalPendingWriteBytes() > UNREAD) {
        flush();
      }
    }

    private void flush() {
      if (wet.remove(this)) {
        channel.flush();
        ChannelOutboundBuffer left = channel.unsafe().outboundBuffer();
        if (left != null && left.totalPendingWriteBytes() > UNREAD) {
          close();
        }
      }
    }
  }

  private final EventLoopGroup loop;
  private final ClientRequestHandler handler;
  private int most;
  private final Set<ClientConnection> owners = new LinkedHashSet<>();
  private final Set<ClientConnection> wet = new LinkedHashSet<>();
  private Channel server;

  /** At most so many connections are held. */
  public ClientServer(EventLoopGroup loop, ClientRequestHandler handler, int most) {
    this.loop = loop;
    this.handler = handler;
    this.most = most;
  }

  public ChannelFuture listen(InetSocketAddress at) {
    ServerBootstrap b =
        new ServerBootstrap()
            .group(loop)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_BACKLOG, 1024)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(
                ChannelOption.RECVBUF_ALLOCATOR,
                new FixedRecvByteBufAllocator(4096).maxMessagesPerRead(1))
            .childHandler(
                new ChannelInitializer<NioSocketChannel>() {
                  @Override
                  protected void initChannel(NioSocketChannel ch) {
                    new ClientConnection().into(ch.pipeline());
                  }
                });
    loop.next()
        .scheduleAtFixedRate(
            this::sweep, SWEEP.toMillis(), SWEEP.toMillis(), TimeUnit.MILLISECONDS);
    ChannelFuture f = b.bind(at);
    server = f.channel();
    return f;
  }

  public InetSocketAddress address() {
    return (InetSocketAddress) server.localAddress();
  }

  /** One owner's end of a channel that needs no socket. */
  public static void embed(ClientRequestHandler handler, ChannelPipeline pipeline) {
    ClientConnection o = new ClientServer(null, handler, 1).new ClientConnection();
    o.into(pipeline);
    o.channelActive(pipeline.firstContext());
  }

  /** What was written in this turn of the loop goes out. */
  public void flush() {
    while (!wet.isEmpty()) {
      wet.iterator().next().flush();
    }
  }

  /** Another bound from now on: it holds with the next connection that comes. */
  public void most(int next) {
    most = next;
  }

  /** Whether any connection has not taken in yet what it was told. */
  public boolean unwritten() {
    return owners.stream()
        .anyMatch(
            o ->
                o.channel.unsafe().outboundBuffer() != null
                    && o.channel.unsafe().outboundBuffer().totalPendingWriteBytes() > 0);
  }

  public int connections() {
    return owners.size();
  }

  private void sweep() {
    long now = System.nanoTime();
    for (ClientConnection o : List.copyOf(owners)) {
      if (now - o.usedNanos > SILENT.toNanos() && !handler.busy(o)) {
        o.close();
      }
    }
  }

  /**
   * Over the bound, the one that has been idle longest goes; the newcomer itself if all are in use.
   */
  private void makeRoom(ClientConnection newcomer) {
    ClientConnection goes = newcomer;
    for (ClientConnection o : new ArrayList<>(owners)) {
      if (o != newcomer && !handler.busy(o) && (goes == newcomer || o.usedNanos < goes.usedNanos)) {
        goes = o;
      }
    }
    goes.close();
  }

  public void close() {
    if (server != null) {
      server.close();
    }
    List.copyOf(owners).forEach(ClientConnection::close);
  }
}
