package fordridge.server.grpc;

import static org.awaitility.Awaitility.await;

import com.typesafe.config.ConfigFactory;
import fordridge.settings.DeploymentSettings;
import fordridge.settings.InvalidSettingsException;
import fordridge.v1.ClaimName;
import fordridge.v1.ClientMessage;
import fordridge.v1.FromMachine;
import fordridge.v1.Held;
import fordridge.v1.Hello;
import fordridge.v1.Holding;
import fordridge.v1.MachineGrpc;
import fordridge.v1.Offer;
import fordridge.v1.PlacerMessage;
import fordridge.v1.PlacingGrpc;
import fordridge.v1.Refused;
import fordridge.v1.Report;
import fordridge.v1.Started;
import fordridge.v1.ToMachine;
import fordridge.v1.Want;
import io.grpc.ManagedChannel;
import io.grpc.Server;
import io.grpc.Status;
import io.grpc.netty.NettyChannelBuilder;
import io.grpc.netty.NettyServerBuilder;
import io.grpc.stub.ClientCallStreamObserver;
import io.grpc.stub.ClientResponseObserver;
import io.grpc.stub.StreamObserver;
import java.io.File;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.StandardCopyOption;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;

/** Scripted peers of a real placer on loopback: they do just what a test tells them. */
final class GrpcTestPeers implements AutoCloseable {
  final File folder;
  final List<MachinePeer> machines = new ArrayList<>();
  private final List<AutoCloseable> open = new ArrayList<>();
  PlacerCommand program;

  GrpcTestPeers(int machines) throws Exception {
    folder = Files.createTempDirectory("fordridge").toFile();
    for (int i = 0; i < machines; i++) {
      MachinePeer m = new MachinePeer("m" + i);
      this.machines.add(m);
      open.add(m);
    }
  }

  static void until(Callable<Boolean> what) {
    await().atMost(Duration.ofSeconds(20)).pollInterval(Duration.ofMillis(5)).until(what);
  }

  void place(String more) throws IOException, InvalidSettingsException {
    list("");
    program =
        new PlacerCommand(
            DeploymentSettings.read(
                ConfigFactory.parseString(more)
                    .withFallback(
                        ConfigFactory.parseString(
                            "kinds = [{ name = k, cores = 16, memory = 64 }]\n"
                                + "flavours = [{ name = safe, effect = rebuildable, build_target = 300ms, build_timeout = 4s },\n"
                                + "{ name = once, effect = one-shot, build_target = 300ms, build_timeout = 4s }]\n"
                                + "placer.listen.port = 0, placer.seed = 5, machines { list = list.conf, poll = 20ms, connect_timeout = 8s }\n")),
                folder));
  }

  /** Writes the list: every machine live, those named in {@code but} as "name state". */
  void list(String but, String... more) throws IOException {
    StringBuilder t = new StringBuilder("version = 1\nmachines = [\n");
    for (MachinePeer m : machines) {
      String state = but.startsWith(m.name + " ") ? but.substring(m.name.length() + 1) : "live";
      t.append("{ name = ")
          .append(m.name)
          .append(", address = \"127.0.0.1:")
          .append(m.port)
          .append("\", kind = k, state = ")
          .append(state)
          .append(", free_cores = 16, free_memory = 64 }\n");
    }
    for (String l : more) {
      t.append(l).append('\n');
    }
    File next = new File(folder, "list.next");
    Files.writeString(next.toPath(), t.append("]\n"));
    Files.move(
        next.toPath(), new File(folder, "list.conf").toPath(), StandardCopyOption.REPLACE_EXISTING);
  }

  ClientPeer client(String name) {
    ClientPeer c = new ClientPeer(name, program.port(0));
    open.add(c);
    return c;
  }

  @Override
  public void close() throws Exception {
    for (AutoCloseable c : open) {
      c.close();
    }
    if (program != null) {
      program.close();
    }
  }

  /** A machine that answers each offer as it was told. */
  static final class MachinePeer extends MachineGrpc.MachineImplBase implements AutoCloseable {
    final String name;
    int port;
    final List<Offer> offers = new CopyOnWriteArrayList<>();
    final List<ToMachine> heard = new CopyOnWriteArrayList<>();
    final List<Held> holds = new CopyOnWriteArrayList<>();
    volatile StreamObserver<FromMachine> out;
    volatile int streams;
    volatile long incarnation = 1;
    volatile Consumer<Offer> onOffer = this::start;
    private Server server;

    MachinePeer(String name) throws IOException {
      this.name = name;
      listen();
    }

    void listen() throws IOException {
      server =
          NettyServerBuilder.forAddress(new InetSocketAddress("127.0.0.1", port))
              .addService(this)
              .build()
              .start();
      port = server.getPort();
    }

    @Override
    public StreamObserver<ToMachine> serve(StreamObserver<FromMachine> to) {
      return new StreamObserver<>() {
        @Override
        public void onNext(ToMachine m) {
          switch (m.getBodyCase()) {
            case GREETING -> {
              out = to;
              streams++;
              to.onNext(
                  FromMachine.newBuilder()
                      .setHolding(
                          Holding.newBuilder()
                              .setMachine(name)
                              .setIncarnation(incarnation)
                              .addAllHeld(holds))
                      .build());
            }
            case OFFER -> {
              offers.add(m.getOffer());
              onOffer.accept(m.getOffer());
            }
            case PROBE ->
                to.onNext(
                    FromMachine.newBuilder()
                        .setReport(
                            Report.newBuilder()
                                .setProbe(m.getProbe().getNumber())
                                .setSpareCores(16)
                                .setSpareMemory(64))
                        .build());
            default -> {}
          }
          heard.add(m);
        }

        @Override
        public void onError(Throwable t) {}

        @Override
        public void onCompleted() {
          to.onCompleted();
        }
      };
    }

    void start(Offer o) {
      out.onNext(
          FromMachine.newBuilder().setStarted(Started.newBuilder().setClaim(o.getClaim())).build());
    }

    void refuse(Offer o) {
      out.onNext(
          FromMachine.newBuilder()
              .setRefused(
                  Refused.newBuilder().setClaim(o.getClaim()).setReason(Refused.Reason.NO_CORES))
              .build());
    }

    void say(FromMachine m) {
      out.onNext(m);
    }

    void holds(ClaimName attempt, Held.State state) {
      holds.add(
          Held.newBuilder()
              .setClaim(attempt)
              .setState(state)
              .setFlavour("once")
              .setCores(1)
              .setMemory(1)
              .setClient("c")
              .build());
    }

    /** Breaks the stream in place; the machine goes on. */
    void cut() {
      StreamObserver<FromMachine> old = out;
      out = null;
      old.onError(Status.UNAVAILABLE.asRuntimeException());
    }

    void down() throws InterruptedException {
      server.shutdownNow().awaitTermination();
    }

    @Override
    public void close() {
      server.shutdownNow();
    }
  }

  /** A client that reads when told to. */
  static final class ClientPeer implements AutoCloseable {
    final String name;
    final List<PlacerMessage> heard = new CopyOnWriteArrayList<>();
    volatile Status status;
    volatile ClientCallStreamObserver<ClientMessage> to;
    private final ManagedChannel channel;
    private volatile int stream;

    ClientPeer(String name, int port) {
      this.name = name;
      channel =
          NettyChannelBuilder.forAddress("127.0.0.1", port)
              .usePlaintext()
              .flowControlWindow(65535)
              .build();
    }

    ManagedChannel channel() {
      return channel;
    }

    ClientPeer open(boolean reads) {
      int mine = ++stream;
      status = null;
      PlacingGrpc.newStub(channel)
          .place(
              new ClientResponseObserver<ClientMessage, PlacerMessage>() {
                @Override
                public void beforeStart(ClientCallStreamObserver<ClientMessage> s) {
                  to = s;
                  if (!reads) {
                    s.disableAutoRequestWithInitial(1);
                  }
                }

                @Override
                public void onNext(PlacerMessage m) {
                  // A stream that was broken off may still hand over what it had: the client has
                  // left it.
                  if (mine == stream) {
                    heard.add(m);
                  }
                }

                @Override
                public void onError(Throwable t) {
                  if (mine == stream) {
                    status = Status.fromThrowable(t);
                  }
                }

                @Override
                public void onCompleted() {
                  status = Status.OK;
                }
              });
      return this;
    }

    ClientPeer hello() {
      return hello("", 0);
    }

    ClientPeer hello(String token, long seen) {
      to.onNext(
          ClientMessage.newBuilder()
              .setHello(Hello.newBuilder().setClient(name).setResumeToken(token).setSeen(seen))
              .build());
      return this;
    }

    ClientPeer want(String vm, String priorityClass) {
      to.onNext(wanted(vm, priorityClass, 0).build());
      return this;
    }

    static ClientMessage.Builder wanted(String vm, String priorityClass, long leftUs) {
      return ClientMessage.newBuilder()
          .setWant(
              Want.newBuilder()
                  .setVm(vm)
                  .setFlavour(priorityClass)
                  .setService(1)
                  .setCores(0.001)
                  .setMemory(0.001)
                  .setTimeLeftUs(leftUs));
    }

    ClientPeer wantTogether(String group, int size, String vm, String priorityClass) {
      return wantTogether(group, size, vm, priorityClass, 0.001);
    }

    ClientPeer wantTogether(String group, int size, String vm, String priorityClass, double cores) {
      ClientMessage.Builder m = wanted(vm, priorityClass, 0);
      m.getWantBuilder().setGroup(group).setGroupSize(size).setCores(cores);
      to.onNext(m.build());
      return this;
    }

    String token() {
      until(() -> heard.stream().anyMatch(PlacerMessage::hasWelcome));
      return heard.stream()
          .filter(PlacerMessage::hasWelcome)
          .reduce((a, b) -> b)
          .get()
          .getWelcome()
          .getResumeToken();
    }

    long count(PlacerMessage.BodyCase what) {
      return heard.stream().filter(m -> m.getBodyCase() == what).count();
    }

    long last() {
      return heard.stream().mapToLong(PlacerMessage::getSeq).max().orElse(0);
    }

    void breaks() {
      stream++;
      to.cancel("test", null);
    }

    @Override
    public void close() {
      channel.shutdownNow();
    }
  }
}
