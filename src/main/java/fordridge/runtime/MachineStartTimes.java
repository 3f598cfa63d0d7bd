package fordridge.runtime;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/**
 * Turns the Unix times at which machines started into times of the scheduler's own clock.
 *
 * <p>The wall clock of the scheduler's host may be off by an hour when the process starts: it may
 * have been stepped. A machine would then look warmed up at its start, or be in slow start for
 * good. Two observations prove that, and correct the offset: a start in the future, and a machine
 * that the watch reports as new although it started long ago. The correction errs to a later start,
 * so to a slower ramp. For one thread.
 */
public final class MachineStartTimes {
  /** Longer than a list is late, and than its server is away. */
  static final Duration MAX_WATCH_DELAY = Duration.ofSeconds(30);

  private record Start(long epochMillis, Duration startedAt) {}

  /** Of the listed machines, so that the same start is the same time whatever is learned later. */
  private final Map<String, Start> startsByMachine = new HashMap<>();

  private long epochMillisAtZero;

  /** The wall clock's time at the zero of the scheduler's clock, as far as the host knows it. */
  public MachineStartTimes(long epochMillisAtZero) {
    this.epochMillisAtZero = epochMillisAtZero;
  }

  /**
   * When the machine started, by the scheduler's clock; negative before its zero.
   *
   * @param isFromWatch whether it was told by the watch just now, not by the list of the configuration
   */
  public Duration startedAt(
      String machineId, long startedAtEpochMillis, boolean isFromWatch, Duration now) {
    Start known = startsByMachine.get(machineId);
    if (known != null && known.epochMillis == startedAtEpochMillis) {
      return known.startedAt;
    }
    Duration startTime = convert(startedAtEpochMillis, isFromWatch && known == null, now);
    startsByMachine.put(machineId, new Start(startedAtEpochMillis, startTime));
    return startTime;
  }

  private Duration convert(long startedAtEpochMillis, boolean isNewFromWatch, Duration now) {
    Duration startedAt = Duration.ofMillis(startedAtEpochMillis - epochMillisAtZero);
    boolean isInFuture = startedAt.compareTo(now) > 0;
    boolean isTooOldForWatch = isNewFromWatch && now.minus(startedAt).compareTo(MAX_WATCH_DELAY) > 0;
    if (!isInFuture && !isTooOldForWatch) {
      return startedAt;
    }
    epochMillisAtZero = startedAtEpochMillis - now.toMillis();
    return Duration.ofMillis(now.toMillis());
  }

  /** The machine has left the list; it is new if it comes back. */
  public void forget(String machineId) {
    startsByMachine.remove(machineId);
  }
}
