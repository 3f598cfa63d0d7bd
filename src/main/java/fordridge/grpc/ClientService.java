package fordridge.grpc;

import fordridge.session.ClientSession;
import fordridge.v1.ClientMessage;
import fordridge.v1.Hello;
import fordridge.v1.PlacerMessage;
import fordridge.v1.PlacingGrpc;
import fordridge.v1.Want;
import fordridge.v1.Welcome;
import io.grpc.Status;
import io.grpc.stub.ServerCallStreamObserver;
import io.grpc.stub.StreamObserver;

/**
 * The clients' side of a placer on gRPC. Reading goes by credit: one message is asked for at a
 * time, and none while the desk says that this client must wait, so that a client that sends and
 * never reads is stopped by HTTP/2's own flow control. Writing goes by isReady. All of it happens
 * on the placer's loop.
 */
public final class ClientService extends PlacingGrpc.PlacingImplBase {
  /** What the placer does for its clients. */
  public interface RequestHandler {
    ClientSession hello(String client, String token, long seen, Stream stream);

    boolean resumed(ClientSession session, String token);

    void want(ClientSession session, Want want);

    void unwant(ClientSession session, String vm);

    boolean acknowledge(ClientSession session, long seen);

    boolean mayRead(ClientSession session);

    void away(ClientSession session, Stream stream);

    String name();
  }

  private static final int LONGEST_NAME = 200;
  private static final int LARGEST_GROUP = 100;

  private final RequestHandler handler;
  private final int maxMessage;

  public ClientService(RequestHandler handler, int maxMessage) {
    this.handler = handler;
    this.maxMessage = maxMessage;
  }

  /**
   * What the transport lets through: it resets a stream over it without a word why, so that what is
   * somewhat over our own limit is taken in and refused in words.
   */
  public static int transportLimit(int maxMessage) {
    return 4 * maxMessage;
  }

  @Override
  public StreamObserver<ClientMessage> place(StreamObserver<PlacerMessage> to) {
    Stream stream = new Stream((ServerCallStreamObserver<PlacerMessage>) to);
    stream.to.disableAutoRequest();
    stream.to.setOnReadyHandler(stream::pump);
    stream.to.setOnCancelHandler(stream::gone);
    stream.to.request(1);
    return stream;
  }

  /** One client's stream. */
  public final class Stream implements StreamObserver<ClientMessage> {
    private final ServerCallStreamObserver<PlacerMessage> to;
    private ClientSession session;
    private boolean over;
    private boolean waiting;

    private Stream(ServerCallStreamObserver<PlacerMessage> to) {
      this.to = to;
    }

    @Override
    public void onNext(ClientMessage m) {
      if (over) {
        return;
      }
      if (m.getSerializedSize() > maxMessage) {
        refuse(
            Status.RESOURCE_EXHAUSTED.withDescription(
                "a message of " + m.getSerializedSize() + " bytes, at most " + maxMessage));
        return;
      }
      String wrong = wrong(m);
      if (wrong != null) {
        refuse(Status.INVALID_ARGUMENT.withDescription(wrong));
        return;
      }
      switch (m.getBodyCase()) {
        case HELLO -> hello(m.getHello());
        case WANT -> handler.want(session, m.getWant());
        case UNWANT -> handler.unwant(session, m.getUnwant().getVm());
        default -> {
          if (!handler.acknowledge(session, m.getAck().getSeen())) {
            refuse(
                Status.INVALID_ARGUMENT.withDescription(
                    "ack.seen: " + m.getAck().getSeen() + " was never sent in this session"));
            return;
          }
        }
      }
      waiting = true;
      pump();
    }

    /** What is wrong with a message for a person to read, or null. */
    private String wrong(ClientMessage m) {
      switch (m.getBodyCase()) {
        case HELLO -> {
          return session != null
              ? "hello: a second one on one stream"
              : nameWrong("hello.client", m.getHello().getClient());
        }
        case WANT -> {
          Want w = m.getWant();
          String name = nameWrong("want.vm", w.getVm());
          return session == null
              ? "the first message must be hello"
              : name != null
                  ? name
                  : !(w.getCores() > 0 && w.getCores() < 1e6)
                      ? "want.cores: " + w.getCores() + " is not above 0 and below a million"
                      : !(w.getMemory() > 0 && w.getMemory() < 1e9)
                          ? "want.memory: " + w.getMemory() + " is not above 0 and below 1e9"
                          : w.getTimeLeftUs() < 0 || w.getTimeLeftUs() > 3_600_000_000L
                              ? "want.time_left_us: more than an hour"
                              : w.getGroup().length() > LONGEST_NAME
                                  ? "want.group: "
                                      + w.getGroup().length()
                                      + " characters, at most "
                                      + LONGEST_NAME
                                  : w.getGroup().isEmpty() != (w.getGroupSize() == 0)
                                          || w.getGroupSize() == 1
                                          || w.getGroupSize() > LARGEST_GROUP
                                      ? "want.group_size: "
                                          + w.getGroupSize()
                                          + ", allowed: 2 to "
                                          + LARGEST_GROUP
                                          + " with a group, 0 without"
                                      : null;
        }
        case UNWANT -> {
          return session == null
              ? "the first message must be hello"
              : nameWrong("unwant.vm", m.getUnwant().getVm());
        }
        case ACK -> {
          return session == null ? "the first message must be hello" : null;
        }
        default -> {
          return "a message without a body that this placer knows";
        }
      }
    }

    private String nameWrong(String field, String name) {
      return name.isEmpty()
          ? field + ": empty"
          : name.length() > LONGEST_NAME
              ? field + ": " + name.length() + " characters, at most " + LONGEST_NAME
              : null;
    }

    private void hello(Hello h) {
      session = handler.hello(h.getClient(), h.getResumeToken(), h.getSeen(), this);
      to.onNext(
          PlacerMessage.newBuilder()
              .setWelcome(
                  Welcome.newBuilder()
                      .setPlacer(handler.name())
                      .setResumeToken(session.token)
                      .setResumed(handler.resumed(session, h.getResumeToken())))
              .build());
    }

    /** Writes what the session has to say while the transport takes it, then reads on if it may. */
    public void pump() {
      if (over || session == null) {
        return;
      }
      while (to.isReady()) {
        ClientSession.NumberedResponse told = session.next();
        if (told == null) {
          break;
        }
        to.onNext(ProtoConversions.message(told));
      }
      if (waiting && handler.mayRead(session)) {
        waiting = false;
        to.request(1);
      }
    }

    /** The client came back on another stream. */
    public void replaced() {
      refuse(Status.ABORTED.withDescription("the client came back on another stream"));
    }

    /** Ends the stream with a status; the session stays. */
    public void refuse(Status why) {
      if (!over) {
        gone();
        to.onError(why.asRuntimeException());
      }
    }

    private void gone() {
      if (!over) {
        over = true;
        if (session != null) {
          handler.away(session, this);
        }
      }
    }

    @Override
    public void onError(Throwable t) {
      gone();
    }

    @Override
    public void onCompleted() {
      if (!over) {
        gone();
        to.onCompleted();
      }
    }
  }
}
