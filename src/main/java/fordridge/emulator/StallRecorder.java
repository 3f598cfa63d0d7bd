package fordridge.emulator;

import fordridge.emulator.record.RecordField;
import fordridge.emulator.record.RecordedEventKind;
import fordridge.emulator.record.WireRecorder;
import java.time.Duration;
import java.util.concurrent.ScheduledExecutorService;

/**
 * Records when the emulator's own process was stalled waiting for a processor. The invariant checks
 * do not count delays of that length as violations.
 */
final class StallRecorder {
  private static final Duration INTERVAL = Duration.ofMillis(10);
  private static final Duration THRESHOLD = Duration.ofMillis(20);

  private final ScheduledExecutorService executor;
  private final WireRecorder recorder;

  StallRecorder(ScheduledExecutorService executor, WireRecorder recorder) {
    this.executor = executor;
    this.recorder = recorder;
  }

  /** Starts periodic checks, which continue until the executor is shut down. */
  void start() {
    scheduleCheck();
  }

  private void scheduleCheck() {
    long dueNanos = System.nanoTime() + INTERVAL.toNanos();
    Timers.schedule(executor, INTERVAL, () -> check(dueNanos));
  }

  private void check(long dueNanos) {
    Duration stall = Duration.ofNanos(System.nanoTime() - dueNanos);
    if (stall.compareTo(THRESHOLD) > 0) {
      recorder
          .event(Scenario.SOURCE, RecordedEventKind.EMULATOR_STALLED)
          .with(RecordField.STALL, stall.toNanos() / 1000)
          .write();
    }
    scheduleCheck();
  }
}
