package fordridge.json;

import fordridge.machine.ConnectFailure;
import fordridge.machine.ConnectionTimeouts;
import fordridge.machine.LoadReport;
import fordridge.machine.MachineConnection;
import fordridge.machine.MachineConnectionCloseReason;
import fordridge.machine.MachineTransport;
import fordridge.machine.VmReportKind;
import fordridge.machine.VmTermination;
import fordridge.model.PlacementAttempt;
import fordridge.model.Vm;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

/**
 * The client of one machine on the JSON lines protocol: opens and closes connections to the machine
 * as the {@link fordridge.machine.MachineConnectionPool} decides, and writes messages to it.
 * Confined to its event loop.
 */
public final class MachineClient implements MachineTransport {
  /**
   * Receives the events of a machine's connections; called on the event loop, in the order in which
   * the sockets were read.
   */
  public interface Listener {
    /** A complete line was received, whatever its content. */
    void messageReceived();

    /** The connection was established. */
    void connectionEstablished(MachineConnection connection);

    /** All written output was sent, after some of it had to wait. */
    void connectionWritable(MachineConnection connection);

    /** The connection could not be established. */
    void connectionFailed(MachineConnection connection, ConnectFailure failure);

    /** The connection broke, was closed by the machine, or received malformed input. */
    void connectionLost(MachineConnection connection, String reason);

    /** The scheduler is closing the connection. */
    void connectionClosing(MachineConnection connection, MachineConnectionCloseReason reason);

    /**
     * A connection that the scheduler closed has ended.
     *
     * @param isReadToEnd whether all that the machine wrote to it was received
     */
    void connectionClosed(MachineConnection connection, boolean isReadToEnd);

    /** The machine accepted a VM. */
    void vmAccepted(MachineConnection connection, String vmId, String description);

    /** The machine ended a placement request or a running VM. */
    void vmTerminated(MachineConnection connection, VmTermination termination);

    /** The machine acknowledged the scheduler's request to terminate a VM. */
    void terminationAcknowledged(MachineConnection connection, String vmId);

    /** The machine answered a health check. */
    void probeAnswered(MachineConnection connection, boolean healthy, boolean withLoadReport);

    /** The machine reported on one VM; the value is NaN if it is absent or not a number. */
    void vmReported(MachineConnection connection, String vmId, VmReportKind kind, double value);

    /** The machine reported its load; called before any other event of the same message. */
    void loadReported(LoadReport report, boolean answersProbe);
  }

  private static final int RECEIVE_BUFFER_BYTES = 4096;
  private static final int WITHOUT_LOAD_REPORT = 0;
  private static final int WITH_LOAD_REPORT = 1;
  private static final Duration LOCAL_FAILURE_RETRY_DELAY = Duration.ofMillis(10);

  private final EventLoopGroup eventLoop;
  private final ConnectionQuota quota;
  private final InputMemory inputMemory;
  private final Function<Vm, RequestPayload> payloads;
  private final Listener listener;
  private Duration connectTimeout;
  private InetSocketAddress address;
  private long probesSent;

  /**
   * Creates a client without connections and without an address.
   *
   * @param quota the quota shared by the clients of all machines
   * @param inputMemory the bound on incomplete lines of all machines
   * @param payloads returns the part of a VM's request that is forwarded; called when the request
   *     is written
   */
  public MachineClient(
      EventLoopGroup eventLoop,
      ConnectionQuota quota,
      InputMemory inputMemory,
      Duration connectTimeout,
      Function<Vm, RequestPayload> payloads,
      Listener listener) {
    this.eventLoop = eventLoop;
    this.quota = quota;
    this.inputMemory = inputMemory;
    this.connectTimeout = connectTimeout;
    this.payloads = payloads;
    this.listener = listener;
  }

  /** Sets the timeout for connections that are opened from now on. */
  public void setConnectTimeout(Duration newTimeout) {
    connectTimeout = newTimeout;
  }

  /** Sets the address for connections that are opened from now on. */
  public void setAddress(InetSocketAddress newAddress) {
    address = newAddress;
  }

  /**
   * The address that connections are opened to; null if it is not known, or if another machine has
   * it.
   */
  public InetSocketAddress address() {
    return address;
  }

  @Override
  public boolean canOpen() {
    return address != null && !quota.isExhausted();
  }

  @Override
  public void open(MachineConnection connection) {
    MachineConnectionHandler handler = new MachineConnectionHandler(connection, quota, listener);
    connection.attach(handler);
    connect(handler);
  }

  private void connect(MachineConnectionHandler handler) {
    quota.connectionOpened();
    ChannelFuture connected = bootstrap(handler).connect(address);
    handler.setChannel(connected.channel());
    connected
        .channel()
        .closeFuture()
        .addListener(closed -> quota.connectionClosed(handler.isHalfClosed()));
    connected.addListener(
        result -> {
          if (!result.isSuccess()) {
            connectFailed(handler, result.cause());
          }
        });
  }

  @Override
  public boolean isConnected(MachineConnection connection) {
    return handler(connection).isConnected();
  }

  @Override
  public boolean isWritable(MachineConnection connection) {
    return handler(connection).isWritable();
  }

  @Override
  public boolean failedLocally(MachineConnection connection) {
    return handler(connection).failedLocally();
  }

  /** Acknowledges a termination notice to the machine. */
  public void acknowledge(MachineConnection connection, String vmId) {
    handler(connection).write("ack", vmId, LineCodec.NO_CODE, null);
  }

  @Override
  public void close(MachineConnection connection, MachineConnectionCloseReason reason) {
    listener.connectionClosing(connection, reason);
    handler(connection).close();
  }

  @Override
  public boolean requestPlacement(
      MachineConnection connection, PlacementAttempt attempt, Duration timeLeft) {
    Vm vm = attempt.vm;
    RequestPayload payload = payloads.apply(vm);
    return handler(connection)
        .write(
            "new",
            vm.id,
            LineCodec.NO_CODE,
            payload.description(),
            "class",
            vm.priorityClass,
            "key",
            payload.key(),
            "idem",
            payload.idempotencyKey(),
            "left",
            Long.toString(Math.max(1, timeLeft.toMillis())));
  }

  @Override
  public void cancel(MachineConnection connection, String vmId) {
    handler(connection).write("down", vmId, TerminationCode.DONE.code(), null);
  }

  @Override
  public void terminate(MachineConnection connection, String vmId) {
    handler(connection).write("down", vmId, TerminationCode.CANCELLED.code(), null);
  }

  @Override
  public void probe(MachineConnection connection) {
    sendHealthCheck(connection, WITH_LOAD_REPORT);
  }

  @Override
  public void ping(MachineConnection connection) {
    sendHealthCheck(connection, WITHOUT_LOAD_REPORT);
  }

  private void sendHealthCheck(MachineConnection connection, int code) {
    probesSent++;
    handler(connection).write("hb", String.format("%016x", probesSent), code, null);
  }

  private Bootstrap bootstrap(MachineConnectionHandler handler) {
    // The pool applies its timeouts itself; Netty's own timeout is a fallback.
    int backstopMillis = (int) connectTimeout.plus(ConnectionTimeouts.MAX_CONNECT_TIME).toMillis();
    return new Bootstrap()
        .group(eventLoop)
        .channel(NioSocketChannel.class)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, backstopMillis)
        .option(
            ChannelOption.RECVBUF_ALLOCATOR,
            new FixedRecvByteBufAllocator(RECEIVE_BUFFER_BYTES).maxMessagesPerRead(1))
        .handler(
            new ChannelInitializer<NioSocketChannel>() {
              @Override
              protected void initChannel(NioSocketChannel channel) {
                handler.addTo(channel.pipeline(), inputMemory);
              }
            });
  }

  @SuppressWarnings("FutureReturnValueIgnored") // Nothing waits for the retry.
  private void connectFailed(MachineConnectionHandler handler, Throwable cause) {
    ConnectFailure failure = ConnectFailures.classify(cause);
    if (failure == ConnectFailure.LOCAL && handler.isConnecting()) {
      // Retried until the pool's connect timeout; attempts that wait for the connection keep
      // waiting.
      handler.markFailedLocally();
      eventLoop
          .next()
          .schedule(
              () -> retry(handler), LOCAL_FAILURE_RETRY_DELAY.toMillis(), TimeUnit.MILLISECONDS);
    } else {
      handler.connectFailed(failure);
    }
  }

  private void retry(MachineConnectionHandler handler) {
    if (handler.isConnecting()) {
      connect(handler);
    }
  }

  private static MachineConnectionHandler handler(MachineConnection connection) {
    return (MachineConnectionHandler) connection.attachment();
  }
}
