package fordridge.json;

import fordridge.eventloop.EventLoopTimers;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Accepts clients' connections and keeps them within bounds: some KiB are read from each per turn
 * of the loop, so that none is read at the others' cost; a number of connections; a time without
 * use. It tells whether anything is left unread. Confined to the event loop but for the
 * construction and {@link #listen}.
 */
public final class ClientServer {
  /**
   * An unused connection is closed after this; the protocol grants a silent client three seconds.
   */
  private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(2);

  private static final Duration IDLE_CHECK_INTERVAL = Duration.ofMillis(250);
  private static final int ACCEPT_BACKLOG = 1024;

  /** The default of the listening channel; a cycle with fewer has emptied the queue. */
  private static final int MAX_ACCEPTS_PER_CYCLE = 16;

  /**
   * A connection that brings more than can be read for so long holds up the others no longer: what
   * it sends is taken in as it is read.
   */
  private static final Duration MAX_UNREAD_TIME = Duration.ofSeconds(2);

  private final EventLoopGroup loop;
  private final EventLoopTimers timers;
  private final ClientRequestHandler handler;
  private final AcceptRetryHandler acceptRetry;
  private int maxConnections;
  private final Set<ClientConnection> connections = new LinkedHashSet<>();

  /** Connections whose last read cycle ended before their input did, and since when that is so. */
  private final Map<ClientConnection, Long> unreadSinceNanos = new HashMap<>();

  /** Of these, the ones that the last pass has read, and not to their end. */
  private final Set<ClientConnection> partlyReadInPass = new LinkedHashSet<>();

  /** Of these, the ones that have been so for too long. */
  private final Set<ClientConnection> unreadTooLong = new LinkedHashSet<>();

  private long unreadTooLongCount;
  private boolean mayHaveUnaccepted;

  /** Connections with output that was written and not flushed yet. */
  private final Set<ClientConnection> unflushed = new LinkedHashSet<>();

  private final Map<CloseReason, Long> closeCounts = new EnumMap<>(CloseReason.class);
  private Channel serverChannel;

  /** Creates a server that listens nowhere yet, for at most so many connections at once. */
  public ClientServer(
      EventLoopGroup loop,
      EventLoopTimers timers,
      ClientRequestHandler handler,
      int maxConnections) {
    this.loop = loop;
    this.timers = timers;
    this.handler = handler;
    this.maxConnections = maxConnections;
    acceptRetry =
        new AcceptRetryHandler(
            timers, accepted -> mayHaveUnaccepted = accepted >= MAX_ACCEPTS_PER_CYCLE);
  }

  /** Starts to listen; the future completes once the address is bound. */
  public ChannelFuture listen(InetSocketAddress address) {
    ServerBootstrap bootstrap =
        new ServerBootstrap()
            .group(loop)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
            .option(ChannelOption.SO_REUSEADDR, true)
            .handler(acceptRetry)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(ChannelOption.RECVBUF_ALLOCATOR, ReadProgress.newAllocator())
            .childHandler(
                new ChannelInitializer<NioSocketChannel>() {
                  @Override
                  protected void initChannel(NioSocketChannel channel) {
                    new ClientConnection(ClientServer.this)
                        .addWithReadProgressTo(channel.pipeline());
                  }
                });
    timers.runEvery(IDLE_CHECK_INTERVAL, this::closeIdleConnections);
    ChannelFuture bound = bootstrap.bind(address);
    serverChannel = bound.channel();
    return bound;
  }

  /** The address that is listened at. */
  public InetSocketAddress address() {
    return (InetSocketAddress) serverChannel.localAddress();
  }

  /** Adds a client's connection to a channel that needs no socket and no event loop. */
  public static void embed(ClientRequestHandler handler, ChannelPipeline pipeline) {
    ClientConnection connection = new ClientConnection(new ClientServer(null, null, handler, 1));
    connection.addTo(pipeline);
    connection.channelActive(pipeline.firstContext());
  }

  /** Sends what was written in this turn of the loop. */
  public void flush() {
    while (!unflushed.isEmpty()) {
      unflushed.iterator().next().flush();
    }
  }

  /** Changes the maximum number of connections; it holds from the next connection on. */
  public void setMaxConnections(int newMaxConnections) {
    maxConnections = newMaxConnections;
  }

  /** A pass over all sockets that are ready begins: what it does not read has nothing to read. */
  public void startReadPass() {
    mayHaveUnaccepted = false;
    partlyReadInPass.clear();
  }

  /** Whether connections may wait to be accepted, or input to be read, after the last pass. */
  public boolean hasUnreadInput() {
    unreadSinceNanos.keySet().retainAll(partlyReadInPass);
    unreadTooLong.retainAll(partlyReadInPass);
    if (mayHaveUnaccepted) {
      return true;
    }
    for (ClientConnection connection : unreadSinceNanos.keySet()) {
      if (unreadFor(connection).compareTo(MAX_UNREAD_TIME) < 0) {
        return true;
      }
      if (unreadTooLong.add(connection)) {
        unreadTooLongCount++;
      }
    }
    return false;
  }

  /** For how long the connection has had input that is not read yet. */
  Duration unreadFor(ClientConnection connection) {
    Long sinceNanos = unreadSinceNanos.get(connection);
    return sinceNanos == null ? Duration.ZERO : Duration.ofNanos(System.nanoTime() - sinceNanos);
  }

  /** Whether the system refuses to hand out connections that may wait; for a while only. */
  public boolean isAcceptingRefused() {
    return acceptRetry.isRefused(MAX_UNREAD_TIME);
  }

  /** Connections that brought more than could be read for so long that they held up no others. */
  public long unreadTooLongCount() {
    return unreadTooLongCount;
  }

  /** A connection was read, to its end or not; one that is not read any more holds up nothing. */
  void readCycleCompleted(ClientConnection connection, boolean isReadToEnd) {
    if (isReadToEnd || !connection.isReadingEnabled() || !connections.contains(connection)) {
      unreadSinceNanos.remove(connection);
      partlyReadInPass.remove(connection);
    } else {
      unreadSinceNanos.putIfAbsent(connection, System.nanoTime());
      partlyReadInPass.add(connection);
    }
  }

  /** Whether any client has not taken in yet what was written to it. */
  public boolean hasPendingOutput() {
    for (ClientConnection connection : connections) {
      if (connection.pendingOutputBytes() > 0) {
        return true;
      }
    }
    return false;
  }

  /** How often the system could not accept a connection since the start. */
  public long acceptFailureCount() {
    return acceptRetry.failureCount();
  }

  /** How many connections were closed since the start, and why. */
  public Map<CloseReason, Long> closeCounts() {
    return closeCounts;
  }

  /** The number of open connections. */
  public int connectionCount() {
    return connections.size();
  }

  /**
   * Stops listening, and tells all clients that nothing more is read from them and nothing more
   * comes. What was written before still arrives, which it may not where a connection is closed
   * with unread input. No request may be pending.
   */
  public void finishOutput() {
    if (serverChannel != null) {
      closeServerChannel();
    }
    flush();
    for (ClientConnection connection : List.copyOf(connections)) {
      connection.finishOutput();
    }
  }

  /** Stops listening and closes all connections. */
  public void close() {
    if (serverChannel != null) {
      closeServerChannel();
    }
    for (ClientConnection connection : List.copyOf(connections)) {
      connection.close(CloseReason.SHUTDOWN);
    }
  }

  @SuppressWarnings("FutureReturnValueIgnored") // Nothing depends on the end of the close.
  private void closeServerChannel() {
    serverChannel.close();
  }

  ClientRequestHandler handler() {
    return handler;
  }

  EventLoopTimers timers() {
    return timers;
  }

  void connectionOpened(ClientConnection connection) {
    connections.add(connection);
    // Ends with the newcomer: after a reload with a lower limit more may be in use than it allows.
    for (int tries = connections.size(); isOverLimitWith(connection); tries--) {
      closeIdlestConnection(connection, tries > 0);
    }
    // Only now: what is read has to be answered, and a newcomer may have been closed.
    if (connections.contains(connection)) {
      connection.readNow();
    }
  }

  private boolean isOverLimitWith(ClientConnection newConnection) {
    return connections.size() > maxConnections && connections.contains(newConnection);
  }

  /** Passes on the first call for each connection. */
  void connectionClosed(ClientConnection connection, CloseReason reason) {
    unreadSinceNanos.remove(connection);
    partlyReadInPass.remove(connection);
    unreadTooLong.remove(connection);
    if (connections.remove(connection)) {
      closeCounts.merge(reason, 1L, Long::sum);
      handler.connectionClosed(connection);
    }
  }

  void flushLater(ClientConnection connection) {
    unflushed.add(connection);
  }

  /** Whether the connection had anything to flush. */
  boolean cancelFlush(ClientConnection connection) {
    return unflushed.remove(connection);
  }

  private void closeIdleConnections() {
    List<ClientConnection> idle = new ArrayList<>();
    for (ClientConnection connection : connections) {
      if (isIdle(connection)) {
        idle.add(connection);
      }
    }
    // Where the loop was late, a request may have come long ago: the sockets are read first.
    if (!idle.isEmpty()) {
      timers.runAfter(Duration.ZERO, () -> closeIfStillIdle(idle));
    }
  }

  private void closeIfStillIdle(List<ClientConnection> candidates) {
    for (ClientConnection connection : candidates) {
      if (isIdle(connection)) {
        connection.close(CloseReason.IDLE);
      }
    }
  }

  private boolean isIdle(ClientConnection connection) {
    return System.nanoTime() - connection.lastUsedNanos() > IDLE_TIMEOUT.toNanos()
        && !handler.isInUse(connection);
  }

  /**
   * Closes the connection that was idle longest, unless it is found in use; the newcomer itself if
   * all others are in use.
   */
  private void closeIdlestConnection(ClientConnection newConnection, boolean mayCloseOthers) {
    ClientConnection idlest = mayCloseOthers ? idlestExcept(newConnection) : newConnection;
    long usedNanos = idlest.lastUsedNanos();
    if (idlest != newConnection) {
      // A handover may wait in its socket, and would be lost with it.
      idlest.readNow();
    }
    // What was read just now has to be answered, or is answered and not sent yet.
    if (idlest.lastUsedNanos() == usedNanos && !handler.isInUse(idlest)) {
      idlest.close(CloseReason.OVER_LIMIT);
    }
  }

  private ClientConnection idlestExcept(ClientConnection newConnection) {
    ClientConnection idlest = newConnection;
    for (ClientConnection connection : connections) {
      if (connection != newConnection
          && !handler.isInUse(connection)
          && (idlest == newConnection || connection.lastUsedNanos() < idlest.lastUsedNanos())) {
        idlest = connection;
      }
    }
    return idlest;
  }
}
