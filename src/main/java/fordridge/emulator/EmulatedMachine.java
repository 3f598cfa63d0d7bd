package fordridge.emulator;

import fordridge.emulator.MachineModel.EndKind;
import fordridge.emulator.MachineModel.HostedVm;
import fordridge.emulator.MachineModel.Reason;
import fordridge.emulator.record.RecordField;
import fordridge.emulator.record.RecordKind;
import fordridge.emulator.record.WireRecorder;
import fordridge.v1.Accepted;
import fordridge.v1.ClaimName;
import fordridge.v1.Finished;
import fordridge.v1.FromMachine;
import fordridge.v1.Held;
import fordridge.v1.Holding;
import fordridge.v1.MachineGrpc;
import fordridge.v1.Note;
import fordridge.v1.Offer;
import fordridge.v1.Refused;
import fordridge.v1.Report;
import fordridge.v1.Started;
import fordridge.v1.ToMachine;
import io.grpc.Server;
import io.grpc.Status;
import io.grpc.netty.NettyServerBuilder;
import io.grpc.stub.ServerCallStreamObserver;
import io.grpc.stub.StreamObserver;
import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * A stand-in that speaks the machine's side on a loopback port: the model behind real sockets, with
 * faults at the socket. Everything of it happens on one event loop.
 */
final class EmulatedMachine implements MachineModel.Listener {
  /** What a cut waits for; it breaks the stream just then. */
  enum CutPoint {
    NONE,
    GREETED,
    OFFER_READ,
    BEFORE_ANSWER,
    AFTER_ANSWER
  }

  private static final int LOW_WATER = 4096;

  final MachineModel.MachineSpec make;
  final EventLoop loop;
  private final WireRecorder tap;
  private final MachineModel model;
  private final UniformRandomProvider chance;
  private final Map<String, ServerCallStreamObserver<FromMachine>> streams = new HashMap<>();
  private final List<Channel> children = new ArrayList<>();
  private final long begun;
  private Server server;
  private Channel acceptor;
  private int port;
  private Duration wakeAt;
  private boolean silent;
  private boolean hung;
  private boolean mute;
  private double loses;
  private boolean resets;
  private CutPoint cutAt = CutPoint.NONE;
  private String cutPriorityClass;
  private int cuts;

  EmulatedMachine(
      MachineModel.MachineSpec make,
      Map<String, MachineModel.UsageModel> uses,
      long seed,
      EventLoop loop,
      WireRecorder tap,
      long begun)
      throws IOException {
    this.make = make;
    this.loop = loop;
    this.tap = tap;
    this.begun = begun;
    chance = RandomSource.XO_RO_SHI_RO_128_PP.create(seed ^ 0x5eed);
    model = new MachineModel(make, uses, seed, this);
    listen();
  }

  String name() {
    return make.name();
  }

  int port() {
    return port;
  }

  private void listen() throws IOException {
    server =
        NettyServerBuilder.forAddress(new InetSocketAddress("127.0.0.1", port))
            .bossEventLoopGroup(loop)
            .workerEventLoopGroup(loop)
            .channelFactory(
                () ->
                    new NioServerSocketChannel() {
                      @Override
                      protected int doReadMessages(List<Object> buf) throws Exception {
                        int n = super.doReadMessages(buf);
                        buf.forEach(c -> children.add((Channel) c));
                        children.removeIf(c -> c.isRegistered() && !c.isOpen());
                        acceptor = this;
                        return n;
                      }
                    })
            .directExecutor()
            .permitKeepAliveTime(50, TimeUnit.MILLISECONDS)
            .permitKeepAliveWithoutCalls(true)
            .addService(new Service())
            .build()
            .start();
    port = server.getPort();
  }

  private Duration now() {
    return Duration.ofNanos(System.nanoTime() - begun);
  }

  private void run(Runnable what) {
    model.tick(now());
    what.run();
    model.tick(now());
    Duration next = model.next();
    if (next != null && (wakeAt == null || next.compareTo(wakeAt) < 0)) {
      wakeAt = next;
      loop.schedule(
          () -> {
            wakeAt = null;
            run(() -> {});
          },
          Math.max(0, next.minus(now()).toNanos()),
          TimeUnit.NANOSECONDS);
    }
  }

  /** On its loop: changes of troubles, questions. */
  void act(Runnable what) {
    loop.execute(() -> run(what));
  }

  // ---- The socket
  // ------------------------------------------------------------------------------------

  private final class Service extends MachineGrpc.MachineImplBase {
    @Override
    public StreamObserver<ToMachine> serve(StreamObserver<FromMachine> to) {
      ServerCallStreamObserver<FromMachine> out = (ServerCallStreamObserver<FromMachine>) to;
      out.setOnCancelHandler(() -> {});
      return new StreamObserver<>() {
        private String placer;

        @Override
        public void onNext(ToMachine m) {
          run(() -> heard(m));
        }

        private void heard(ToMachine m) {
          if (placer == null) {
            if (m.getBodyCase() != ToMachine.BodyCase.GREETING) {
              out.onError(
                  Status.INVALID_ARGUMENT
                      .withDescription("the first message must be greeting")
                      .asRuntimeException());
              return;
            }
            placer = m.getGreeting().getPlacer();
            tap.event(name(), RecordKind.GREETING).with(RecordField.SCHEDULER, placer).write();
            if (!mute) {
              streams.put(placer, out);
              if (cutNow(CutPoint.GREETED, null)) {
                cut(placer);
                return;
              }
              hold(placer, out);
            }
            return;
          }
          said(placer, m);
        }

        @Override
        public void onError(Throwable t) {
          closed();
        }

        @Override
        public void onCompleted() {
          closed();
          out.onCompleted();
        }

        private void closed() {
          if (placer != null) {
            streams.remove(placer, out);
            tap.event(name(), RecordKind.STREAM_CLOSED).with(RecordField.SCHEDULER, placer).write();
          }
        }
      };
    }
  }

  private void hold(String placer, ServerCallStreamObserver<FromMachine> out) {
    Holding.Builder h = Holding.newBuilder().setMachine(name()).setIncarnation(model.incarnation);
    for (HostedVm t : model.held(placer)) {
      h.addHeld(
          Held.newBuilder()
              .setClaim(name(t))
              .setState(
                  switch (t.state) {
                    case RUNNING -> Held.State.RUNNING;
                    case ENDED -> Held.State.ENDED;
                    case REFUSED -> Held.State.REFUSED;
                    default -> Held.State.IN_LINE;
                  })
              .setFlavour(t.priorityClass)
              .setService(t.service)
              .setCustomer(t.tenant)
              .setCores(t.cores)
              .setMemory(t.memory)
              .setClient(t.client));
    }
    tap.event(name(), RecordKind.HOLDING)
        .with(RecordField.SCHEDULER, placer)
        .with(RecordField.HELD_COUNT, h.getHeldCount())
        .write();
    out.onNext(FromMachine.newBuilder().setHolding(h).build());
  }

  private void said(String placer, ToMachine m) {
    switch (m.getBodyCase()) {
      case OFFER -> {
        Offer o = m.getOffer();
        tap.event(name(), RecordKind.OFFER)
            .with(RecordField.SCHEDULER, placer)
            .with(RecordField.VM, o.getClaim().getVm())
            .with(RecordField.ATTEMPT_NUMBER, o.getClaim().getNumber())
            .with(RecordField.PRIORITY_CLASS, o.getFlavour())
            .with(RecordField.SERVICE, o.getService())
            .with(RecordField.TENANT, o.getCustomer())
            .with(RecordField.TIME_LEFT_AT_OFFER, o.getWithinUs())
            .write();
        if (cutNow(CutPoint.OFFER_READ, o.getFlavour())) {
          cut(placer);
        }
        Duration now = now();
        model.offer(
            new HostedVm(
                placer,
                o.getClaim().getVm(),
                o.getClaim().getNumber(),
                o.getFlavour(),
                o.getCustomer(),
                o.getClient(),
                o.getService(),
                o.getCores(),
                o.getMemory(),
                o.getPriority(),
                now,
                now.plus(Duration.ofNanos(o.getWithinUs() * 1000)),
                Duration.ofNanos(o.getLastsUs() * 1000)));
      }
      case CANCEL -> {
        tap.event(name(), RecordKind.CANCEL)
            .with(RecordField.SCHEDULER, placer)
            .with(RecordField.VM, m.getCancel().getClaim().getVm())
            .with(RecordField.ATTEMPT_NUMBER, m.getCancel().getClaim().getNumber())
            .write();
        model.end(key(placer, m.getCancel().getClaim()));
      }
      case STOP -> {
        tap.event(name(), RecordKind.STOP)
            .with(RecordField.SCHEDULER, placer)
            .with(RecordField.VM, m.getStop().getClaim().getVm())
            .with(RecordField.ATTEMPT_NUMBER, m.getStop().getClaim().getNumber())
            .write();
        model.end(key(placer, m.getStop().getClaim()));
      }
      case PROBE -> {
        tap.event(name(), RecordKind.PROBE).with(RecordField.SCHEDULER, placer).write();
        model.probe(placer, m.getProbe().getNumber());
      }
      default ->
          tap.event(name(), RecordKind.UNKNOWN_MESSAGE).with(RecordField.SCHEDULER, placer).write();
    }
  }

  private static String key(String placer, ClaimName n) {
    return placer + " " + n.getVm() + "#" + n.getNumber();
  }

  private static ClaimName name(HostedVm t) {
    return ClaimName.newBuilder().setVm(t.vm).setNumber(t.number).build();
  }

  /**
   * Writes to a placer, unless a fault keeps it back; answers can get lost, probes' reports do not.
   */
  private void say(String placer, FromMachine.Builder m, boolean answer, WireRecorder.Event event) {
    ServerCallStreamObserver<FromMachine> out = streams.get(placer);
    boolean lost =
        hung || out == null || out.isCancelled() || answer && chance.nextDouble() < loses;
    event.with(RecordField.SCHEDULER, placer).with(RecordField.IS_LOST, lost).write();
    if (!lost) {
      out.onNext(m.build());
    } else if (answer && resets && out != null) {
      cut(placer);
    }
  }

  private WireRecorder.Event event(RecordKind kind, HostedVm t) {
    return tap.event(name(), kind)
        .with(RecordField.VM, t.vm)
        .with(RecordField.ATTEMPT_NUMBER, t.number);
  }

  private Report.Builder load(long probe) {
    return Report.newBuilder()
        .setProbe(probe)
        .setSpareCores(model.spareCores())
        .setSpareMemory(model.spareMemory())
        .setBusy(model.busy());
  }

  // ---- What the model says
  // ---------------------------------------------------------------------------

  @Override
  public void accepted(HostedVm t) {
    say(
        t.placer,
        FromMachine.newBuilder().setAccepted(Accepted.newBuilder().setClaim(name(t))),
        true,
        event(RecordKind.ACCEPTED, t));
  }

  @Override
  public void refused(HostedVm t, Reason why) {
    say(
        t.placer,
        FromMachine.newBuilder()
            .setRefused(
                Refused.newBuilder()
                    .setClaim(name(t))
                    .setReason(
                        switch (why) {
                          case NO_CORES -> Refused.Reason.NO_CORES;
                          case NO_MEMORY -> Refused.Reason.NO_MEMORY;
                          case LINE_FULL -> Refused.Reason.LINE_FULL;
                          case NOT_HERE -> Refused.Reason.NOT_HERE;
                          default -> Refused.Reason.REASON_UNSPECIFIED;
                        })
                    .setReport(load(0))),
        true,
        event(RecordKind.REFUSED, t).with(RecordField.REASON, why));
  }

  @Override
  public void started(HostedVm t) {
    if (cutNow(CutPoint.BEFORE_ANSWER, t.priorityClass)) {
      cut(t.placer);
    }
    say(
        t.placer,
        FromMachine.newBuilder()
            .setStarted(Started.newBuilder().setClaim(name(t)).setReport(load(0))),
        true,
        event(RecordKind.STARTED, t).with(RecordField.PRIORITY_CLASS, t.priorityClass));
    if (cutNow(CutPoint.AFTER_ANSWER, t.priorityClass)) {
      cut(t.placer);
    }
  }

  @Override
  public void finished(HostedVm t, EndKind how, boolean ran) {
    say(
        t.placer,
        FromMachine.newBuilder()
            .setFinished(
                Finished.newBuilder()
                    .setClaim(name(t))
                    .setRan(ran)
                    .setHow(
                        switch (how) {
                          case DONE -> Finished.How.DONE;
                          case EVICTED -> Finished.How.EVICTED;
                          case PUSHED_OUT -> Finished.How.PUSHED_OUT;
                          case SENT_AWAY -> Finished.How.SENT_AWAY;
                          case CANCELLED -> Finished.How.CANCELLED;
                          default -> Finished.How.ERROR;
                        })),
        true,
        event(RecordKind.FINISHED, t)
            .with(RecordField.END_KIND, how)
            .with(RecordField.HAS_RUN, ran));
  }

  private void note(HostedVm t, Note.What what, double amount) {
    ServerCallStreamObserver<FromMachine> out = streams.get(t.placer);
    // Notes are news, not answers: they give way when the stream is slow.
    if (!hung && out != null && out.isReady()) {
      tap.event(name(), RecordKind.USAGE_NOTE)
          .with(RecordField.SCHEDULER, t.placer)
          .with(RecordField.VM, t.vm)
          .with(RecordField.SUBJECT, what)
          .with(RecordField.AMOUNT, amount)
          .write();
      out.onNext(
          FromMachine.newBuilder()
              .setNote(Note.newBuilder().setClaim(name(t)).setWhat(what).setAmount(amount))
              .build());
    }
  }

  @Override
  public void cores(HostedVm t, double amount) {
    note(t, Note.What.CORES, amount);
  }

  @Override
  public void memory(HostedVm t, double amount) {
    note(t, Note.What.MEMORY, amount);
  }

  @Override
  public void served(HostedVm t, double share) {
    note(t, Note.What.SERVICE, share);
  }

  @Override
  public void pressed(HostedVm t, double share) {
    note(t, Note.What.PRESSURE, share);
  }

  @Override
  public void report(String placer, long probe) {
    say(
        placer,
        FromMachine.newBuilder().setReport(load(probe)),
        false,
        tap.event(name(), RecordKind.LOAD_REPORT).with(RecordField.PROBE_NUMBER, probe));
  }

  @Override
  public void fell() {
    tap.event(name(), RecordKind.MACHINE_OVERLOADED).write();
    loop.execute(() -> silence(true));
  }

  // ---- Faults, called on the loop
  // --------------------------------------------------------------------

  MachineModel.ActiveFault trouble() {
    return model.trouble;
  }

  MachineModel model() {
    return model;
  }

  /** Neither reads nor writes nor takes connections; nothing is reset. */
  void silence(boolean on) {
    silent = on;
    children.removeIf(c -> !c.isOpen());
    for (Channel c : children) {
      c.config().setAutoRead(!on);
    }
    if (acceptor != null) {
      acceptor.config().setAutoRead(!on);
    }
    hung = on;
    if (on) {
      model.trouble.paused = true;
    } else {
      model.trouble.paused = false;
    }
  }

  boolean silent() {
    return silent;
  }

  /** Takes work and answers nothing. */
  void hang(boolean on) {
    hung = on;
  }

  /** Takes connections and never speaks. */
  void mute(boolean on) {
    mute = on;
  }

  /** Loses this share of its answers; with {@code reset} the stream breaks in place of silence. */
  void lose(double share, boolean reset) {
    loses = share;
    resets = reset;
  }

  void cutAt(CutPoint when, String priorityClass, int times) {
    cutAt = when;
    cutPriorityClass = priorityClass;
    cuts = times;
  }

  private boolean cutNow(CutPoint when, String priorityClass) {
    if (cutAt != when
        || cuts <= 0
        || priorityClass != null
            && cutPriorityClass != null
            && !cutPriorityClass.isEmpty()
            && !cutPriorityClass.equals(priorityClass)) {
      return false;
    }
    cuts--;
    return true;
  }

  /** Breaks the stream to one placer, or all. */
  void cut(String placer) {
    for (String p : placer == null ? List.copyOf(streams.keySet()) : List.of(placer)) {
      ServerCallStreamObserver<FromMachine> out = streams.remove(p);
      if (out != null) {
        tap.event(name(), RecordKind.CUT).with(RecordField.SCHEDULER, p).write();
        out.onError(Status.UNAVAILABLE.withDescription("cut").asRuntimeException());
      }
    }
  }

  /** The process dies: streams reset, what ran is lost. */
  void crash() {
    tap.event(name(), RecordKind.CRASH).write();
    model.die();
    streams.clear();
    hung = true;
    server.shutdownNow();
    children.forEach(Channel::close);
    children.clear();
  }

  /** Comes up cold, at the same address, with nothing running. */
  void rise() {
    try {
      if (silent) {
        tap.event(name(), RecordKind.CRASH).write();
        server.shutdownNow();
        children.forEach(Channel::close);
        children.clear();
        streams.clear();
        acceptor = null;
      }
      silent = false;
      hung = false;
      model.trouble.paused = false;
      model.restart(now());
      tap.event(name(), RecordKind.MACHINE_STARTED)
          .with(RecordField.MIN_WARMING_OFFERS, make.coldBears())
          .with(RecordField.OVERLOAD_MULTIPLE, make.fallMultiple())
          .with(RecordField.OVERLOAD_SPAN, make.fallOver().toNanos() / 1000)
          .with(RecordField.INITIAL_PACE, make.coldFrom())
          .with(RecordField.WARM_UP, make.warmAfter().toNanos() / 1000)
          .with(RecordField.FULL_RATE, make.starts() * make.speed() / (make.work().toNanos() / 1e9))
          .write();
      Server old = server;
      listenSoon(old, 0);
    } catch (RuntimeException e) {
      tap.event(name(), RecordKind.MACHINE_START_FAILED)
          .with(RecordField.REASON, e.toString())
          .write();
    }
  }

  /** start() waits for the bind, which must not be done on the loop that it needs. */
  private void listenSoon(Server old, int tries) {
    Thread t =
        new Thread(
            () -> {
              try {
                old.awaitTermination(2, TimeUnit.SECONDS);
                for (int i = 0; i < 50; i++) {
                  try {
                    listen();
                    return;
                  } catch (IOException e) {
                    Thread.sleep(20);
                  }
                }
                tap.event(name(), RecordKind.MACHINE_START_FAILED)
                    .with(RecordField.REASON, "port in use")
                    .write();
              } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
              }
            },
            "rise-" + name());
    t.setDaemon(true);
    t.start();
  }

  void close() {
    server.shutdownNow();
  }
}
