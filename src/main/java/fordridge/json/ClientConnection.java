package fordridge.json;

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
 * One client's connection: turns its lines into calls of the {@link ClientRequestHandler}, and
 * responses into lines. Confined to the event loop.
 *
 * <p>What is written goes out at the end of the loop's turn, see {@link ClientServer#flush}.
 */
public final class ClientConnection extends LineCodec {
  /** Time between {@link #closeAfterResponse} and the close. */
  private static final Duration CLOSE_DELAY = Duration.ofMillis(500);

  /**
   * Output that the client has not taken in: with more than this the connection is closed. It is
   * read from until then: otherwise a client could not be seen to leave, and its requests would go
   * on being offered to machines.
   */
  private static final int MAX_PENDING_OUTPUT_BYTES = 4 * MAX_LINE_BYTES;

  private final ClientServer server;
  private Channel channel;
  private long lastUsedNanos = System.nanoTime();
  private boolean isReadingStopped;

  ClientConnection(ClientServer server) {
    this.server = server;
  }

  /** Adds this connection to a channel's handlers, behind what watches its reads. */
  void addWithReadProgressTo(ChannelPipeline pipeline) {
    pipeline.addLast(new ReadProgress(isReadToEnd -> server.readCycleCompleted(this, isReadToEnd)));
    addTo(pipeline);
  }

  /** Reads what has come by now, not only when the loop gets to this connection. */
  void readNow() {
    if (channel instanceof AbstractNioChannel nioChannel && channel.isActive() && isReadingEnabled()) {
      nioChannel.unsafe().read();
    }
  }

  /** For how long it has had more input than could be read: what is read now came before. */
  public Duration unreadFor() {
    return server.unreadFor(this);
  }

  /** Its number at the client's host, for logs; zero where it has none. */
  public int remotePort() {
    return channel != null && channel.remoteAddress() instanceof InetSocketAddress address
        ? address.getPort()
        : 0;
  }

  /** Whether what its client sends is still taken in. */
  boolean isReadingEnabled() {
    return !isReadingStopped;
  }

  @Override
  public void channelActive(ChannelHandlerContext ctx) {
    channel = ctx.channel();
    server.connectionOpened(this);
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    server.connectionClosed(this, CloseReason.BY_CLIENT);
  }

  @Override
  public void channelReadComplete(ChannelHandlerContext ctx) {
    flush();
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
      case "hb" -> write("hb_ok", id, handler.isReady() ? 1 : 0, null);
      case "ack" -> handler.terminationAcknowledged(this, id);
      case "tell", "wait", "hb_ok", "shift" -> {}
      default -> rejectInput("line: field 't' is not a known type: " + type);
    }
  }

  @Override
  void malformedInput(String reason) {
    if (!channel.isActive()) {
      close(CloseReason.BY_CLIENT);
      return;
    }
    server.handler().malformedInputReceived(this);
    closeAfterResponse(CloseReason.MALFORMED_INPUT);
  }

  /** The VM runs; the description is the one that its machine gave. */
  public void sendAccepted(String vmId, String description) {
    write("up", vmId, NO_CODE, description);
  }

  /** The request is rejected; it may be repeated after {@code retryAfter}, zero: no advice. */
  public void sendRejected(String vmId, Duration retryAfter) {
    String waitMillis = retryAfter.isZero() ? null : Long.toString(retryAfter.toMillis());
    write("down", vmId, TerminationCause.REJECTED.code(), null, "wait", waitMillis);
  }

  /** The request has failed, or the VM is over. */
  public void sendTerminated(String vmId, TerminationCause cause) {
    write("down", vmId, cause.code(), null);
  }

  /** The VM is being stopped, and its client is to request it anew. */
  public void sendMigration(String vmId) {
    write("shift", vmId, NO_CODE, null);
  }

  /** The client's termination of a running VM is being carried out. */
  public void sendTerminationAccepted(String vmId) {
    write("ack", vmId, NO_CODE, null);
  }

  /**
   * Stops reading, and closes the connection once what was written had time to arrive. No request
   * of the connection may be pending by then.
   */
  public void closeAfterResponse(CloseReason reason) {
    if (!isReadingStopped && channel != null) {
      isReadingStopped = true;
      channel.config().setAutoRead(false);
      server.readCycleCompleted(this, true);
      server.timers().runAfter(CLOSE_DELAY, () -> close(reason));
    }
  }

  /** Stops reading, and ends the output behind what was written. */
  @SuppressWarnings("FutureReturnValueIgnored") // Failures close the channel.
  void finishOutput() {
    if (channel instanceof SocketChannel socket && channel.isActive()) {
      isReadingStopped = true;
      channel.config().setAutoRead(false);
      server.readCycleCompleted(this, true);
      socket.shutdownOutput();
    }
  }

  /** Closes the connection; the handler is told before this returns. */
  public void close(CloseReason reason) {
    if (channel != null) {
      // Not when the loop gets to it: under a flood the same connection would be chosen to make
      // room again and again.
      server.connectionClosed(this, reason);
      closeChannel();
    }
  }

  @SuppressWarnings("FutureReturnValueIgnored") // The end of the close is seen in channelInactive.
  private void closeChannel() {
    channel.close();
  }

  @SuppressWarnings("FutureReturnValueIgnored") // A void promise: failures reach exceptionCaught.
  private void write(String type, String id, int code, String description, String... fields) {
    if (channel == null) {
      return;
    }
    if (!channel.isActive()) {
      // Closed, and the loop has not come to say so: what was to be sent must go elsewhere now.
      server.connectionClosed(this, CloseReason.BY_CLIENT);
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
        close(CloseReason.OUTPUT_NOT_READ);
      }
    }
  }

  /** The output that the client has not taken in; zero once the channel is closed. */
  long pendingOutputBytes() {
    ChannelOutboundBuffer pending = channel.unsafe().outboundBuffer();
    return pending == null ? 0 : pending.totalPendingWriteBytes();
  }

  private void markUsed() {
    lastUsedNanos = System.nanoTime();
  }

  /** When a request came or something was written last. */
  long lastUsedNanos() {
    return lastUsedNanos;
  }
}
