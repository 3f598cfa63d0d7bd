package fordridge.grpc;

import fordridge.machine.AttemptId;
import fordridge.machine.MachineStreamTransport;
import fordridge.model.PlacementAttempt;
import fordridge.v1.Cancel;
import fordridge.v1.FromMachine;
import fordridge.v1.Greeting;
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
 * The stream to one machine on gRPC: a channel for each stream, opened and closed as the link says.
 * What happens on it is handed over with the stream's number, so that a late word of an old stream
 * is known as such.
 */
public final class GrpcMachineTransport implements MachineStreamTransport {
  /** Whom the stream tells; on the placer's loop, in the order of the socket. */
  public interface Listener {
    void inventoryReceived(fordridge.v1.Holding holding);

    void messageReceived(FromMachine message);

    void transportReady();

    void connectionLost(String why);
  }

  /** How an offer is filled in beyond the claim's own fields. */
  public interface VmDescriber {
    void fill(PlacementAttempt attempt, Offer.Builder offer);
  }

  private final String placer;
  private final EventLoop loop;
  private final Duration connectTimeout;
  private final Duration keepalive;
  private final int maxMessage;
  private final Listener heard;
  private final VmDescriber describe;
  private InetSocketAddress address;
  private ManagedChannel channel;
  private ClientCallStreamObserver<ToMachine> to;
  private int generation;
  private long probes;

  public GrpcMachineTransport(
      String placer,
      EventLoop loop,
      Duration connectTimeout,
      Duration keepalive,
      int maxMessage,
      Listener heard,
      VmDescriber describe) {
    this.placer = placer;
    this.loop = loop;
    this.connectTimeout = connectTimeout;
    this.keepalive = keepalive;
    this.maxMessage = maxMessage;
    this.heard = heard;
    this.describe = describe;
  }

  public void setAddress(InetSocketAddress to) {
    address = to;
  }

  @Override
  public void connect() {
    // Not in the context of the client's call that may have brought this about: its end would end
    // the stream.
    Context.ROOT.run(this::open);
  }

  private void open() {
    int mine = ++generation;
    channel =
        NettyChannelBuilder.forAddress(address)
            .eventLoopGroup(loop)
            .channelType(NioSocketChannel.class)
            .directExecutor()
            .offloadExecutor(loop)
            .usePlaintext()
            .disableRetry()
            .maxInboundMessageSize(maxMessage)
            .flowControlWindow(1 << 18)
            .withOption(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) connectTimeout.toMillis())
            .keepAliveTime(keepalive.toMillis(), TimeUnit.MILLISECONDS)
            .keepAliveTimeout(keepalive.toMillis(), TimeUnit.MILLISECONDS)
            .build();
    MachineGrpc.newStub(channel)
        .serve(
            new ClientResponseObserver<ToMachine, FromMachine>() {
              private boolean greeted;

              @Override
              public void beforeStart(ClientCallStreamObserver<ToMachine> stream) {
                to = stream;
                stream.disableAutoRequestWithInitial(1);
                stream.setOnReadyHandler(
                    () -> {
                      if (mine == generation) {
                        heard.transportReady();
                      }
                    });
              }

              @Override
              public void onNext(FromMachine m) {
                if (mine != generation) {
                  return;
                }
                if (!greeted) {
                  if (m.getBodyCase() != FromMachine.BodyCase.HOLDING) {
                    close("its first message was " + m.getBodyCase() + ", not holding");
                    heard.connectionLost("its first message was not what it holds");
                    return;
                  }
                  greeted = true;
                  heard.inventoryReceived(m.getHolding());
                } else {
                  heard.messageReceived(m);
                }
                if (mine == generation) {
                  to.request(1);
                }
              }

              @Override
              public void onError(Throwable t) {
                over(Status.fromThrowable(t));
              }

              @Override
              public void onCompleted() {
                over(Status.OK.withDescription("the machine ended the stream"));
              }

              private void over(Status status) {
                if (mine == generation) {
                  drop();
                  heard.connectionLost(
                      status.getCode()
                          + (status.getDescription() == null
                              ? ""
                              : ": " + status.getDescription()));
                }
              }
            });
    if (mine == generation) {
      to.onNext(
          ToMachine.newBuilder().setGreeting(Greeting.newBuilder().setPlacer(placer)).build());
    }
  }

  private void drop() {
    generation++;
    if (channel != null) {
      channel.shutdownNow();
    }
    channel = null;
    to = null;
  }

  @Override
  public void close(String why) {
    ClientCallStreamObserver<ToMachine> old = to;
    ManagedChannel its = channel;
    generation++;
    to = null;
    channel = null;
    if (old != null) {
      old.cancel(why, null);
    }
    if (its != null) {
      its.shutdownNow();
    }
  }

  @Override
  public boolean isReady() {
    return to != null && to.isReady();
  }

  private void write(ToMachine.Builder m) {
    if (to != null) {
      to.onNext(m.build());
    }
  }

  @Override
  public void offer(PlacementAttempt attempt, AttemptId attemptId, Duration within) {
    Offer.Builder o =
        Offer.newBuilder()
            .setClaim(ProtoConversions.name(attemptId))
            .setFlavour(attempt.vm.priorityClass)
            .setService(attempt.vm.service)
            .setCustomer(attempt.vm.tenant)
            .setCores(attempt.vm.cores)
            .setMemory(attempt.vm.memory)
            .setWithinUs(ProtoConversions.micros(within));
    if (attempt.vm.expectedLifetime != null) {
      o.setLastsUs(ProtoConversions.micros(attempt.vm.expectedLifetime));
    }
    describe.fill(attempt, o);
    write(ToMachine.newBuilder().setOffer(o));
  }

  @Override
  public void cancel(AttemptId attemptId) {
    write(
        ToMachine.newBuilder()
            .setCancel(Cancel.newBuilder().setClaim(ProtoConversions.name(attemptId))));
  }

  @Override
  public void terminate(AttemptId attemptId) {
    write(
        ToMachine.newBuilder()
            .setStop(Stop.newBuilder().setClaim(ProtoConversions.name(attemptId))));
  }

  @Override
  public void probe() {
    write(ToMachine.newBuilder().setProbe(Probe.newBuilder().setNumber(++probes)));
  }

  /** Whether the report answers the newest probe. */
  public boolean answersProbe(Report report) {
    return report.getProbe() == probes && probes > 0;
  }
}
