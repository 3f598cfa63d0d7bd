package fordridge.emulator.invariant;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;

/**
 * When the emulator's own process was kept waiting for a processor: no peer on that host was in
 * time then, so lateness of that length is no violation.
 */
final class StallHistory {
  private static final long REMEMBERED_US = TimeUnit.SECONDS.toMicros(1);

  private record Stall(long endedAtUs, long lengthUs) {}

  private final Deque<Stall> stalls = new ArrayDeque<>();

  void stalled(long endedAtUs, long lengthUs) {
    stalls.addLast(new Stall(endedAtUs, lengthUs));
  }

  /** The longest stall of the last second, zero if there was none. */
  long longestRecentUs(long nowUs) {
    stalls.removeIf(stall -> stall.endedAtUs() < nowUs - REMEMBERED_US);
    return stalls.stream().mapToLong(Stall::lengthUs).max().orElse(0);
  }
}
