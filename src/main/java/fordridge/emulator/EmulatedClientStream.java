package fordridge.emulator;

import fordridge.emulator.record.RecordField;
import fordridge.emulator.record.RecordedEventKind;
import fordridge.emulator.record.WireRecorder;
import fordridge.v1.Ack;
import fordridge.v1.ClientMessage;
import fordridge.v1.Hello;
import fordridge.v1.PlacerMessage;
import fordridge.v1.PlacingGrpc;
import fordridge.v1.Welcome;
import io.grpc.ManagedChannel;
import io.grpc.netty.NettyChannelBuilder;
import io.grpc.stub.ClientCallStreamObserver;
import io.grpc.stub.ClientResponseObserver;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.time.Duration;
import java.util.Optional;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * The stream of an emulated client to its scheduler: connects, reconnects after a failure, resumes
 * the session with its token, and acknowledges received messages. Confined to the client's event
 * loop.
 */
final class EmulatedClientStream {
  private static final int MIN_RECONNECT_MILLIS = 20;
  private static final int RECONNECT_JITTER_MILLIS = 60;

  /** Number of received messages after which an acknowledgement is sent. */
  private static final int MESSAGES_PER_ACKNOWLEDGEMENT = 16;

  /** Receives the events of the session, on the event loop. */
  interface Handler {
    /** The scheduler resumed the session or opened a new one. */
    void connected();

    /** The transport is ready for more messages. */
    void writable();

    /** A message arrived that is neither a welcome nor a repetition. */
    void received(PlacerMessage message, long nowUs);
  }

  private final String client;
  private final int port;
  private final EventLoop loop;
  private final WireRecorder recorder;
  private final UniformRandomProvider random;
  private final Handler handler;
  private Optional<ManagedChannel> channel = Optional.empty();
  private Optional<ClientCallStreamObserver<ClientMessage>> stream = Optional.empty();

  /** Number of the current stream; events of earlier streams are ignored. */
  private int generation;

  private boolean isOpen;
  private boolean isSessionEstablished;
  private String resumeToken = "";
  private long lastReceivedSequence;
  private long lastAcknowledgedSequence;
  private int acceptancesToCut;
  private Duration disconnectTimeAfterAcceptance = Duration.ZERO;

  EmulatedClientStream(
      String client,
      int port,
      EventLoop loop,
      WireRecorder recorder,
      UniformRandomProvider random,
      Handler handler) {
    this.client = client;
    this.port = port;
    this.loop = loop;
    this.recorder = recorder;
    this.random = random;
    this.handler = handler;
  }

  void open() {
    isOpen = true;
    connect();
  }

  boolean isOpen() {
    return isOpen;
  }

  private void connect() {
    if (!isOpen || stream.isPresent()) {
      return;
    }
    generation++;
    if (channel.isEmpty()) {
      channel = Optional.of(newChannel());
    }
    PlacingGrpc.newStub(channel.get()).place(new Responses(generation));
    recorder
        .event(client, RecordedEventKind.CLIENT_STREAM_OPENED)
        .with(RecordField.IS_RESUMING, !resumeToken.isEmpty())
        .with(RecordField.LAST_SEEN_SEQUENCE, lastReceivedSequence)
        .write();
    write(
        ClientMessage.newBuilder()
            .setHello(
                Hello.newBuilder()
                    .setClient(client)
                    .setResumeToken(resumeToken)
                    .setSeen(lastReceivedSequence)));
  }

  private ManagedChannel newChannel() {
    return NettyChannelBuilder.forAddress("127.0.0.1", port)
        .eventLoopGroup(loop)
        .channelType(NioSocketChannel.class)
        .directExecutor()
        .usePlaintext()
        .disableRetry()
        .build();
  }

  /** Passes on the events of one stream until another stream replaces it. */
  private final class Responses implements ClientResponseObserver<ClientMessage, PlacerMessage> {
    private final int ownGeneration;

    Responses(int ownGeneration) {
      this.ownGeneration = ownGeneration;
    }

    private boolean isCurrent() {
      return ownGeneration == generation;
    }

    @Override
    public void beforeStart(ClientCallStreamObserver<ClientMessage> requests) {
      stream = Optional.of(requests);
      requests.setOnReadyHandler(
          () -> {
            if (isCurrent()) {
              handler.writable();
            }
          });
    }

    @Override
    public void onNext(PlacerMessage message) {
      if (isCurrent()) {
        received(message);
      }
    }

    @Override
    public void onError(Throwable cause) {
      if (isCurrent()) {
        streamBroken(cause.toString());
      }
    }

    @Override
    public void onCompleted() {
      if (isCurrent()) {
        streamBroken("completed");
      }
    }
  }

  private void streamBroken(String reason) {
    dropStream();
    recorder
        .event(client, RecordedEventKind.CLIENT_STREAM_BROKEN)
        .with(RecordField.REASON, reason)
        .write();
    int delayMillis = MIN_RECONNECT_MILLIS + random.nextInt(RECONNECT_JITTER_MILLIS);
    Timers.schedule(loop, Duration.ofMillis(delayMillis), this::connect);
  }

  private void dropStream() {
    stream = Optional.empty();
    isSessionEstablished = false;
    generation++;
  }

  /** Breaks the stream, and reconnects after the given time. */
  void cut(Duration disconnectTime) {
    if (stream.isEmpty()) {
      return;
    }
    ClientCallStreamObserver<ClientMessage> old = stream.get();
    dropStream();
    recorder.event(client, RecordedEventKind.STREAM_CUT).write();
    old.cancel("cut", null);
    Timers.schedule(loop, disconnectTime, this::connect);
  }

  /**
   * Breaks the stream when each of the next acceptances arrives, before the client handles or
   * acknowledges it.
   */
  void cutAtAcceptances(int times, Duration disconnectTime) {
    acceptancesToCut = times;
    disconnectTimeAfterAcceptance = disconnectTime;
  }

  void close() {
    isOpen = false;
    stream.ifPresent(
        open -> {
          open.cancel("the scenario has ended", null);
          stream = Optional.empty();
          generation++;
        });
    channel.ifPresent(ManagedChannel::shutdownNow);
  }

  /** Whether a request can be sent now without being buffered. */
  boolean isWritable() {
    return isSessionEstablished && stream.isPresent() && stream.get().isReady();
  }

  /** Sends a message; drops it if no stream is open. */
  void write(ClientMessage.Builder message) {
    stream.ifPresent(open -> open.onNext(message.build()));
  }

  private void received(PlacerMessage message) {
    long nowUs = recorder.nowUs();
    if (message.hasBound() && acceptancesToCut > 0) {
      acceptancesToCut--;
      cut(disconnectTimeAfterAcceptance);
      return;
    }
    if (message.getSeq() > 0) {
      if (message.getSeq() <= lastReceivedSequence) {
        recorder
            .event(client, RecordedEventKind.SEQUENCE_REPEATED)
            .with(RecordField.SEQUENCE, message.getSeq())
            .write();
        return;
      }
      lastReceivedSequence = message.getSeq();
    }
    if (message.hasWelcome()) {
      welcomed(message.getWelcome());
    } else {
      handler.received(message, nowUs);
    }
    acknowledge();
  }

  private void welcomed(Welcome welcome) {
    recorder
        .event(client, RecordedEventKind.SESSION_OPENED)
        .with(RecordField.IS_RESUMED, welcome.getResumed())
        .write();
    if (!welcome.getResumed()) {
      lastReceivedSequence = 0;
      lastAcknowledgedSequence = 0;
    }
    resumeToken = welcome.getResumeToken();
    isSessionEstablished = true;
    handler.connected();
  }

  private void acknowledge() {
    if (lastReceivedSequence - lastAcknowledgedSequence >= MESSAGES_PER_ACKNOWLEDGEMENT) {
      lastAcknowledgedSequence = lastReceivedSequence;
      write(ClientMessage.newBuilder().setAck(Ack.newBuilder().setSeen(lastReceivedSequence)));
    }
  }
}
