package fordridge.jsonl;

import fordridge.link.Trunk;
import fordridge.state.Claim;
import fordridge.state.Claim.End;
import fordridge.state.Claim.Why;
import fordridge.state.Vm;
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

/** The connections to one machine. It hands over what is said on each, and writes what the trunk wants written. */
public final class MachineLine implements Trunk.Line {
    /** Whom the connections tell; on the placer's loop, in the order of the sockets. */
    public interface Heard {
        /** Any whole line. */
        void line();

        void connected(Trunk.Connection s);

        void failed(Trunk.Connection s, boolean refused);

        void broke(Trunk.Connection s, String why);

        void stands(Trunk.Connection s, String vm, String description);

        void ended(Trunk.Connection s, String vm, End before, End after, Why why);

        void probed(Trunk.Connection s, boolean ok, boolean told);

        void note(String vm, String what, double amount);

        void report(Map<String, Double> values, boolean answersProbe);
    }

    /** How many connections there may be, over all machines. */
    public static final class Share {
        private int most;
        private int open;
        /** Of these, closed from here and read to their end. */
        private int leaving;

        public Share(int most) {
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

    private final class Wire extends Lines {
        final Trunk.Connection connection;
        Channel channel;
        boolean up;
        /** Nothing more is to be concluded of it as a connection. */
        boolean over;
        /** Closed from here, and read to its end. */
        boolean leaving;

        Wire(Trunk.Connection connection) {
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
                    Why why = WHYS.getOrDefault(String.valueOf(fields.get("note")), Why.UNTOLD);
                    heard.ended(connection, id, before(cause), after(cause), why);
                }
                case "tell" -> heard.note(id, String.valueOf(fields.get("note")),
                        fields.get("value") instanceof Number n ? n.doubleValue() : number(fields.get("value")));
                case "hb_ok" -> heard.probed(connection, cause == 1, fields.get("load") instanceof String);
                case "hb" -> write("hb_ok", id, 1, null);
                case "wait", "ack", "shift" -> { }
                default -> spoilt("line: field 't' is not a known word");
            }
        }

        void write(String type, String id, int cause, String description, String... fields) {
            if (channel.isActive() && !leaving) {
                channel.writeAndFlush(Lines.line(channel, type, id, cause, description, fields),
                        channel.voidPromise());
            }
        }
    }

    private static final Map<String, Why> WHYS = Map.of("nc", Why.NO_CORES, "nm", Why.NO_MEMORY, "nq", Why.LINE_FULL,
            "nh", Why.NOT_HERE, "ev", Why.EVICTED, "pre", Why.PUSHED_OUT, "dr", Why.SENT_AWAY);

    private static final Duration LINGERS = Duration.ofMillis(1000);

    private final EventLoopGroup loop;
    private final Share share;
    private Duration timeout;
    private final Heard heard;
    private final Function<Vm, Carried> carried;
    private InetSocketAddress address;
    private long probes;

    public MachineLine(EventLoopGroup loop, Share share, Duration timeout, Function<Vm, Carried> carried, Heard heard) {
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
    private static End before(int cause) {
        return switch (cause) {
            case 34 -> End.FULL;
            case 47 -> End.ERROR;
            case 102 -> End.MOOT;
            default -> End.RESET;
        };
    }

    /** And as what stands ends by it; null for a late word on a set-up that was given up. */
    private static End after(int cause) {
        return switch (cause) {
            case 16 -> End.DONE;
            case 31 -> End.CANCELLED;
            case 34, 47, 102 -> null;
            default -> End.RESET;
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
    public void open(Trunk.Connection s) {
        Wire w = new Wire(s);
        s.wire = w;
        share.open++;
        ChannelFuture f = new Bootstrap().group(loop).channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) (2 * timeout.toMillis()))
                .option(ChannelOption.RECVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(4096).maxMessagesPerRead(1))
                .handler(new ChannelInitializer<NioSocketChannel>() {
                    @Override
                    protected void initChannel(NioSocketChannel ch) {
                        w.into(ch.pipeline());
                    }
                }).connect(address);
        w.channel = f.channel();
        w.channel.closeFuture().addListener(x -> {
            share.open--;
            share.leaving -= w.leaving ? 1 : 0;
        });
        f.addListener(x -> {
            if (!x.isSuccess() && !w.over) {
                w.over = true;
                heard.failed(s, x.cause() instanceof java.net.ConnectException
                        && !(x.cause() instanceof io.netty.channel.ConnectTimeoutException));
            }
        });
    }

    @Override
    public void close(Trunk.Connection s) {
        Wire w = (Wire) s.wire;
        w.over = true;
        if (w.channel.isActive()) {
            // What the machine writes in this moment would be lost with the connection, and a VM's end is told once:
            // so only our side is closed, and the rest is read until the machine closes its own.
            w.leaving = true;
            share.leaving++;
            Lines.trace(w.channel, "closing");
            ((SocketChannel) w.channel).shutdownOutput();
            w.channel.eventLoop().schedule(() -> w.channel.close(), LINGERS.toMillis(), TimeUnit.MILLISECONDS);
        } else {
            w.channel.close();
        }
    }

    @Override
    public void setUp(Trunk.Connection s, Claim claim, Duration within) {
        Carried c = carried.apply(claim.vm);
        ((Wire) s.wire).write("new", claim.vm.id, -1, c.description, "class", claim.vm.flavour, "key", c.key, "idem", c.token,
                "left", Long.toString(Math.max(1, within.toMillis())));
    }

    @Override
    public void giveUp(Trunk.Connection s, String vm) {
        ((Wire) s.wire).write("down", vm, 16, null);
    }

    @Override
    public void cut(Trunk.Connection s, String vm) {
        ((Wire) s.wire).write("down", vm, 31, null);
    }

    @Override
    public void probe(Trunk.Connection s) {
        ((Wire) s.wire).write("hb", String.format("%016x", ++probes), 1, null);
    }

    /** What is passed on of an ask, byte for byte; the token of a tokened one, or null. */
    public record Carried(String key, String token, String description) { }
}
