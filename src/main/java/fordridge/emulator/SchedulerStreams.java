package fordridge.emulator;

import fordridge.emulator.record.RecordField;
import fordridge.emulator.record.RecordKind;
import fordridge.emulator.record.WireRecorder;
import fordridge.v1.FromMachine;
import io.grpc.Status;
import io.grpc.stub.ServerCallStreamObserver;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** The schedulers' streams to a machine, by scheduler. To be used on the machine's event loop. */
final class SchedulerStreams {
  private final String machine;
  private final WireRecorder recorder;
  private final Map<String, ServerCallStreamObserver<FromMachine>> byScheduler = new HashMap<>();

  SchedulerStreams(String machine, WireRecorder recorder) {
    this.machine = machine;
    this.recorder = recorder;
  }

  /** A stream replaces the scheduler's earlier one. */
  void opened(String scheduler, ServerCallStreamObserver<FromMachine> stream) {
    byScheduler.put(scheduler, stream);
  }

  void closed(String scheduler, ServerCallStreamObserver<FromMachine> stream) {
    byScheduler.remove(scheduler, stream);
    recorder
        .event(machine, RecordKind.STREAM_CLOSED)
        .with(RecordField.SCHEDULER, scheduler)
        .write();
  }

  Optional<ServerCallStreamObserver<FromMachine>> find(String scheduler) {
    return Optional.ofNullable(byScheduler.get(scheduler));
  }

  /** Breaks a scheduler's stream, if it has one. */
  void cut(String scheduler) {
    ServerCallStreamObserver<FromMachine> stream = byScheduler.remove(scheduler);
    if (stream != null) {
      recorder.event(machine, RecordKind.CUT).with(RecordField.SCHEDULER, scheduler).write();
      stream.onError(Status.UNAVAILABLE.withDescription("cut").asRuntimeException());
    }
  }

  void cutAll() {
    List.copyOf(byScheduler.keySet()).forEach(this::cut);
  }

  /** Forgets the streams; their connections break. */
  void forgetAll() {
    byScheduler.clear();
  }
}
