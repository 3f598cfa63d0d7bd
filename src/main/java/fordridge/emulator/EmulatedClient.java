package fordridge.emulator;

import fordridge.settings.PriorityClassSettings;
import fordridge.v1.Ack;
import fordridge.v1.ClientMessage;
import fordridge.v1.Ended;
import fordridge.v1.Hello;
import fordridge.v1.PlacerMessage;
import fordridge.v1.PlacingGrpc;
import fordridge.v1.Unwant;
import fordridge.v1.Want;
import io.grpc.ManagedChannel;
import io.grpc.netty.NettyChannelBuilder;
import io.grpc.stub.ClientCallStreamObserver;
import io.grpc.stub.ClientResponseObserver;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * A stand-in client: the owner of some VMs, on one stream to one placer, with retries and a resume
 * token.
 */
final class EmulatedClient {
  /** A service and what its VMs ask for. */
  record Service(
      long number,
      PriorityClassSettings priorityClass,
      String tenant,
      ScenarioPlan.Shape shape,
      double lifeSeconds) {}

  /** A VM in its owner's eyes, over all the times that it is asked for. */
  private static final class RequestedVm {
    final String workload;
    final Service service;
    final long firstAskedAt;
    long lifeUs;
    long endsAt;
    int asked;
    String vm;
    long until;
    boolean waits;
    boolean boundOnce;
    long acceptedAt;

    RequestedVm(String workload, Service service, long now, long lifeUs) {
      this.workload = workload;
      this.service = service;
      this.firstAskedAt = now;
      this.lifeUs = lifeUs;
    }
  }

  final String name;
  private final int port;
  private final EventLoop loop;
  private final WireRecorder tap;
  private final ClientOutcomes score;
  private final ScenarioPlan plan;
  private final List<Service> services;
  private final UniformRandomProvider chance;
  private final Map<String, RequestedVm> waiting = new LinkedHashMap<>();
  private final Map<String, RequestedVm> running = new LinkedHashMap<>();
  private final Deque<RequestedVm> unsent = new ArrayDeque<>();
  private ManagedChannel channel;
  private ClientCallStreamObserver<ClientMessage> to;
  private int generation;
  private boolean welcome;
  private boolean wantsStream;
  private String token = "";
  private long seen;
  private long acked;
  private long number;
  private double rate;
  private long connects;
  private int cutsLeft;
  private Duration cutsAway = Duration.ZERO;

  EmulatedClient(
      String name,
      int port,
      EventLoop loop,
      WireRecorder tap,
      ClientOutcomes score,
      ScenarioPlan plan,
      List<Service> services,
      double rate,
      long seed) {
    this.name = name;
    this.port = port;
    this.loop = loop;
    this.tap = tap;
    this.score = score;
    this.plan = plan;
    this.services = services;
    this.rate = rate;
    chance = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
  }

  void act(Runnable what) {
    loop.execute(what);
  }

  // ---- The stream
  // ------------------------------------------------------------------------------------

  void open() {
    wantsStream = true;
    connect();
  }

  private void connect() {
    if (!wantsStream || to != null) {
      return;
    }
    int mine = ++generation;
    if (channel == null) {
      channel =
          NettyChannelBuilder.forAddress("127.0.0.1", port)
              .eventLoopGroup(loop)
              .channelType(NioSocketChannel.class)
              .directExecutor()
              .usePlaintext()
              .disableRetry()
              .build();
    }
    connects++;
    PlacingGrpc.newStub(channel)
        .place(
            new ClientResponseObserver<ClientMessage, PlacerMessage>() {
              @Override
              public void beforeStart(ClientCallStreamObserver<ClientMessage> stream) {
                to = stream;
                stream.setOnReadyHandler(
                    () -> {
                      if (mine == generation) {
                        sendWhileReady();
                      }
                    });
              }

              @Override
              public void onNext(PlacerMessage m) {
                if (mine == generation) {
                  heard(m);
                }
              }

              @Override
              public void onError(Throwable t) {
                broken(mine, t.toString());
              }

              @Override
              public void onCompleted() {
                broken(mine, "completed");
              }
            });
    tap.line(name, "hello", "resume", !token.isEmpty(), "seen", seen);
    write(
        ClientMessage.newBuilder()
            .setHello(Hello.newBuilder().setClient(name).setResumeToken(token).setSeen(seen)));
  }

  private void broken(int which, String why) {
    if (which == generation) {
      to = null;
      welcome = false;
      generation++;
      tap.line(name, "stream-broken", "why", why);
      loop.schedule(this::connect, 20 + chance.nextInt(60), TimeUnit.MILLISECONDS);
    }
  }

  /** Breaks the stream; it comes back after the span and takes its session up again. */
  void cut(Duration away) {
    if (to == null) {
      return;
    }
    ClientCallStreamObserver<ClientMessage> old = to;
    to = null;
    welcome = false;
    generation++;
    tap.line(name, "cut");
    old.cancel("cut", null);
    loop.schedule(this::connect, away.toMillis(), TimeUnit.MILLISECONDS);
  }

  void close() {
    wantsStream = false;
    if (to != null) {
      to.cancel("the day is over", null);
      to = null;
      generation++;
    }
    if (channel != null) {
      channel.shutdownNow();
    }
  }

  private void write(ClientMessage.Builder m) {
    if (to != null) {
      to.onNext(m.build());
    }
  }

  // ---- What it hears
  // ---------------------------------------------------------------------------------

  /** Breaks the stream at the next binds that arrive, before they are taken in or acknowledged. */
  void cutAtBinds(int times, Duration away) {
    cutsLeft = times;
    cutsAway = away;
  }

  private void heard(PlacerMessage m) {
    long t = tap.now();
    if (m.hasBound() && cutsLeft > 0) {
      cutsLeft--;
      cut(cutsAway);
      return;
    }
    if (m.getSeq() > 0) {
      if (m.getSeq() <= seen) {
        tap.line(name, "repeated", "seq", m.getSeq());
        return;
      }
      seen = m.getSeq();
    }
    switch (m.getBodyCase()) {
      case WELCOME -> {
        tap.line(name, "welcome", "resumed", m.getWelcome().getResumed());
        if (!m.getWelcome().getResumed()) {
          seen = 0;
          acked = 0;
        }
        token = m.getWelcome().getResumeToken();
        welcome = true;
        // An ask may have been lost with the stream; its name is known to a placer that did hear
        // it.
        List.copyOf(waiting.values()).forEach(this::write);
        sendWhileReady();
      }
      case BOUND -> bound(m.getBound().getVm(), m.getBound().getMachine(), t);
      case DENIED -> {
        tap.line(name, "denied", "vm", m.getDenied().getVm());
        RequestedVm w = waiting.remove(m.getDenied().getVm());
        if (w != null) {
          score.denied(w.service);
          again(w, Math.max(m.getDenied().getRetryAfterUs(), pause()));
        }
      }
      case ERRORED -> {
        tap.line(name, "errored", "vm", m.getErrored().getVm());
        RequestedVm w = waiting.remove(m.getErrored().getVm());
        if (w != null) {
          score.errored(w.service);
          // A careful owner: what must not run twice and may be running is not asked for again.
          if (w.service.priorityClass.isIdempotent()) {
            again(w, pause());
          }
        }
      }
      case ENDED -> ended(m.getEnded().getVm(), m.getEnded().getHow(), t);
      case MOVED -> {
        tap.line(name, "moved", "vm", m.getMoved().getVm());
        RequestedVm w = running.remove(m.getMoved().getVm());
        if (w != null) {
          again(w, 50_000);
        }
      }
      default -> tap.line(name, "unknown");
    }
    if (seen - acked >= 16) {
      acked = seen;
      write(ClientMessage.newBuilder().setAck(Ack.newBuilder().setSeen(seen)));
    }
  }

  private void bound(String vm, String machine, long t) {
    tap.line(name, "bound", "vm", vm, "machine", machine);
    RequestedVm w = waiting.remove(vm);
    if (w == null) {
      return;
    }
    w.waits = false;
    if (!w.boundOnce) {
      w.boundOnce = true;
      score.served(w.service, t - w.firstAskedAt, t / 1_000_000);
    }
    w.acceptedAt = t;
    running.put(vm, w);
  }

  private void ended(String vm, Ended.How how, long t) {
    tap.line(name, "ended", "vm", vm, "how", how);
    RequestedVm w = running.remove(vm);
    if (w == null) {
      return;
    }
    score.ended(w.service, how);
    w.lifeUs -= t - w.acceptedAt;
    if (how != Ended.How.DONE && how != Ended.How.ERROR && w.lifeUs > 1_000_000) {
      again(w, 50_000 + chance.nextInt(300_000));
    }
  }

  private long pause() {
    return (long) ((plan.again[0] + chance.nextDouble() * (plan.again[1] - plan.again[0])) * 1000);
  }

  private void again(RequestedVm w, long inUs) {
    if (w.asked >= plan.tries || !wantsStream) {
      return;
    }
    loop.schedule(() -> ask(w), inUs, TimeUnit.MICROSECONDS);
  }

  // ---- What it wants
  // ---------------------------------------------------------------------------------

  void rate(double aSecond) {
    rate = aSecond;
  }

  double rate() {
    return rate;
  }

  /** Asks for VMs until the day's last arrival. */
  void arrivals(long untilUs) {
    double wait = -Math.log(1 - chance.nextDouble()) * plan.batch / rate;
    loop.schedule(
        () -> {
          if (tap.now() >= untilUs) {
            return;
          }
          Service s = services.get(chance.nextInt(services.size()));
          int n = 1 + chance.nextInt((int) Math.round(2 * plan.batch - 1));
          for (int i = 0; i < n; i++) {
            wish(s);
          }
          arrivals(untilUs);
        },
        (long) (wait * 1e6),
        TimeUnit.MICROSECONDS);
  }

  private void wish(Service s) {
    double life = Math.max(1, s.lifeSeconds * -Math.log(1 - chance.nextDouble() * 0.95));
    RequestedVm w = new RequestedVm(name + "-" + ++number, s, tap.now(), (long) (life * 1e6));
    score.asked(s);
    ask(w);
  }

  /** Stops this share of the running VMs and asks for them all again within the span. */
  void reconnect(double share, Duration within) {
    for (String vm : List.copyOf(running.keySet())) {
      if (chance.nextDouble() < share) {
        RequestedVm w = running.remove(vm);
        tap.line(name, "unwant", "vm", vm);
        write(ClientMessage.newBuilder().setUnwant(Unwant.newBuilder().setVm(vm)));
        if (w.service.priorityClass.isIdempotent()) {
          again(w, 1 + chance.nextInt((int) Math.max(1, within.toNanos() / 1000)));
        }
      }
    }
  }

  private void ask(RequestedVm w) {
    w.asked++;
    w.vm = w.workload + "." + w.asked;
    w.until = tap.now() + w.service.priorityClass.startDeadline().toNanos() / 1000;
    unsent.addLast(w);
    sendWhileReady();
  }

  /**
   * An ask leaves with the time that is left as it is written, so none waits long behind others in
   * a buffer.
   */
  private void sendWhileReady() {
    while (welcome && to != null && to.isReady() && !unsent.isEmpty()) {
      send(unsent.removeFirst());
    }
  }

  private void send(RequestedVm w) {
    long left = w.until - tap.now();
    if (left <= 50_000) {
      return;
    }
    w.waits = true;
    waiting.put(w.vm, w);
    Service s = w.service;
    tap.line(
        name,
        "want",
        "vm",
        w.vm,
        "workload",
        w.workload,
        "flavour",
        s.priorityClass.name(),
        "left",
        left);
    write(w);
  }

  private void write(RequestedVm w) {
    Service s = w.service;
    long left = Math.max(1, w.until - tap.now());
    write(
        ClientMessage.newBuilder()
            .setWant(
                Want.newBuilder()
                    .setVm(w.vm)
                    .setWorkload(w.workload)
                    .setFlavour(s.priorityClass.name())
                    .setService(s.number)
                    .setCustomer(s.tenant)
                    .setCores(s.shape.cores())
                    .setMemory(s.shape.memory())
                    .setTimeLeftUs(left)
                    .setLastsUs(w.lifeUs)
                    .setAgain(w.asked > 1)));
  }

  int waiting() {
    return waiting.size();
  }

  long connects() {
    return connects;
  }
}
