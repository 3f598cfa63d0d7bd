package fordridge.emulator;

import fordridge.emulator.record.RecordField;
import fordridge.emulator.record.RecordedEventKind;
import fordridge.emulator.record.WireRecorder;
import fordridge.v1.FromMachine;
import io.grpc.Status;
import io.grpc.stub.ServerCallStreamObserver;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** The open streams of the schedulers to a machine. Confined to the machine's event loop. */
final class SchedulerStreams {
  private final String machine;
  private final WireRecorder recorder;
  private final Map<String, ServerCallStreamObserver<FromMachine>> byScheduler = new HashMap<>();

  SchedulerStreams(String machine, WireRecorder recorder) {
    this.machine = machine;
    this.recorder = recorder;
  }

  /** Registers a stream, which replaces the scheduler's earlier one. */
  void opened(String scheduler, ServerCallStreamObserver<FromMachine> stream) {
    byScheduler.put(scheduler, stream);
  }

  void closed(String scheduler, ServerCallStreamObserver<FromMachine> stream) {
    byScheduler.remove(scheduler, stream);
    recorder
        .event(machine, RecordedEventKind.STREAM_CLOSED)
        .with(RecordField.SCHEDULER, scheduler)
        .write();
  }

  Optional<ServerCallStreamObserver<FromMachine>> find(String scheduler) {
    return Optional.ofNullable(byScheduler.get(scheduler));
  }

  /** Breaks the stream of a scheduler, if one is open. */
  void cut(String scheduler) {
    ServerCallStreamObserver<FromMachine> stream = byScheduler.remove(scheduler);
    if (stream != null) {
      recorder
          .event(machine, RecordedEventKind.STREAM_CUT)
          .with(RecordField.SCHEDULER, scheduler)
          .write();
      stream.onError(Status.UNAVAILABLE.withDescription("cut").asRuntimeException());
    }
  }

  void cutAll() {
    List.copyOf(byScheduler.keySet()).forEach(this::cut);
  }

  /** Forgets all streams without ending them, for use when their connections are closed. */
  void forgetAll() {
    byScheduler.clear();
  }
}
