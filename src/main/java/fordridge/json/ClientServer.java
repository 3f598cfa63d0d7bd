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
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Accepts client connections and bounds the resources that they use: only a few KiB are read from
 * each per turn of the event loop, so that no connection delays the others; the number of
 * connections is limited; unused ones are closed. Also tracks whether any input is left unread.
 * Confined to the event loop except for the constructor and {@link #listen}.
 */
public final class ClientServer {
  /**
   * Time after which an unused connection is closed; the protocol grants a silent client three
   * seconds.
   */
  private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(2);

  private static final Duration IDLE_CHECK_INTERVAL = Duration.ofMillis(250);
  private static final int ACCEPT_BACKLOG = 1024;

  /**
   * Netty's default for the listening channel; a read cycle that accepts fewer has emptied the
   * accept queue.
   */
  private static final int MAX_ACCEPTS_PER_CYCLE = 16;

  /**
   * A connection with more input than can be read for this long no longer delays decisions; its
   * input is processed as it is read.
   */
  private static final Duration MAX_UNREAD_TIME = Duration.ofSeconds(2);

  /**
   * The receive buffer of each connection, as requested from the system. Larger than the longest
   * line and than a read cycle; without a limit the system lets it grow to megabytes.
   */
  private static final int RECEIVE_BUFFER_BYTES = 1 << 16;

  /**
   * The most input that a socket can hold: Linux doubles the requested size, and lets one segment
   * exceed it.
   */
  private static final long MAX_UNREAD_BYTES = 3L * RECEIVE_BUFFER_BYTES;

  private final EventLoopGroup loop;
  private final EventLoopTimers timers;
  private final ClientRequestHandler handler;
  private final InputMemory inputMemory;
  private final AcceptRetryHandler acceptRetry;
  private int maxConnections;
  private final Set<ClientConnection> connections = new LinkedHashSet<>();

  private final UnreadInputTracker<ClientConnection> unreadInput =
      new UnreadInputTracker<>(MAX_UNREAD_BYTES, MAX_UNREAD_TIME);

  /** The connections accepted since the read of all sockets began. */
  private int acceptedInRead;

  private boolean mayHaveUnaccepted;
  private long readPauseCount;

  /** Connections with written output that is not flushed yet. */
  private final Set<ClientConnection> unflushed = new LinkedHashSet<>();

  private final Map<ClientConnectionCloseReason, Long> closeCounts =
      new EnumMap<>(ClientConnectionCloseReason.class);
  private Channel serverChannel;

  /**
   * Creates a server that does not listen yet, for at most {@code maxConnections} connections.
   *
   * @param inputMemory the bound on incomplete lines of all connections
   */
  public ClientServer(
      EventLoopGroup loop,
      EventLoopTimers timers,
      ClientRequestHandler handler,
      InputMemory inputMemory,
      int maxConnections) {
    this.loop = loop;
    this.timers = timers;
    this.handler = handler;
    this.inputMemory = inputMemory;
    this.maxConnections = maxConnections;
    acceptRetry = new AcceptRetryHandler(timers, this::acceptCycleCompleted);
  }

  /** Starts listening; the future completes once the address is bound. */
  public ChannelFuture listen(InetSocketAddress address) {
    ServerBootstrap bootstrap =
        new ServerBootstrap()
            .group(loop)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
            .option(ChannelOption.SO_REUSEADDR, true)
            .option(ChannelOption.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
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

  /** The address that the server listens on. */
  public InetSocketAddress address() {
    return (InetSocketAddress) serverChannel.localAddress();
  }

  /** Adds a client connection to a channel that needs no socket and no event loop. */
  public static void addEmbeddedConnection(ClientRequestHandler handler, ChannelPipeline pipeline) {
    InputMemory unbounded = new InputMemory(Long.MAX_VALUE);
    ClientConnection connection =
        new ClientConnection(new ClientServer(null, null, handler, unbounded, 1));
    connection.addTo(pipeline, unbounded);
    connection.channelActive(pipeline.firstContext());
  }

  /** Flushes the output that was written in this turn of the event loop. */
  public void flush() {
    while (!unflushed.isEmpty()) {
      unflushed.iterator().next().flush();
    }
  }

  /** Changes the maximum number of connections; it applies from the next new connection on. */
  public void setMaxConnections(int newMaxConnections) {
    maxConnections = newMaxConnections;
  }

  /** Starts a read of all input that has arrived; it takes one or more passes. */
  public void startRead() {
    acceptedInRead = 0;
    unreadInput.startRead();
  }

  /** Starts a pass over all ready sockets. */
  public void startReadPass() {
    mayHaveUnaccepted = false;
    unreadInput.startPass();
  }

  /**
   * Whether, after the last pass, connections may be waiting to be accepted or input to be read
   * that had arrived when the read was started.
   */
  public boolean hasUnreadInput() {
    boolean needsPass = unreadInput.needsPass(System.nanoTime());
    return needsPass || (mayHaveUnaccepted && acceptedInRead < ACCEPT_BACKLOG);
  }

  private void acceptCycleCompleted(int accepted) {
    acceptedInRead += accepted;
    mayHaveUnaccepted = accepted >= MAX_ACCEPTS_PER_CYCLE;
  }

  /** How long the connection has had unread input. */
  Duration unreadFor(ClientConnection connection) {
    return unreadInput.unreadFor(connection, System.nanoTime());
  }

  /**
   * Whether the system fails to accept connections that may be waiting; false once it has failed
   * for {@link #MAX_UNREAD_TIME}.
   */
  public boolean isAcceptFailing() {
    return acceptRetry.isRefused(MAX_UNREAD_TIME);
  }

  /**
   * The number of times that a connection had unread input for {@link #MAX_UNREAD_TIME} and so no
   * longer delayed decisions.
   */
  public long unreadTooLongCount() {
    return unreadInput.tooLongCount();
  }

  /**
   * The number of times that a connection was not read for a while, as it sent too many messages
   * without effect.
   */
  public long readPauseCount() {
    return readPauseCount;
  }

  /** A connection is not read for a while. */
  void readingPaused(ClientConnection connection) {
    readPauseCount++;
    unreadInput.remove(connection);
  }

  /**
   * Records a read cycle. A connection that is closed or no longer read counts as read to its end.
   */
  void readCycleCompleted(ClientConnection connection, int bytes, boolean isReadToEnd) {
    if (isReadToEnd || !connection.isReadingEnabled() || !connections.contains(connection)) {
      unreadInput.remove(connection);
    } else {
      unreadInput.cycleEndedEarly(connection, bytes, System.nanoTime());
    }
  }

  /** A connection is no longer read. */
  void readingStopped(ClientConnection connection) {
    unreadInput.remove(connection);
  }

  /** Whether any connection has written output that is not sent yet. */
  public boolean hasPendingOutput() {
    for (ClientConnection connection : connections) {
      if (connection.pendingOutputBytes() > 0) {
        return true;
      }
    }
    return false;
  }

  /** The number of times since the start that the system failed to accept a connection. */
  public long acceptFailureCount() {
    return acceptRetry.failureCount();
  }

  /** The number of connections closed since the start, by reason. */
  public Map<ClientConnectionCloseReason, Long> closeCounts() {
    return closeCounts;
  }

  /** The number of open connections. */
  public int connectionCount() {
    return connections.size();
  }

  /**
   * Stops listening, stops reading from all clients, and shuts down the output to them. Output that
   * was written before still arrives; it might not if a connection were closed while it has unread
   * input. No request may be pending.
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
      connection.close(ClientConnectionCloseReason.SHUTDOWN);
    }
  }

  @SuppressWarnings("FutureReturnValueIgnored") // Nothing depends on the end of the close.
  private void closeServerChannel() {
    serverChannel.close();
  }

  /** The bound on incomplete lines of all clients. */
  InputMemory inputMemory() {
    return inputMemory;
  }

  ClientRequestHandler handler() {
    return handler;
  }

  EventLoopTimers timers() {
    return timers;
  }

  void connectionOpened(ClientConnection connection) {
    connections.add(connection);
    // The last iteration closes the new connection itself: after a reload with a lower limit, more
    // connections may be in use than the limit allows.
    for (int tries = connections.size(); isOverLimitWith(connection); tries--) {
      closeIdlestConnection(connection, tries > 0);
    }
    // Read only now: requests that are read have to be answered, and the new connection may have
    // been closed above.
    if (connections.contains(connection)) {
      connection.readNow();
    }
  }

  private boolean isOverLimitWith(ClientConnection newConnection) {
    return connections.size() > maxConnections && connections.contains(newConnection);
  }

  /** Reports a close to the handler; only the first call for each connection has an effect. */
  void connectionClosed(ClientConnection connection, ClientConnectionCloseReason reason) {
    unreadInput.remove(connection);
    if (connections.remove(connection)) {
      closeCounts.merge(reason, 1L, Long::sum);
      handler.connectionClosed(connection);
    }
  }

  void flushLater(ClientConnection connection) {
    unflushed.add(connection);
  }

  /** Removes the connection from those to be flushed; returns whether it had anything to flush. */
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
    // If the loop was delayed, a request may have been waiting for long: the sockets are read
    // first.
    if (!idle.isEmpty()) {
      timers.runAfter(Duration.ZERO, () -> closeIfStillIdle(idle));
    }
  }

  private void closeIfStillIdle(List<ClientConnection> candidates) {
    for (ClientConnection connection : candidates) {
      if (isIdle(connection)) {
        connection.close(ClientConnectionCloseReason.IDLE);
      }
    }
  }

  private boolean isIdle(ClientConnection connection) {
    return System.nanoTime() - connection.lastUsedNanos() > IDLE_TIMEOUT.toNanos()
        && !connection.isReadingPaused()
        && !handler.isInUse(connection);
  }

  /**
   * Closes the connection that has been idle longest, unless reading its socket shows that it is in
   * use; closes the new connection if all others are in use.
   */
  private void closeIdlestConnection(ClientConnection newConnection, boolean mayCloseOthers) {
    ClientConnection idlest = mayCloseOthers ? idlestExcept(newConnection) : newConnection;
    long usedNanos = idlest.lastUsedNanos();
    if (idlest != newConnection) {
      // A handover may be waiting in the socket and would be lost with the connection.
      idlest.readNow();
    }
    // If it was used just now, a request that was read has to be answered, or its response is not
    // sent yet.
    if (idlest.lastUsedNanos() == usedNanos && !handler.isInUse(idlest)) {
      idlest.close(ClientConnectionCloseReason.OVER_LIMIT);
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
