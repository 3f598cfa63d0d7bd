package fordridge.json;

import fordridge.machine.MachineConnectionPool;
import fordridge.model.PlacementAttempt;
import fordridge.model.PlacementAttempt.Outcome;
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
public final class MachineClient implements MachineConnectionPool.Transport {
  /** Whom the connections tell; on the placer's loop, in the order of the sockets. */
  public interface Listener {
    /** Any whole line. */
    void line();

    void connected(MachineConnectionPool.Connection s);

    void failed(MachineConnectionPool.Connection s, boolean refused);

    void broke(MachineConnectionPool.Connection s, String why);

    void stands(MachineConnectionPool.Connection s, String vm, String description);

    void ended(
        MachineConnectionPool.Connection s,
        String vm,
        Outcome before,
        Outcome after,
        OutcomeReason why);

    void probed(MachineConnectionPool.Connection s, boolean ok, boolean told);

    void note(MachineConnectionPool.Connection s, String vm, String what, double amount);

    void report(Map<String, Double> values, boolean answersProbe);
  }

  /** How many connections there may be, over all machines. */
  public static final class ConnectionQuota {
    private int most;
    private int open;

    /** Of these, closed from here and read to their end. */
    private int leaving;

    public ConnectionQuota(int most) {
      this.most = most;
    }

    public void most(int next) {
      most = next;
    }

    public int most() {
      return most;
    }

    public int open() {
      return open;
    }

    /** Those that go on being used. */
    public int staying() {
      return open - leaving;
    }
  }

  private final class ConnectionHandler extends LineCodec {
    final MachineConnectionPool.Connection connection;
    Channel channel;
    boolean up;

    /** Nothing more is to be concluded of it as a connection. */
    boolean over;

    /** Closed from here, and read to its end. */
    boolean leaving;

    ConnectionHandler(MachineConnectionPool.Connection connection) {
      this.connection = connection;
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
      trace(ctx.channel(), "up");
      if (!over) {
        up = true;
        heard.connected(connection);
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
        heard.broke(connection, why);
      }
    }

    @Override
    void heard() {
      if (!over || leaving) {
        heard.line();
      }
    }

    @Override
    void unreadable(String why) {
      ends(why);
    }

    @Override
    void said(String type, String id, Map<String, Object> fields, int cause, String description) {
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
        heard.report(values, answersProbe);
      }
      switch (type) {
        case "up" -> {
          if (description == null) {
            spoilt("an answer without a description");
          } else {
            heard.stands(connection, id, description);
          }
        }
        case "down" -> {
          write("ack", id, -1, null);
          OutcomeReason why =
              WHYS.getOrDefault(String.valueOf(fields.get("note")), OutcomeReason.UNSPECIFIED);
          heard.ended(connection, id, before(cause), after(cause), why);
        }
        case "tell" ->
            heard.note(
                connection,
                id,
                String.valueOf(fields.get("note")),
                fields.get("value") instanceof Number n
                    ? n.doubleValue()
                    : number(fields.get("value")));
        case "hb_ok" -> heard.probed(connection, cause == 1, fields.get("load") instanceof String);
        case "hb" -> write("hb_ok", id, 1, null);
        case "wait", "ack", "shift" -> {}
        default -> spoilt("line: field 't' is not a known word");
      }
    }

    void write(String type, String id, int cause, String description, String... fields) {
      if (channel.isActive() && !leaving) {
        channel.writeAndFlush(
            LineCodec.line(channel, type, id, cause, description, fields), channel.voidPromise());
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
  public void timeout(Duration next) {
    timeout = next;
  }

  /** Where the next connections go. */
  public void address(InetSocketAddress at) {
    address = at;
  }

  /** Each cause as a set-up ends by it. */
  private static Outcome before(int cause) {
    return switch (cause) {
      case 34 -> Outcome.FULL;
      case 47 -> Outcome.ERROR;
      case 102 -> Outcome.NOT_SENT;
      default -> Outcome.RESET;
    };
  }

  /** And as what stands ends by it; null for a late word on a set-up that was given up. */
  private static Outcome after(int cause) {
    return switch (cause) {
      case 16 -> Outcome.DONE;
      case 31 -> Outcome.CANCELLED;
      case 34, 47, 102 -> null;
      default -> Outcome.RESET;
    };
  }

  private static double number(Object text) {
    try {
      return text == null ? Double.NaN : Double.parseDouble(text.toString());
    } catch (NumberFormatException e) {
      return Double.NaN;
    }
  }

  @Override
  public boolean mayOpen() {
    return address != null && share.open < share.most;
  }

  @Override
  public void open(MachineConnectionPool.Connection s) {
    ConnectionHandler w = new ConnectionHandler(s);
    s.wire = w;
    share.open++;
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
                    w.into(ch.pipeline());
                  }
                })
            .connect(address);
    w.channel = f.channel();
    w.channel
        .closeFuture()
        .addListener(
            x -> {
              share.open--;
              share.leaving -= w.leaving ? 1 : 0;
            });
    f.addListener(
        x -> {
          if (!x.isSuccess() && !w.over) {
            w.over = true;
            heard.failed(
                s,
                x.cause() instanceof java.net.ConnectException
                    && !(x.cause() instanceof io.netty.channel.ConnectTimeoutException));
          }
        });
  }

  @Override
  public void close(MachineConnectionPool.Connection s) {
    ConnectionHandler w = (ConnectionHandler) s.wire;
    w.over = true;
    if (w.channel.isActive()) {
      // What the machine writes in this moment would be lost with the connection, and a VM's end is
      // told once:
      // so only our side is closed, and the rest is read until the machine closes its own.
      w.leaving = true;
      share.leaving++;
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
  public void setUp(MachineConnectionPool.Connection s, PlacementAttempt attempt, Duration within) {
    RequestPayload c = carried.apply(attempt.vm);
    ((ConnectionHandler) s.wire)
        .write(
            "new",
            attempt.vm.id,
            -1,
            c.description,
            "class",
            attempt.vm.priorityClass,
            "key",
            c.key,
            "idem",
            c.token,
            "left",
            Long.toString(Math.max(1, within.toMillis())));
  }

  @Override
  public void giveUp(MachineConnectionPool.Connection s, String vm) {
    ((ConnectionHandler) s.wire).write("down", vm, 16, null);
  }

  @Override
  public void cut(MachineConnectionPool.Connection s, String vm) {
    ((ConnectionHandler) s.wire).write("down", vm, 31, null);
  }

  @Override
  public void probe(MachineConnectionPool.Connection s) {
    ((ConnectionHandler) s.wire).write("hb", String.format("%016x", ++probes), 1, null);
  }

  /** What is passed on of an ask, byte for byte; the token of a tokened one, or null. */
  public record RequestPayload(String key, String token, String description) {}
}
