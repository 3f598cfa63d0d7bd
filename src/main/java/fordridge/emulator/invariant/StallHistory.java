package fordridge.emulator.invariant;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;

/**
 * Keeps the recent stalls of the emulator's process, in which it waited for a processor. All peers
 * on the host may be late by the length of a stall, so such a delay is no violation.
 */
final class StallHistory {
  private static final long RETENTION_US = TimeUnit.SECONDS.toMicros(1);

  private record Stall(long endedAtUs, long lengthUs) {}

  private final Deque<Stall> stalls = new ArrayDeque<>();

  void add(long endedAtUs, long lengthUs) {
    stalls.addLast(new Stall(endedAtUs, lengthUs));
  }

  /** The length of the longest stall that ended within the last second; zero if there was none. */
  long longestRecentUs(long nowUs) {
    stalls.removeIf(stall -> stall.endedAtUs() < nowUs - RETENTION_US);
    return stalls.stream().mapToLong(Stall::lengthUs).max().orElse(0);
  }
}
