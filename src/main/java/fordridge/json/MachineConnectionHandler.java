package fordridge.json;

import fordridge.machine.ConnectFailure;
import fordridge.machine.LoadReport;
import fordridge.machine.MachineConnection;
import fordridge.machine.VmReportKind;
import fordridge.machine.VmTermination;
import fordridge.model.PlacementAttempt.OutcomeReason;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.socket.SocketChannel;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * One connection to a machine: decodes the machine's messages into events, and writes messages.
 * Confined to the connection's event loop.
 *
 * <p>The table has the next state for each state and event:
 *
 * <pre>
 * state       connected    failed    lost or malformed  closed by the scheduler
 * CONNECTING  ESTABLISHED  CLOSED    CLOSED             CLOSED
 * ESTABLISHED -            -         CLOSED             DRAINING
 * DRAINING    -            -         CLOSED             -
 * CLOSED      -            -         -                  -
 * </pre>
 */
final class MachineConnectionHandler extends LineCodec {
  private enum State {
    CONNECTING,
    ESTABLISHED,
    /**
     * Half-closed by the scheduler: its messages are still reported, but nothing is written, and
     * its end is reported as a close and not as a loss.
     */
    DRAINING,
    /** No further event is reported. */
    CLOSED
  }

  /** How long a half-closed connection waits for the machine to close its side. */
  private static final Duration DRAIN_TIMEOUT = Duration.ofSeconds(1);

  private static final int HEALTHY = 1;

  private static final Map<String, OutcomeReason> OUTCOME_REASONS =
      Map.of(
          "nc", OutcomeReason.INSUFFICIENT_CORES,
          "nm", OutcomeReason.INSUFFICIENT_MEMORY,
          "nq", OutcomeReason.QUEUE_FULL,
          "nh", OutcomeReason.NOT_ELIGIBLE,
          "ev", OutcomeReason.EVICTED,
          "pre", OutcomeReason.PREEMPTED,
          "dr", OutcomeReason.DRAINED);

  private static final Map<String, VmReportKind> VM_REPORT_KINDS =
      Map.of(
          "live", VmReportKind.STARTED,
          "c", VmReportKind.CORE_USAGE,
          "m", VmReportKind.MEMORY_USAGE,
          "s", VmReportKind.SERVICE_LEVEL,
          "p", VmReportKind.MEMORY_PRESSURE);

  private final MachineConnection connection;
  private final ConnectionQuota quota;
  private final MachineClient.Listener listener;
  private Channel channel;
  private State state = State.CONNECTING;
  private boolean failedLocally;
  private boolean isHalfClosed;

  MachineConnectionHandler(
      MachineConnection connection, ConnectionQuota quota, MachineClient.Listener listener) {
    this.connection = connection;
    this.quota = quota;
    this.listener = listener;
  }

  /** Sets the channel; called as soon as it exists, before any of its events. */
  void setChannel(Channel newChannel) {
    channel = newChannel;
  }

  boolean isConnected() {
    return state == State.ESTABLISHED && channel.isActive();
  }

  /** Whether the connection is up and all written output has been sent. */
  boolean isWritable() {
    ChannelOutboundBuffer pending = channel.unsafe().outboundBuffer();
    return isConnected() && pending != null && pending.totalPendingWriteBytes() == 0;
  }

  boolean isConnecting() {
    return state == State.CONNECTING;
  }

  /** Records that the last attempt to connect failed for a reason on the scheduler's own host. */
  void markFailedLocally() {
    failedLocally = true;
  }

  boolean failedLocally() {
    return failedLocally;
  }

  /** Whether the scheduler has closed its side of the connection. */
  boolean isHalfClosed() {
    return isHalfClosed;
  }

  // Transitions

  @Override
  public void channelActive(ChannelHandlerContext ctx) {
    trace(ctx.channel(), "established");
    if (state == State.CONNECTING) {
      state = State.ESTABLISHED;
      listener.connectionEstablished(connection);
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    trace(ctx.channel(), "inactive, state " + state);
    if (state == State.DRAINING) {
      drainEnded(true);
    } else if (state == State.ESTABLISHED) {
      connectionLost("closed by the machine");
    }
  }

  /** The connection could not be established. */
  void connectFailed(ConnectFailure failure) {
    if (state == State.CONNECTING || state == State.ESTABLISHED) {
      state = State.CLOSED;
      listener.connectionFailed(connection, failure);
    }
  }

  @Override
  void malformedInput(String reason) {
    if (state == State.DRAINING) {
      drainEnded(false);
    } else {
      connectionLost(reason);
    }
  }

  private void drainEnded(boolean isReadToEnd) {
    if (state == State.DRAINING) {
      state = State.CLOSED;
      closeChannel();
      listener.connectionClosed(connection, isReadToEnd);
    }
  }

  private void connectionLost(String reason) {
    if (state == State.CONNECTING || state == State.ESTABLISHED) {
      state = State.CLOSED;
      closeChannel();
      listener.connectionLost(connection, reason);
    }
  }

  /**
   * Closes the connection on behalf of the scheduler; an established connection is read to its end.
   */
  void close() {
    if (!channel.isActive()) {
      boolean wasEstablished = state == State.ESTABLISHED;
      state = State.CLOSED;
      closeChannel();
      if (wasEstablished) {
        listener.connectionClosed(connection, false);
      }
      return;
    }
    // The machine may be writing at this moment, and sends each termination notice only once; it
    // would be lost with the connection. So only the scheduler's side is closed, and input is read
    // until the machine closes its side.
    state = State.DRAINING;
    isHalfClosed = true;
    quota.connectionClosing();
    trace(channel, "closing");
    halfClose();
  }

  @SuppressWarnings("FutureReturnValueIgnored") // Failures close the channel; nothing is cancelled.
  private void halfClose() {
    ((SocketChannel) channel).shutdownOutput();
    channel
        .eventLoop()
        .schedule(() -> drainEnded(false), DRAIN_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
  }

  @SuppressWarnings("FutureReturnValueIgnored") // The close future reports the close.
  private void closeChannel() {
    channel.close();
  }

  // Messages

  /**
   * Writes a message, unless the connection is closed or being closed.
   *
   * @return whether the machine may receive the message; if not, the kernel has not taken all of it
   */
  @SuppressWarnings("FutureReturnValueIgnored") // addListener returns the future it is called on.
  boolean write(String type, String id, int code, String description, String... fields) {
    if (!channel.isActive() || state == State.DRAINING) {
      return false;
    }
    ChannelFuture written =
        channel.writeAndFlush(LineCodec.encode(channel, type, id, code, description, fields));
    if (!written.isDone()) {
      written.addListener(
          result -> {
            if (result.isSuccess()) {
              listener.connectionWritable(connection);
            }
          });
      return true;
    }
    return written.isSuccess();
  }

  @Override
  void lineReceived() {
    if (state != State.CLOSED) {
      listener.messageReceived();
    }
  }

  @Override
  void messageReceived(
      String type, String id, Map<String, Object> fields, int code, String description) {
    if (state == State.CLOSED) {
      return;
    }
    boolean answersProbe = type.equals("hb_ok");
    boolean withLoadReport = fields.get("load") instanceof String;
    if (fields.get("load") instanceof String load) {
      listener.loadReported(parseLoadReport(load), answersProbe);
    }
    switch (type) {
      case "up" -> vmAccepted(id, description);
      case "down" -> vmTerminated(id, code, String.valueOf(fields.get("note")));
      case "tell" -> vmReported(id, fields);
      case "hb_ok" -> listener.probeAnswered(connection, code == HEALTHY, withLoadReport);
      case "hb" -> write("hb_ok", id, HEALTHY, null);
      case "ack" -> listener.terminationAcknowledged(connection, id);
      case "wait", "shift" -> {}
      default -> rejectInput("line: field 't' is not a known message type: " + type);
    }
  }

  private void vmAccepted(String vmId, String description) {
    if (description == null) {
      rejectInput("line: field 'd' is missing in an acceptance");
    } else {
      listener.vmAccepted(connection, vmId, description);
    }
  }

  private void vmTerminated(String vmId, int code, String note) {
    TerminationCode cause = TerminationCode.fromCode(code);
    OutcomeReason reason = OUTCOME_REASONS.getOrDefault(note, OutcomeReason.UNSPECIFIED);
    listener.vmTerminated(
        connection,
        new VmTermination(vmId, cause.outcomeIfPending(), cause.outcomeIfRunning(), reason));
  }

  private void vmReported(String vmId, Map<String, Object> fields) {
    String note = String.valueOf(fields.get("note"));
    VmReportKind kind = VM_REPORT_KINDS.getOrDefault(note, VmReportKind.UNKNOWN);
    listener.vmReported(connection, vmId, kind, parseNumber(fields.get("value")));
  }

  /** Parses pairs of name and value, as in {@code x0:12.5;x1:64;utilization:0.3}. */
  private static LoadReport parseLoadReport(String load) {
    Map<String, Double> values = new HashMap<>();
    for (String pair : load.split(";", -1)) {
      int colon = pair.indexOf(':');
      if (colon > 0) {
        values.put(pair.substring(0, colon), parseNumber(pair.substring(colon + 1)));
      }
    }
    return new LoadReport(
        values.getOrDefault("x0", Double.NaN),
        values.getOrDefault("x1", Double.NaN),
        values.getOrDefault("utilization", values.getOrDefault("util", Double.NaN)));
  }

  /** Returns the value as a number, or NaN if it is absent or not a number. */
  private static double parseNumber(Object value) {
    if (value instanceof Number number) {
      return number.doubleValue();
    }
    try {
      return value == null ? Double.NaN : Double.parseDouble(value.toString());
    } catch (NumberFormatException e) {
      return Double.NaN;
    }
  }
}
