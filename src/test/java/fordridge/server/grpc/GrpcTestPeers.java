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
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.StandardCopyOption;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;

/** A real scheduler on loopback, with machines and clients whose behavior each test scripts. */
final class GrpcTestPeers implements AutoCloseable {
  private static final String DEFAULT_SETTINGS =
      """
      kinds = [{ name = k, cores = 16, memory = 64 }]
      flavours = [
        { name = safe, effect = rebuildable, build_target = 300ms, build_timeout = 4s },
        { name = once, effect = one-shot, build_target = 300ms, build_timeout = 4s }
      ]
      placer.listen.port = 0
      placer.seed = 5
      machines { list = list.conf, poll = 20ms, connect_timeout = 8s }
      """;

  final File folder;
  final List<MachinePeer> machines = new ArrayList<>();
  private final List<Peer> peers = new ArrayList<>();
  PlacerProcess scheduler;

  /** A machine or client that is connected to the scheduler. */
  private interface Peer extends AutoCloseable {
    @Override
    void close();
  }

  GrpcTestPeers(int machineCount) throws IOException {
    folder = Files.createTempDirectory("fordridge").toFile();
    for (int i = 0; i < machineCount; i++) {
      MachinePeer machine = new MachinePeer("m" + i);
      machines.add(machine);
      peers.add(machine);
    }
  }

  static void awaitUntil(Callable<Boolean> condition) {
    await().atMost(Duration.ofSeconds(20)).pollInterval(Duration.ofMillis(5)).until(condition);
  }

  /** Starts the scheduler with these settings, which override the defaults of the tests. */
  void startScheduler(String overrides) throws IOException, InvalidSettingsException {
    writeMachineList("");
    scheduler =
        new PlacerProcess(
            DeploymentSettings.read(
                ConfigFactory.parseString(overrides)
                    .withFallback(ConfigFactory.parseString(DEFAULT_SETTINGS)),
                folder));
  }

  /**
   * Writes the machine list, in which every machine is live but the exception.
   *
   * @param exception a machine and its state, as "name state"; empty for none
   */
  void writeMachineList(String exception, String... furtherEntries) throws IOException {
    StringBuilder text = new StringBuilder("version = 1\nmachines = [\n");
    for (MachinePeer machine : machines) {
      String state =
          exception.startsWith(machine.name + " ")
              ? exception.substring(machine.name.length() + 1)
              : "live";
      text.append("{ name = ")
          .append(machine.name)
          .append(", address = \"127.0.0.1:")
          .append(machine.port)
          .append("\", kind = k, state = ")
          .append(state)
          .append(", free_cores = 16, free_memory = 64 }\n");
    }
    for (String entry : furtherEntries) {
      text.append(entry).append('\n');
    }
    File next = new File(folder, "list.next");
    Files.writeString(next.toPath(), text.append("]\n"));
    Files.move(
        next.toPath(), new File(folder, "list.conf").toPath(), StandardCopyOption.REPLACE_EXISTING);
  }

  /** Replaces the constraints file atomically. */
  void writeConstraints(String text) throws IOException {
    File next = new File(folder, "rules.next");
    Files.writeString(next.toPath(), text);
    Files.move(
        next.toPath(), new File(folder, "rules.txt").toPath(), StandardCopyOption.REPLACE_EXISTING);
  }

  /** Waits until the machine has received exactly one offer, and returns it. */
  static Offer onlyOffer(MachinePeer machine) {
    awaitUntil(() -> machine.offers.size() == 1);
    return machine.offers.get(0);
  }

  ClientPeer client(String name) {
    ClientPeer client = new ClientPeer(name, scheduler.port(0));
    peers.add(client);
    return client;
  }

  @Override
  public void close() {
    peers.forEach(Peer::close);
    if (scheduler != null) {
      scheduler.close();
    }
  }

  /** A machine that responds to offers with {@code onOffer}; by default it starts each VM. */
  static final class MachinePeer extends MachineGrpc.MachineImplBase implements Peer {
    final String name;
    int port;
    final List<Offer> offers = new CopyOnWriteArrayList<>();
    final List<ToMachine> received = new CopyOnWriteArrayList<>();
    private final List<Held> inventory = new CopyOnWriteArrayList<>();
    volatile StreamObserver<FromMachine> toScheduler;
    private final AtomicInteger openedStreams = new AtomicInteger();
    private final AtomicLong incarnation = new AtomicLong(1);
    volatile Consumer<Offer> onOffer = this::reportStarted;

    /** Whether the machine leaves new streams without an inventory until the test sends it. */
    volatile boolean withholdsInventory;

    private Server server;

    MachinePeer(String name) throws IOException {
      this.name = name;
      listen();
    }

    void listen() throws IOException {
      server =
          NettyServerBuilder.forAddress(
                  new InetSocketAddress(InetAddress.getLoopbackAddress(), port))
              .addService(this)
              .build()
              .start();
      port = server.getPort();
    }

    @Override
    public StreamObserver<ToMachine> serve(StreamObserver<FromMachine> responses) {
      return new StreamObserver<>() {
        @Override
        public void onNext(ToMachine m) {
          switch (m.getBodyCase()) {
            case GREETING -> {
              toScheduler = responses;
              openedStreams.incrementAndGet();
              if (!withholdsInventory) {
                sendInventory();
              }
            }
            case OFFER -> {
              offers.add(m.getOffer());
              onOffer.accept(m.getOffer());
            }
            case PROBE ->
                responses.onNext(
                    FromMachine.newBuilder()
                        .setReport(
                            Report.newBuilder()
                                .setProbe(m.getProbe().getNumber())
                                .setSpareCores(16)
                                .setSpareMemory(64))
                        .build());
            default -> {}
          }
          received.add(m);
        }

        /** Ignored: the scheduler may close the stream at any time. */
        @Override
        public void onError(Throwable cause) {}

        @Override
        public void onCompleted() {
          responses.onCompleted();
        }
      };
    }

    /** Sends the inventory on the newest stream, which establishes it. */
    void sendInventory() {
      toScheduler.onNext(
          FromMachine.newBuilder()
              .setHolding(
                  Holding.newBuilder()
                      .setMachine(name)
                      .setIncarnation(incarnation.get())
                      .addAllHeld(inventory))
              .build());
    }

    /** The number of streams that the scheduler has opened so far. */
    int streamCount() {
      return openedStreams.get();
    }

    /** Gives the machine a new incarnation, as a restart does, from the next inventory on. */
    void restart() {
      incarnation.incrementAndGet();
    }

    void reportStarted(Offer offer) {
      toScheduler.onNext(
          FromMachine.newBuilder()
              .setStarted(Started.newBuilder().setClaim(offer.getClaim()))
              .build());
    }

    void reject(Offer offer) {
      toScheduler.onNext(
          FromMachine.newBuilder()
              .setRefused(
                  Refused.newBuilder()
                      .setClaim(offer.getClaim())
                      .setReason(Refused.Reason.NO_CORES))
              .build());
    }

    void send(FromMachine message) {
      toScheduler.onNext(message);
    }

    /** Adds a VM to the inventory, which is sent at the start of a stream. */
    void addToInventory(ClaimName attempt, Held.State state) {
      inventory.add(
          Held.newBuilder()
              .setClaim(attempt)
              .setState(state)
              .setFlavour("once")
              .setCores(1)
              .setMemory(1)
              .setClient("c")
              .build());
    }

    /** Breaks the stream; the machine keeps its state and accepts new streams. */
    void breakStream() {
      StreamObserver<FromMachine> brokenStream = toScheduler;
      toScheduler = null;
      brokenStream.onError(Status.UNAVAILABLE.asRuntimeException());
    }

    void stopListening() throws InterruptedException {
      server.shutdownNow().awaitTermination();
    }

    @Override
    public void close() {
      server.shutdownNow();
    }
  }

  /** A client that records what it receives. */
  static final class ClientPeer implements Peer {
    final String name;
    final List<PlacerMessage> received = new CopyOnWriteArrayList<>();
    volatile Status status;
    volatile ClientCallStreamObserver<ClientMessage> toScheduler;
    private final ManagedChannel channel;
    private final AtomicInteger currentStream = new AtomicInteger();

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

    ClientPeer open(boolean readsResponses) {
      int streamNumber = currentStream.incrementAndGet();
      status = null;
      PlacingGrpc.newStub(channel)
          .place(
              new ClientResponseObserver<ClientMessage, PlacerMessage>() {
                @Override
                public void beforeStart(ClientCallStreamObserver<ClientMessage> s) {
                  toScheduler = s;
                  if (!readsResponses) {
                    s.disableAutoRequestWithInitial(1);
                  }
                }

                @Override
                public void onNext(PlacerMessage m) {
                  // A cancelled stream may still deliver messages, which the client ignores.
                  if (streamNumber == currentStream.get()) {
                    received.add(m);
                  }
                }

                @Override
                public void onError(Throwable t) {
                  if (streamNumber == currentStream.get()) {
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
      toScheduler.onNext(
          ClientMessage.newBuilder()
              .setHello(Hello.newBuilder().setClient(name).setResumeToken(token).setSeen(seen))
              .build());
      return this;
    }

    ClientPeer request(String vm, String priorityClass) {
      toScheduler.onNext(requestMessage(vm, priorityClass, 0).build());
      return this;
    }

    /** A request with that many microseconds left; 0 for the whole start deadline. */
    static ClientMessage.Builder requestMessage(String vm, String priorityClass, long timeLeftUs) {
      return ClientMessage.newBuilder()
          .setWant(
              Want.newBuilder()
                  .setVm(vm)
                  .setFlavour(priorityClass)
                  .setService(1)
                  .setCores(0.001)
                  .setMemory(0.001)
                  .setTimeLeftUs(timeLeftUs));
    }

    ClientPeer requestInGroup(String group, int size, String vm, String priorityClass) {
      return requestInGroup(group, size, vm, priorityClass, 0.001);
    }

    ClientPeer requestInGroup(
        String group, int size, String vm, String priorityClass, double cores) {
      ClientMessage.Builder message = requestMessage(vm, priorityClass, 0);
      message.getWantBuilder().setGroup(group).setGroupSize(size).setCores(cores);
      toScheduler.onNext(message.build());
      return this;
    }

    String token() {
      awaitUntil(() -> received.stream().anyMatch(PlacerMessage::hasWelcome));
      return received.stream()
          .filter(PlacerMessage::hasWelcome)
          .reduce((a, b) -> b)
          .get()
          .getWelcome()
          .getResumeToken();
    }

    long count(PlacerMessage.BodyCase kind) {
      return received.stream().filter(m -> m.getBodyCase() == kind).count();
    }

    long lastSequence() {
      return received.stream().mapToLong(PlacerMessage::getSeq).max().orElse(0);
    }

    void breakStream() {
      currentStream.incrementAndGet();
      toScheduler.cancel("test", null);
    }

    @Override
    public void close() {
      channel.shutdownNow();
    }
  }
}
