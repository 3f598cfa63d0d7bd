package fordridge.emulator;

import fordridge.v1.FromMachine;
import fordridge.v1.MachineGrpc;
import fordridge.v1.ToMachine;
import io.grpc.Status;
import io.grpc.stub.ServerCallStreamObserver;
import io.grpc.stub.StreamObserver;
import java.util.Optional;

/**
 * The gRPC service of one machine for the schedulers' streams. Runs on the machine's event loop.
 */
final class MachineService extends MachineGrpc.MachineImplBase {
  /** Receives the events of the streams. */
  interface Handler {
    /** A scheduler opened its stream with a greeting. */
    void greeted(String scheduler, ServerCallStreamObserver<FromMachine> stream);

    /** A message other than the greeting arrived from a scheduler. */
    void received(String scheduler, ToMachine message);

    /** The stream of a scheduler closed after the greeting. */
    void closed(String scheduler, ServerCallStreamObserver<FromMachine> stream);
  }

  private final Handler handler;

  MachineService(Handler handler) {
    this.handler = handler;
  }

  @Override
  public StreamObserver<ToMachine> serve(StreamObserver<FromMachine> responses) {
    ServerCallStreamObserver<FromMachine> stream =
        (ServerCallStreamObserver<FromMachine>) responses;
    // gRPC throws on a write to a cancelled stream unless a cancel handler is set.
    stream.setOnCancelHandler(() -> {});
    return new SchedulerStream(stream);
  }

  private final class SchedulerStream implements StreamObserver<ToMachine> {
    private final ServerCallStreamObserver<FromMachine> stream;
    private Optional<String> scheduler = Optional.empty();

    SchedulerStream(ServerCallStreamObserver<FromMachine> stream) {
      this.stream = stream;
    }

    @Override
    public void onNext(ToMachine message) {
      if (scheduler.isPresent()) {
        handler.received(scheduler.get(), message);
      } else if (message.getBodyCase() == ToMachine.BodyCase.GREETING) {
        scheduler = Optional.of(message.getGreeting().getPlacer());
        handler.greeted(scheduler.get(), stream);
      } else {
        stream.onError(
            Status.INVALID_ARGUMENT
                .withDescription("the first message on a machine's stream must be greeting")
                .asRuntimeException());
      }
    }

    @Override
    public void onError(Throwable cause) {
      closed();
    }

    @Override
    public void onCompleted() {
      closed();
      stream.onCompleted();
    }

    private void closed() {
      scheduler.ifPresent(name -> handler.closed(name, stream));
    }
  }
}
