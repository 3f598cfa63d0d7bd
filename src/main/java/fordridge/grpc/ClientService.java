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
 * The gRPC service for clients: validates the messages of each stream, passes them to the {@link
 * RequestHandler}, and writes the responses of the client's session.
 *
 * <p>Flow control: one message at a time is requested from the transport, and none while {@link
 * RequestHandler#mayReadMore} is false, so that HTTP/2 flow control stops a client that sends
 * requests and never reads responses. Responses are written while the transport is ready.
 * Everything runs on the scheduler's event loop.
 */
public final class ClientService extends PlacingGrpc.PlacingImplBase {
  /** Handles the events of clients' streams; called on the scheduler's event loop. */
  public interface RequestHandler {
    /** A client opened a stream; returns the session that the stream carries from now on. */
    ClientSession clientConnected(
        String client, String resumeToken, long lastSeen, ClientStream stream);

    /** Whether the token was issued for this session, so that the client has resumed it. */
    boolean isResumed(ClientSession session, String resumeToken);

    /** A client requests the placement of a VM. */
    void placementRequested(ClientSession session, Want request);

    /** A client withdrew its request for a VM. */
    void requestWithdrawn(ClientSession session, String vm);

    /** A client processed the responses up to a sequence number; false if it was never sent. */
    boolean acknowledge(ClientSession session, long sequence);

    /** Whether another message may be read from the client now. */
    boolean mayReadMore(ClientSession session);

    /** The stream ended; the session is kept, so that the client can resume it. */
    void streamClosed(ClientSession session, ClientStream stream);

    /** The scheduler's name, which is sent to clients in {@code welcome}. */
    String schedulerName();
  }

  /**
   * Ratio of the transport's message size limit to this service's. The transport resets a stream
   * whose message exceeds its limit without a reason; a message between the two limits is received,
   * and its stream ends with a status that names the size and the limit.
   */
  private static final int TRANSPORT_LIMIT_FACTOR = 4;

  private final RequestHandler handler;
  private final int maxMessageBytes;

  /** Creates the service; a message larger than {@code maxMessageBytes} ends its stream. */
  public ClientService(RequestHandler handler, int maxMessageBytes) {
    this.handler = handler;
    this.maxMessageBytes = maxMessageBytes;
  }

  /** The message size limit to configure in the transport, in bytes. */
  public static int transportLimit(int maxMessageBytes) {
    return TRANSPORT_LIMIT_FACTOR * maxMessageBytes;
  }

  @Override
  public StreamObserver<ClientMessage> place(StreamObserver<PlacerMessage> responses) {
    ClientStream stream = new ClientStream((ServerCallStreamObserver<PlacerMessage>) responses);
    stream.transport.disableAutoRequest();
    stream.transport.setOnReadyHandler(stream::flushAndRequestMore);
    stream.transport.setOnCancelHandler(stream::closed);
    stream.transport.request(1);
    return stream;
  }

  /** One client's stream. */
  public final class ClientStream implements StreamObserver<ClientMessage> {
    private final ServerCallStreamObserver<PlacerMessage> transport;

    /** Null until {@code hello}, the first message, is received. */
    private ClientSession session;

    private boolean isClosed;

    /** Whether the last message was handled and the next one was not requested yet. */
    private boolean isRequestDue;

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
                "message has " + bytes + " bytes, the limit is " + maxMessageBytes));
        return;
      }
      try {
        ClientMessageValidator.validate(message, session != null);
        handle(message);
      } catch (InvalidClientMessageException e) {
        closeWith(Status.INVALID_ARGUMENT.withDescription(e.getMessage()));
        return;
      }
      isRequestDue = true;
      flushAndRequestMore();
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

    /**
     * Writes the session's responses while the transport is ready, then requests the next message
     * if one is due and the client may send more.
     */
    public void flushAndRequestMore() {
      if (isClosed || session == null) {
        return;
      }
      boolean hasMore = true;
      while (hasMore && transport.isReady()) {
        Optional<NumberedResponse> next = session.nextToWrite();
        next.map(ProtoConversions::toPlacerMessage).ifPresent(transport::onNext);
        hasMore = next.isPresent();
      }
      if (isRequestDue && handler.mayReadMore(session)) {
        isRequestDue = false;
        transport.request(1);
      }
    }

    /** Ends the stream, as the client opened another one for the same session. */
    public void replaced() {
      closeWith(
          Status.ABORTED.withDescription("the client opened another stream for this session"));
    }

    /** Ends the stream with a status; the session is kept. */
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
      // The client cancelled the stream or lost its connection; in both cases it may resume.
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
