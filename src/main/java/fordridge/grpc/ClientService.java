package fordridge.grpc;

import fordridge.session.ClientSession;
import fordridge.session.ClientSession.NumberedResponse;
import fordridge.v1.Ack;
import fordridge.v1.ClientMessage;
import fordridge.v1.Hello;
import fordridge.v1.PlacerMessage;
import fordridge.v1.PlacingGrpc;
import fordridge.v1.Want;
import fordridge.v1.Welcome;
import io.grpc.Status;
import io.grpc.stub.ServerCallStreamObserver;
import io.grpc.stub.StreamObserver;
import java.util.Optional;

/**
 * The clients' streams on gRPC: validates messages, hands them to the {@link RequestHandler}, and
 * writes the responses of the client's session.
 *
 * <p>Flow control: one message is requested from the transport at a time, and none while the
 * handler says that this client must wait, so that a client that sends and never reads is stopped
 * by HTTP/2's own flow control. Responses are written while the transport is ready. All of it
 * happens on the scheduler's event loop.
 */
public final class ClientService extends PlacingGrpc.PlacingImplBase {
  /** The scheduler's side of the clients' streams; called on its event loop. */
  public interface RequestHandler {
    /** A client opened a stream; returns the session that the stream carries. */
    ClientSession clientConnected(
        String client, String resumeToken, long lastSeen, ClientStream stream);

    /** Whether the session is the one that the token was issued for. */
    boolean isResumed(ClientSession session, String resumeToken);

    /** A client requests the placement of a VM. */
    void placementRequested(ClientSession session, Want request);

    /** A client no longer wants a VM. */
    void requestWithdrawn(ClientSession session, String vm);

    /** A client has taken in the responses up to a number; false if it was never sent. */
    boolean acknowledge(ClientSession session, long sequence);

    /** Whether more may be read from the client now. */
    boolean mayReadMore(ClientSession session);

    /** The stream ended; the session stays. */
    void streamClosed(ClientSession session, ClientStream stream);

    /** The name by which the scheduler introduces itself to clients. */
    String schedulerName();
  }

  /**
   * How far the transport's limit lies above ours: the transport resets a stream over its limit
   * without a reason, so that what is somewhat over ours is received and rejected with one.
   */
  private static final int TRANSPORT_LIMIT_FACTOR = 4;

  private final RequestHandler handler;
  private final int maxMessageBytes;

  /** Creates the service; a longer message than {@code maxMessageBytes} ends its stream. */
  public ClientService(RequestHandler handler, int maxMessageBytes) {
    this.handler = handler;
    this.maxMessageBytes = maxMessageBytes;
  }

  /** The limit of a message's size, in bytes, that the transport is to be given. */
  public static int transportLimit(int maxMessageBytes) {
    return TRANSPORT_LIMIT_FACTOR * maxMessageBytes;
  }

  @Override
  public StreamObserver<ClientMessage> place(StreamObserver<PlacerMessage> responses) {
    ClientStream stream = new ClientStream((ServerCallStreamObserver<PlacerMessage>) responses);
    stream.transport.disableAutoRequest();
    stream.transport.setOnReadyHandler(stream::pump);
    stream.transport.setOnCancelHandler(stream::closed);
    stream.transport.request(1);
    return stream;
  }

  /** One client's stream. */
  public final class ClientStream implements StreamObserver<ClientMessage> {
    private final ServerCallStreamObserver<PlacerMessage> transport;

    /** Set by the first message, hello. */
    private ClientSession session;

    private boolean isClosed;

    /** Whether the next message is still to be requested from the transport. */
    private boolean isReadDue;

    private ClientStream(ServerCallStreamObserver<PlacerMessage> transport) {
      this.transport = transport;
    }

    @Override
    public void onNext(ClientMessage message) {
      if (isClosed) {
        return;
      }
      int bytes = message.getSerializedSize();
      if (bytes > maxMessageBytes) {
        closeWith(
            Status.RESOURCE_EXHAUSTED.withDescription(
                "a message of " + bytes + " bytes, at most " + maxMessageBytes));
        return;
      }
      try {
        ClientMessageValidator.validate(message, session != null);
        handle(message);
      } catch (InvalidClientMessageException e) {
        closeWith(Status.INVALID_ARGUMENT.withDescription(e.getMessage()));
        return;
      }
      isReadDue = true;
      pump();
    }

    private void handle(ClientMessage message) throws InvalidClientMessageException {
      switch (message.getBodyCase()) {
        case HELLO -> connect(message.getHello());
        case WANT -> handler.placementRequested(session, message.getWant());
        case UNWANT -> handler.requestWithdrawn(session, message.getUnwant().getVm());
        default -> acknowledge(message.getAck());
      }
    }

    private void connect(Hello hello) {
      session =
          handler.clientConnected(hello.getClient(), hello.getResumeToken(), hello.getSeen(), this);
      Welcome.Builder welcome =
          Welcome.newBuilder()
              .setPlacer(handler.schedulerName())
              .setResumeToken(session.resumeToken())
              .setResumed(handler.isResumed(session, hello.getResumeToken()));
      transport.onNext(PlacerMessage.newBuilder().setWelcome(welcome).build());
    }

    private void acknowledge(Ack ack) throws InvalidClientMessageException {
      if (!handler.acknowledge(session, ack.getSeen())) {
        throw new InvalidClientMessageException(
            "ack.seen", ack.getSeen() + " was never sent in this session");
      }
    }

    /** Writes the session's responses while the transport takes them, then reads on if it may. */
    public void pump() {
      if (isClosed || session == null) {
        return;
      }
      boolean hasMore = true;
      while (hasMore && transport.isReady()) {
        Optional<NumberedResponse> next = session.nextToWrite();
        next.map(ProtoConversions::toPlacerMessage).ifPresent(transport::onNext);
        hasMore = next.isPresent();
      }
      if (isReadDue && handler.mayReadMore(session)) {
        isReadDue = false;
        transport.request(1);
      }
    }

    /** The client opened another stream for the same session, which takes this one's place. */
    public void replaced() {
      closeWith(Status.ABORTED.withDescription("the client came back on another stream"));
    }

    /** Ends the stream with a status; the session stays. */
    private void closeWith(Status reason) {
      if (!isClosed) {
        closed();
        transport.onError(reason.asRuntimeException());
      }
    }

    private void closed() {
      if (!isClosed) {
        isClosed = true;
        if (session != null) {
          handler.streamClosed(session, this);
        }
      }
    }

    @Override
    public void onError(Throwable cause) {
      // The client broke the stream off or lost its connection; either way it may resume.
      closed();
    }

    @Override
    public void onCompleted() {
      if (!isClosed) {
        closed();
        transport.onCompleted();
      }
    }
  }
}
