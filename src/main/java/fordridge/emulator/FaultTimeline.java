package fordridge.emulator;

import fordridge.emulator.record.RecordField;
import fordridge.emulator.record.RecordedEventKind;
import fordridge.emulator.record.WireRecorder;
import java.time.Duration;
import java.util.concurrent.ScheduledExecutorService;

/** Runs the steps of faults at their scheduled times on one thread, and records failed steps. */
final class FaultTimeline {
  private static final String SOURCE = "faults";

  private final ScheduledExecutorService executor;
  private final WireRecorder recorder;

  FaultTimeline(ScheduledExecutorService executor, WireRecorder recorder) {
    this.executor = executor;
    this.recorder = recorder;
  }

  void runAfter(Duration delay, Runnable step) {
    Timers.schedule(executor, Duration.ofMillis(delay.toMillis()), () -> run(step));
  }

  void recordBegin(ScenarioFault fault) {
    recorder
        .event(SOURCE, RecordedEventKind.FAULT_BEGINS)
        .with(RecordField.FAULT_KIND, fault.kind().text())
        .write();
  }

  private void run(Runnable step) {
    try {
      step.run();
    } catch (RuntimeException e) {
      recorder
          .event(SOURCE, RecordedEventKind.FAULT_FAILED)
          .with(RecordField.REASON, e.toString())
          .write();
    }
  }
}
