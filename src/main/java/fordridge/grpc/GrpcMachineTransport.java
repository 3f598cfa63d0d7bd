package fordridge.grpc;

import fordridge.machine.AttemptId;
import fordridge.machine.MachineStreamTransport;
import fordridge.model.PlacementAttempt;
import fordridge.v1.Cancel;
import fordridge.v1.FromMachine;
import fordridge.v1.Greeting;
import fordridge.v1.Holding;
import fordridge.v1.MachineGrpc;
import fordridge.v1.Offer;
import fordridge.v1.Probe;
import fordridge.v1.Report;
import fordridge.v1.Stop;
import fordridge.v1.ToMachine;
import io.grpc.Context;
import io.grpc.ManagedChannel;
import io.grpc.Status;
import io.grpc.netty.NettyChannelBuilder;
import io.grpc.stub.ClientCallStreamObserver;
import io.grpc.stub.ClientResponseObserver;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.TimeUnit;

/**
 * The gRPC stream to one machine, with a new channel for each stream. The {@link
 * fordridge.machine.MachineStream} decides when it is opened and closed. Events of any stream but
 * the newest are ignored. Confined to its event loop.
 */
public final class GrpcMachineTransport implements MachineStreamTransport {
  /** Receives the events of the stream, on the event loop and in order of arrival. */
  public interface Listener {
    /** The machine's first message, which opens the stream. */
    void inventoryReceived(Holding inventory);

    /** The machine sent a message other than the first. */
    void messageReceived(FromMachine message);

    /** The transport can write more messages. */
    void transportReady();

    /** The stream broke, could not be opened, or its first message was not the inventory. */
    void connectionLost(String reason);
  }

  /** Adds to an offer the fields that are not known to its attempt. */
  public interface OfferCompleter {
    /** Sets the remaining fields of the offer. */
    void complete(PlacementAttempt attempt, Offer.Builder offer);
  }

  private static final int FLOW_CONTROL_WINDOW_BYTES = 1 << 18;

  private final String schedulerName;
  private final EventLoop eventLoop;
  private final Duration connectTimeout;
  private final Duration keepAlive;
  private final int maxMessageBytes;
  private final Listener listener;
  private final OfferCompleter offerCompleter;
  private InetSocketAddress address;
  private ManagedChannel channel;
  private ClientCallStreamObserver<ToMachine> requests;

  /** Number of the newest stream, rises with each open and close; events of others are ignored. */
  private int generation;

  private long lastProbeNumber;

  /**
   * Creates a transport without a stream.
   *
   * @param keepAlive interval and timeout of the keep-alive pings
   * @param maxMessageBytes size limit of a message from the machine
   */
  public GrpcMachineTransport(
      String schedulerName,
      EventLoop eventLoop,
      Duration connectTimeout,
      Duration keepAlive,
      int maxMessageBytes,
      Listener listener,
      OfferCompleter offerCompleter) {
    this.schedulerName = schedulerName;
    this.eventLoop = eventLoop;
    this.connectTimeout = connectTimeout;
    this.keepAlive = keepAlive;
    this.maxMessageBytes = maxMessageBytes;
    this.listener = listener;
    this.offerCompleter = offerCompleter;
  }

  /** Sets the address for the streams that are opened from now on. */
  public void setAddress(InetSocketAddress newAddress) {
    address = newAddress;
  }

  @Override
  public void connect() {
    // The current gRPC context may be that of a client's call, whose end would cancel the stream.
    Context.ROOT.run(this::open);
  }

  @Override
  public void close(String reason) {
    ClientCallStreamObserver<ToMachine> oldRequests = requests;
    ManagedChannel oldChannel = channel;
    clearStream();
    if (oldRequests != null) {
      oldRequests.cancel(reason, null);
    }
    if (oldChannel != null) {
      oldChannel.shutdownNow();
    }
  }

  @Override
  public boolean isReady() {
    return requests != null && requests.isReady();
  }

  @Override
  public void offer(PlacementAttempt attempt, AttemptId attemptId, Duration timeLeft) {
    Offer.Builder offer =
        Offer.newBuilder()
            .setClaim(ProtoConversions.toClaimName(attemptId))
            .setFlavour(attempt.vm.priorityClass)
            .setService(attempt.vm.service)
            .setCustomer(attempt.vm.tenant)
            .setCores(attempt.vm.cores)
            .setMemory(attempt.vm.memory)
            .setWithinUs(ProtoConversions.toMicros(timeLeft));
    if (attempt.vm.expectedLifetime != null) {
      offer.setLastsUs(ProtoConversions.toMicros(attempt.vm.expectedLifetime));
    }
    offerCompleter.complete(attempt, offer);
    write(ToMachine.newBuilder().setOffer(offer));
  }

  @Override
  public void cancel(AttemptId attemptId) {
    Cancel.Builder cancel = Cancel.newBuilder().setClaim(ProtoConversions.toClaimName(attemptId));
    write(ToMachine.newBuilder().setCancel(cancel));
  }

  @Override
  public void terminate(AttemptId attemptId) {
    Stop.Builder stop = Stop.newBuilder().setClaim(ProtoConversions.toClaimName(attemptId));
    write(ToMachine.newBuilder().setStop(stop));
  }

  @Override
  public void probe() {
    lastProbeNumber++;
    write(ToMachine.newBuilder().setProbe(Probe.newBuilder().setNumber(lastProbeNumber)));
  }

  /** Whether the report answers the latest health check. */
  public boolean answersProbe(Report report) {
    return lastProbeNumber > 0 && report.getProbe() == lastProbeNumber;
  }

  private void open() {
    generation++;
    channel = newChannel();
    MachineStreamObserver observer = new MachineStreamObserver(generation);
    MachineGrpc.newStub(channel).serve(observer);
    if (observer.isCurrent()) {
      Greeting.Builder greeting = Greeting.newBuilder().setPlacer(schedulerName);
      requests.onNext(ToMachine.newBuilder().setGreeting(greeting).build());
    }
  }

  private ManagedChannel newChannel() {
    return NettyChannelBuilder.forAddress(address)
        .eventLoopGroup(eventLoop)
        .channelType(NioSocketChannel.class)
        .directExecutor()
        .offloadExecutor(eventLoop)
        .usePlaintext()
        .disableRetry()
        .maxInboundMessageSize(maxMessageBytes)
        .flowControlWindow(FLOW_CONTROL_WINDOW_BYTES)
        .withOption(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) connectTimeout.toMillis())
        .keepAliveTime(keepAlive.toMillis(), TimeUnit.MILLISECONDS)
        .keepAliveTimeout(keepAlive.toMillis(), TimeUnit.MILLISECONDS)
        .build();
  }

  private void write(ToMachine.Builder message) {
    if (requests != null) {
      requests.onNext(message.build());
    }
  }

  private void clearStream() {
    generation++;
    channel = null;
    requests = null;
  }

  /** Passes the events of one stream to the listener as long as the stream is the newest. */
  private final class MachineStreamObserver
      implements ClientResponseObserver<ToMachine, FromMachine> {
    private final int ownGeneration;
    private boolean inventoryReceived;

    MachineStreamObserver(int ownGeneration) {
      this.ownGeneration = ownGeneration;
    }

    boolean isCurrent() {
      return ownGeneration == generation;
    }

    @Override
    public void beforeStart(ClientCallStreamObserver<ToMachine> stream) {
      requests = stream;
      stream.disableAutoRequestWithInitial(1);
      stream.setOnReadyHandler(
          () -> {
            if (isCurrent()) {
              listener.transportReady();
            }
          });
    }

    @Override
    public void onNext(FromMachine message) {
      if (!isCurrent()) {
        return;
      }
      if (inventoryReceived) {
        listener.messageReceived(message);
      } else if (message.getBodyCase() == FromMachine.BodyCase.HOLDING) {
        inventoryReceived = true;
        listener.inventoryReceived(message.getHolding());
      } else {
        close("first message was " + message.getBodyCase() + ", expected the inventory");
        listener.connectionLost("first message was not the inventory");
        return;
      }
      if (isCurrent()) {
        requests.request(1);
      }
    }

    @Override
    public void onError(Throwable error) {
      streamEnded(Status.fromThrowable(error));
    }

    @Override
    public void onCompleted() {
      streamEnded(Status.OK.withDescription("the machine ended the stream"));
    }

    private void streamEnded(Status status) {
      if (!isCurrent()) {
        return;
      }
      ManagedChannel oldChannel = channel;
      clearStream();
      if (oldChannel != null) {
        oldChannel.shutdownNow();
      }
      String description = status.getDescription();
      listener.connectionLost(status.getCode() + (description == null ? "" : ": " + description));
    }
  }
}
