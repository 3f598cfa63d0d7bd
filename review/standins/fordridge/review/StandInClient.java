package fordridge.review;

import fordridge.v1.ClientMessage;
import fordridge.v1.Hello;
import fordridge.v1.PlacerMessage;
import fordridge.v1.PlacingGrpc;
import fordridge.v1.Unwant;
import fordridge.v1.Want;
import io.grpc.ManagedChannel;
import io.grpc.netty.NettyChannelBuilder;
import io.grpc.stub.StreamObserver;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

/**
 * A sound client as src/main/proto/fordridge/v1/client.proto describes it: one stream at a time; it
 * remembers the token of the last Welcome and the highest number seen, and shows both when it
 * connects again.
 */
final class StandInClient {
  private final String name;
  private final Record record;
  private final List<PlacerMessage> responses = new ArrayList<>();
  private String token = "";
  private long seen;
  private ManagedChannel channel;
  private StreamObserver<ClientMessage> out;
  private int generation;

  StandInClient(String name, Record record) {
    this.name = name;
    this.record = record;
  }

  /** Connects and waits for Welcome; false if the connection failed or broke before it. */
  boolean connect(int port, long timeoutMillis) throws InterruptedException {
    return connect(port, timeoutMillis, () -> {});
  }

  /** The same; {@code atWelcome} runs as Welcome is read, before any message behind it. */
  boolean connect(int port, long timeoutMillis, Runnable atWelcome) throws InterruptedException {
    close();
    CountDownLatch settled = new CountDownLatch(1);
    boolean[] welcomed = {false};
    int own;
    synchronized (this) {
      own = ++generation;
      channel = NettyChannelBuilder.forAddress("127.0.0.1", port).usePlaintext().build();
      out =
          PlacingGrpc.newStub(channel)
              .place(
                  new StreamObserver<>() {
                    @Override
                    public void onNext(PlacerMessage message) {
                      synchronized (StandInClient.this) {
                        if (own != generation) {
                          return;
                        }
                        if (message.hasWelcome()) {
                          if (!message.getWelcome().getResumed()) {
                            seen = 0;
                          }
                          token = message.getWelcome().getResumeToken();
                          welcomed[0] = true;
                          record.line(
                              name,
                              "received Welcome resumed=" + message.getWelcome().getResumed());
                          atWelcome.run();
                          settled.countDown();
                          return;
                        }
                        seen = Math.max(seen, message.getSeq());
                        responses.add(message);
                        record.line(name, "received " + text(message));
                        StandInClient.this.notifyAll();
                      }
                    }

                    @Override
                    public void onError(Throwable error) {
                      settled.countDown();
                      synchronized (StandInClient.this) {
                        if (own == generation) {
                          record.line(name, "stream broke: " + error.getMessage());
                        }
                      }
                    }

                    @Override
                    public void onCompleted() {
                      settled.countDown();
                    }
                  });
      record.line(name, "sent Hello" + (token.isEmpty() ? "" : " with its token") + " seen=" + seen);
      send(
          ClientMessage.newBuilder()
              .setHello(
                  Hello.newBuilder().setClient(name).setResumeToken(token).setSeen(seen)));
    }
    settled.await(timeoutMillis, TimeUnit.MILLISECONDS);
    return welcomed[0];
  }

  synchronized void want(Want.Builder want) {
    record.line(
        name,
        "sent Want "
            + want.getVm()
            + " "
            + want.getFlavour()
            + (want.getGroup().isEmpty() ? "" : " group " + want.getGroup())
            + " time left "
            + want.getTimeLeftUs() / 1000
            + " ms");
    send(ClientMessage.newBuilder().setWant(want));
  }

  synchronized void unwant(String vm) {
    record.line(name, "sent Unwant " + vm);
    send(ClientMessage.newBuilder().setUnwant(Unwant.newBuilder().setVm(vm)));
  }

  private void send(ClientMessage.Builder message) {
    out.onNext(message.build());
  }

  /** Waits for a response that fits; null after the timeout. */
  synchronized PlacerMessage await(Predicate<PlacerMessage> fits, long timeoutMillis)
      throws InterruptedException {
    long end = System.nanoTime() + timeoutMillis * 1_000_000;
    while (true) {
      for (PlacerMessage message : responses) {
        if (fits.test(message)) {
          return message;
        }
      }
      long left = (end - System.nanoTime()) / 1_000_000;
      if (left <= 0) {
        return null;
      }
      wait(left);
    }
  }

  synchronized List<PlacerMessage> responses() {
    return List.copyOf(responses);
  }

  static boolean isFinal(PlacerMessage message) {
    return message.hasBound() || message.hasDenied() || message.hasErrored();
  }

  /** The VM that the message is about. */
  static String vm(PlacerMessage message) {
    return switch (message.getBodyCase()) {
      case BOUND -> message.getBound().getVm();
      case DENIED -> message.getDenied().getVm();
      case ERRORED -> message.getErrored().getVm();
      case ENDED -> message.getEnded().getVm();
      case MOVED -> message.getMoved().getVm();
      default -> "";
    };
  }

  private static String text(PlacerMessage message) {
    String text = message.getSeq() + " " + message.getBodyCase() + " " + vm(message);
    return switch (message.getBodyCase()) {
      case BOUND -> text + " on " + message.getBound().getMachine();
      case DENIED -> text + " (" + message.getDenied().getReason() + ")";
      case ERRORED -> text + " (" + message.getErrored().getReason() + ")";
      case ENDED -> text + " " + message.getEnded().getHow();
      default -> text;
    };
  }

  /** Drops the stream and its connection. */
  synchronized void close() {
    generation++;
    if (channel != null) {
      channel.shutdownNow();
      channel = null;
    }
  }
}
