package fordridge.json;

import fordridge.eventloop.EventLoopTimers.Timer;
import fordridge.model.Durations;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.nio.AbstractNioChannel;
import io.netty.channel.socket.SocketChannel;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Map;

/**
 * One client's connection: decodes its lines into calls of the {@link ClientRequestHandler}, and
 * encodes responses as lines. Confined to the event loop.
 *
 * <p>What is written is flushed at the end of the event loop's turn, see {@link
 * ClientServer#flush}.
 */
public final class ClientConnection extends LineCodec {
  /**
   * The time between {@link #closeAfterResponse} and the close, in which written output can arrive.
   */
  private static final Duration CLOSE_DELAY = Duration.ofMillis(500);

  /**
   * The maximum output that is not sent because the client does not read; a connection with more is
   * closed. Input is read until then: otherwise the scheduler would not notice that the client
   * closed the connection, and would go on offering its requests to machines.
   */
  private static final int MAX_PENDING_OUTPUT_BYTES = 4 * MAX_LINE_BYTES;

  private final ClientServer server;
  private Channel channel;
  private long lastUsedNanos = System.nanoTime();
  private boolean isReadingStopped;

  /** The timer of {@link #closeAfterResponse}; null if the close is not scheduled. */
  private Timer closeTimer;

  /** The timer after which reading is resumed; null if reading is not paused. */
  private Timer readTimer;

  /** When reading was paused, until the input is read to its end again; else null. */
  private Duration pausedSince;

  /** Whether the handler has to be told once the input is read to its end. */
  private boolean mustReportDelayedInputRead;

  private final IneffectiveMessageLimit ineffectiveMessages = new IneffectiveMessageLimit(clock());

  ClientConnection(ClientServer server) {
    this.server = server;
  }

  /** Adds this connection to a channel's pipeline, behind the handler that tracks its reads. */
  void addWithReadProgressTo(ChannelPipeline pipeline) {
    pipeline.addLast(new ReadProgress(this::readCycleCompleted));
    addTo(pipeline, server.inputMemory());
  }

  /**
   * Reads the input that has arrived, without waiting for the event loop to get to this connection.
   */
  void readNow() {
    if (channel instanceof AbstractNioChannel nioChannel
        && channel.isActive()
        && isReadingEnabled()) {
      nioChannel.unsafe().read();
    }
  }

  /**
   * How long this connection has had more input than could be read: a message that is read now may
   * have waited for that long.
   */
  public Duration unreadFor() {
    Duration paused = pausedSince == null ? Duration.ZERO : clock().minus(pausedSince);
    return Durations.max(server.unreadFor(this), paused);
  }

  /** The client's port, for logs; zero if there is none. */
  public int remotePort() {
    return channel != null && channel.remoteAddress() instanceof InetSocketAddress address
        ? address.getPort()
        : 0;
  }

  /** Whether input from the client is still processed. */
  boolean isReadingEnabled() {
    return !isReadingStopped && readTimer == null;
  }

  /** Whether input is not read for a while, as too many messages had no effect. */
  boolean isReadingPaused() {
    return readTimer != null;
  }

  /**
   * Whether input is left unread because reading was paused: a close may be waiting behind it. True
   * from the pause until the input has been read to its end.
   */
  public boolean isInputDelayed() {
    return pausedSince != null;
  }

  /** A message on this connection had no effect; too many of them are not read at full speed. */
  public void countIneffectiveMessage() {
    ineffectiveMessages.recordMessage();
  }

  /** As {@link #countIneffectiveMessage}, for a placement request that could not be placed. */
  public void countIneffectiveRequest() {
    ineffectiveMessages.recordRequest();
  }

  private void readCycleCompleted(int bytes, boolean isReadToEnd) {
    if (isReadToEnd) {
      pausedSince = null;
    }
    server.readCycleCompleted(this, bytes, isReadToEnd);
  }

  private void pauseReadingIfFlooded() {
    Duration pause = ineffectiveMessages.takePause(clock());
    if (!pause.isZero() && isReadingEnabled()) {
      pausedSince = pausedSince == null ? clock() : pausedSince;
      mustReportDelayedInputRead = true;
      channel.config().setAutoRead(false);
      readTimer = server.timers().runAfter(pause, this::resumeReading);
      server.readingPaused(this);
    }
  }

  private static Duration clock() {
    return Duration.ofNanos(System.nanoTime());
  }

  private void resumeReading() {
    readTimer = null;
    if (!isReadingStopped) {
      channel.config().setAutoRead(true);
      // Even if nothing has arrived: it is known then that the client has not left.
      readNow();
    }
  }

  private void reportDelayedInputRead() {
    if (mustReportDelayedInputRead && !isInputDelayed()) {
      mustReportDelayedInputRead = false;
      server.handler().delayedInputRead(this);
    }
  }

  @Override
  public void channelActive(ChannelHandlerContext ctx) {
    channel = ctx.channel();
    server.connectionOpened(this);
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    if (closeTimer != null) {
      closeTimer.cancel();
    }
    if (readTimer != null) {
      readTimer.cancel();
    }
    server.connectionClosed(this, ClientConnectionCloseReason.BY_CLIENT);
  }

  @Override
  public void channelReadComplete(ChannelHandlerContext ctx) {
    flush();
    if (server.timers() != null) {
      pauseReadingIfFlooded();
    }
    reportDelayedInputRead();
    ctx.fireChannelReadComplete();
  }

  @Override
  void messageReceived(
      String type, String id, Map<String, Object> fields, int code, String description) {
    if (isReadingStopped) {
      return;
    }
    ClientRequestHandler handler = server.handler();
    switch (type) {
      case "new" -> {
        markUsed();
        handler.placementRequested(this, ClientRequest.of(id, fields, description));
      }
      case "down" -> handler.terminationRequested(this, id);
      case "hb" -> {
        countIneffectiveMessage();
        write("hb_ok", id, handler.isReady() ? 1 : 0, null);
      }
      case "ack" -> handler.terminationAcknowledged(this, id);
      case "tell", "wait", "hb_ok", "shift" -> countIneffectiveMessage();
      default -> rejectInput("line: field 't' is not a known message type: " + type);
    }
  }

  @Override
  void malformedInput(String reason) {
    if (!channel.isActive()) {
      close(ClientConnectionCloseReason.BY_CLIENT);
      return;
    }
    server.handler().malformedInputReceived(this);
    closeAfterResponse(ClientConnectionCloseReason.MALFORMED_INPUT);
  }

  /** Sends that the VM was accepted; the description is the one that its machine sent. */
  public void sendAccepted(String vmId, String description) {
    write("up", vmId, NO_CODE, description);
  }

  /**
   * Sends that the request was rejected; it may be retried after {@code retryAfter}, which is left
   * out if it is zero.
   */
  public void sendRejected(String vmId, Duration retryAfter) {
    String waitMillis = retryAfter.isZero() ? null : Long.toString(retryAfter.toMillis());
    write("down", vmId, TerminationCode.REJECTED.code(), null, "wait", waitMillis);
  }

  /** Sends that the request failed or that the VM terminated. */
  public void sendTerminated(String vmId, TerminationCode cause) {
    write("down", vmId, cause.code(), null);
  }

  /** Sends that the VM is being stopped and that its client has to request it again. */
  public void sendMigration(String vmId) {
    write("shift", vmId, NO_CODE, null);
  }

  /** Sends that the client's termination of a running VM is being carried out. */
  public void sendTerminationAccepted(String vmId) {
    write("ack", vmId, NO_CODE, null);
  }

  /**
   * Stops reading, and closes the connection after a delay in which written output can arrive. No
   * request of the connection may be pending at the close.
   */
  public void closeAfterResponse(ClientConnectionCloseReason reason) {
    if (!isReadingStopped && channel != null) {
      isReadingStopped = true;
      channel.config().setAutoRead(false);
      server.readingStopped(this);
      closeTimer = server.timers().runAfter(CLOSE_DELAY, () -> close(reason));
    }
  }

  /** Stops reading, and shuts down the output after what was written. */
  @SuppressWarnings("FutureReturnValueIgnored") // Failures close the channel.
  void finishOutput() {
    if (channel instanceof SocketChannel socket && channel.isActive()) {
      isReadingStopped = true;
      channel.config().setAutoRead(false);
      server.readingStopped(this);
      socket.shutdownOutput();
    }
  }

  /** Closes the connection; the handler is notified before this returns. */
  public void close(ClientConnectionCloseReason reason) {
    if (channel != null) {
      // Reported here and not only in channelInactive, which the loop calls later: in a flood of
      // new connections the same connection would be chosen to be closed again and again.
      server.connectionClosed(this, reason);
      closeChannel();
    }
  }

  @SuppressWarnings("FutureReturnValueIgnored") // channelInactive reports the close.
  private void closeChannel() {
    channel.close();
  }

  @SuppressWarnings("FutureReturnValueIgnored") // A void promise: failures reach exceptionCaught.
  private void write(String type, String id, int code, String description, String... fields) {
    if (channel == null) {
      return;
    }
    if (!channel.isActive()) {
      // Closed, but channelInactive was not called yet. Reported now, as what was to be sent on
      // this connection has to go to another one at once.
      server.connectionClosed(this, ClientConnectionCloseReason.BY_CLIENT);
      return;
    }
    ByteBuf line = encode(channel, type, id, code, description, fields);
    markUsed();
    channel.write(line, channel.voidPromise());
    server.flushLater(this);
    if (pendingOutputBytes() > MAX_PENDING_OUTPUT_BYTES) {
      flush();
    }
  }

  void flush() {
    if (server.cancelFlush(this)) {
      channel.flush();
      if (pendingOutputBytes() > MAX_PENDING_OUTPUT_BYTES) {
        close(ClientConnectionCloseReason.OUTPUT_NOT_READ);
      }
    }
  }

  /**
   * The written output that is not sent yet, as the client does not read it; zero once the channel
   * is closed.
   */
  long pendingOutputBytes() {
    ChannelOutboundBuffer pending = channel.unsafe().outboundBuffer();
    return pending == null ? 0 : pending.totalPendingWriteBytes();
  }

  private void markUsed() {
    lastUsedNanos = System.nanoTime();
  }

  /**
   * When a request was last received or a message last written, on the clock of {@link
   * System#nanoTime}.
   */
  long lastUsedNanos() {
    return lastUsedNanos;
  }
}
