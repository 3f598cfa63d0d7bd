package fordridge.json;

import fordridge.machine.LoadReport;
import fordridge.machine.MachineConnection;
import fordridge.machine.MachineTransport;
import fordridge.machine.VmReportKind;
import fordridge.machine.VmTermination;
import fordridge.model.PlacementAttempt;
import fordridge.model.PlacementAttempt.OutcomeReason;
import fordridge.model.Vm;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

/**
 * The connections to one machine. It hands over what is said on each, and writes what the trunk
 * wants written.
 */
public final class MachineClient implements MachineTransport {
  /** Receives what the machine sends; on the event loop, in the order of the sockets. */
  public interface Listener {
    /** A whole line came, whatever it says. */
    void messageReceived();

    void connectionEstablished(MachineConnection connection);

    void connectionFailed(MachineConnection connection, boolean refused);

    void connectionLost(MachineConnection connection, String reason);

    void vmAccepted(MachineConnection connection, String vmId, String description);

    void vmTerminated(MachineConnection connection, VmTermination termination);

    void probeAnswered(MachineConnection connection, boolean healthy, boolean withLoadReport);

    /** The value is NaN where the line has none that is a number. */
    void vmReported(MachineConnection connection, String vmId, VmReportKind kind, double value);

    void loadReported(LoadReport report, boolean answersProbe);
  }

  private final class ConnectionHandler extends LineCodec {
    final MachineConnection connection;
    Channel channel;
    boolean up;

    /** Nothing more is to be concluded of it as a connection. */
    boolean over;

    /** Closed from here, and read to its end. */
    boolean leaving;

    ConnectionHandler(MachineConnection connection) {
      this.connection = connection;
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
      trace(ctx.channel(), "up");
      if (!over) {
        up = true;
        heard.connectionEstablished(connection);
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      trace(ctx.channel(), "inactive, closed by " + (over ? "us" : "the machine"));
      if (up) {
        ends("closed by the machine");
      }
    }

    void ends(String why) {
      if (!over) {
        over = true;
        channel.close();
        heard.connectionLost(connection, why);
      }
    }

    @Override
    void lineReceived() {
      if (!over || leaving) {
        heard.messageReceived();
      }
    }

    @Override
    void malformedInput(String why) {
      ends(why);
    }

    @Override
    void messageReceived(
        String type, String id, Map<String, Object> fields, int cause, String description) {
      if (over && !leaving) {
        return;
      }
      boolean answersProbe = type.equals("hb_ok");
      if (fields.get("load") instanceof String load) {
        Map<String, Double> values = new HashMap<>();
        for (String part : load.split(";")) {
          int colon = part.indexOf(':');
          if (colon > 0) {
            values.put(part.substring(0, colon), number(part.substring(colon + 1)));
          }
        }
        heard.loadReported(loadReport(values), answersProbe);
      }
      switch (type) {
        case "up" -> {
          if (description == null) {
            rejectInput("an answer without a description");
          } else {
            heard.vmAccepted(connection, id, description);
          }
        }
        case "down" -> {
          write("ack", id, -1, null);
          OutcomeReason why =
              WHYS.getOrDefault(String.valueOf(fields.get("note")), OutcomeReason.UNSPECIFIED);
          TerminationCause termination = TerminationCause.fromCode(cause);
          heard.vmTerminated(
              connection,
              new VmTermination(
                  id, termination.outcomeIfPending(), termination.outcomeIfRunning(), why));
        }
        case "tell" ->
            heard.vmReported(
                connection,
                id,
                VM_REPORT_KINDS.getOrDefault(
                    String.valueOf(fields.get("note")), VmReportKind.UNKNOWN),
                fields.get("value") instanceof Number n
                    ? n.doubleValue()
                    : number(fields.get("value")));
        case "hb_ok" ->
            heard.probeAnswered(connection, cause == 1, fields.get("load") instanceof String);
        case "hb" -> write("hb_ok", id, 1, null);
        case "wait", "ack", "shift" -> {}
        default -> rejectInput("line: field 't' is not a known word");
      }
    }

    void write(String type, String id, int cause, String description, String... fields) {
      if (channel.isActive() && !leaving) {
        channel.writeAndFlush(
            LineCodec.encode(channel, type, id, cause, description, fields), channel.voidPromise());
      }
    }
  }

  private static final Map<String, OutcomeReason> WHYS =
      Map.of(
          "nc",
          OutcomeReason.INSUFFICIENT_CORES,
          "nm",
          OutcomeReason.INSUFFICIENT_MEMORY,
          "nq",
          OutcomeReason.QUEUE_FULL,
          "nh",
          OutcomeReason.NOT_ELIGIBLE,
          "ev",
          OutcomeReason.EVICTED,
          "pre",
          OutcomeReason.PREEMPTED,
          "dr",
          OutcomeReason.DRAINED);

  private static final Map<String, VmReportKind> VM_REPORT_KINDS =
      Map.of(
          "live", VmReportKind.STARTED,
          "c", VmReportKind.CORE_USAGE,
          "m", VmReportKind.MEMORY_USAGE,
          "s", VmReportKind.SERVICE_LEVEL,
          "p", VmReportKind.MEMORY_PRESSURE);

  private static final Duration LINGERS = Duration.ofMillis(1000);

  private final EventLoopGroup loop;
  private final ConnectionQuota share;
  private Duration timeout;
  private final Listener heard;
  private final Function<Vm, RequestPayload> carried;
  private InetSocketAddress address;
  private long probes;

  public MachineClient(
      EventLoopGroup loop,
      ConnectionQuota share,
      Duration timeout,
      Function<Vm, RequestPayload> carried,
      Listener heard) {
    this.loop = loop;
    this.share = share;
    this.timeout = timeout;
    this.carried = carried;
    this.heard = heard;
  }

  /** How long the next connections may take to come up. */
  public void setConnectTimeout(Duration next) {
    timeout = next;
  }

  /** Where the next connections go. */
  public void setAddress(InetSocketAddress at) {
    address = at;
  }

  private static LoadReport loadReport(Map<String, Double> values) {
    return new LoadReport(
        values.getOrDefault("x0", Double.NaN),
        values.getOrDefault("x1", Double.NaN),
        values.getOrDefault("utilization", values.getOrDefault("util", Double.NaN)));
  }

  private static double number(Object text) {
    try {
      return text == null ? Double.NaN : Double.parseDouble(text.toString());
    } catch (NumberFormatException e) {
      return Double.NaN;
    }
  }

  @Override
  public boolean canOpen() {
    return address != null && !share.isExhausted();
  }

  @Override
  public void open(MachineConnection s) {
    ConnectionHandler w = new ConnectionHandler(s);
    s.attach(w);
    share.connectionOpened();
    ChannelFuture f =
        new Bootstrap()
            .group(loop)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) (2 * timeout.toMillis()))
            .option(
                ChannelOption.RECVBUF_ALLOCATOR,
                new FixedRecvByteBufAllocator(4096).maxMessagesPerRead(1))
            .handler(
                new ChannelInitializer<NioSocketChannel>() {
                  @Override
                  protected void initChannel(NioSocketChannel ch) {
                    w.addTo(ch.pipeline());
                  }
                })
            .connect(address);
    w.channel = f.channel();
    w.channel.closeFuture().addListener(x -> share.connectionClosed(w.leaving));
    f.addListener(
        x -> {
          if (!x.isSuccess() && !w.over) {
            w.over = true;
            heard.connectionFailed(
                s,
                x.cause() instanceof java.net.ConnectException
                    && !(x.cause() instanceof io.netty.channel.ConnectTimeoutException));
          }
        });
  }

  @Override
  public void close(MachineConnection s) {
    ConnectionHandler w = (ConnectionHandler) s.attachment();
    w.over = true;
    if (w.channel.isActive()) {
      // What the machine writes in this moment would be lost with the connection, and a VM's end is
      // told once:
      // so only our side is closed, and the rest is read until the machine closes its own.
      w.leaving = true;
      share.connectionClosing();
      LineCodec.trace(w.channel, "closing");
      ((SocketChannel) w.channel).shutdownOutput();
      w.channel
          .eventLoop()
          .schedule(() -> w.channel.close(), LINGERS.toMillis(), TimeUnit.MILLISECONDS);
    } else {
      w.channel.close();
    }
  }

  @Override
  public void requestPlacement(MachineConnection s, PlacementAttempt attempt, Duration within) {
    RequestPayload c = carried.apply(attempt.vm);
    ((ConnectionHandler) s.attachment())
        .write(
            "new",
            attempt.vm.id,
            -1,
            c.description(),
            "class",
            attempt.vm.priorityClass,
            "key",
            c.key(),
            "idem",
            c.idempotencyKey(),
            "left",
            Long.toString(Math.max(1, within.toMillis())));
  }

  @Override
  public void cancel(MachineConnection s, String vm) {
    ((ConnectionHandler) s.attachment()).write("down", vm, TerminationCause.DONE.code(), null);
  }

  @Override
  public void terminate(MachineConnection s, String vm) {
    ((ConnectionHandler) s.attachment()).write("down", vm, TerminationCause.CANCELLED.code(), null);
  }

  @Override
  public void probe(MachineConnection s) {
    ((ConnectionHandler) s.attachment()).write("hb", String.format("%016x", ++probes), 1, null);
  }
}
