package fordridge.runtime;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/**
 * Converts the Unix times at which machines started to times on the scheduler's own clock.
 *
 * <p>The wall clock of the scheduler's host may be wrong by an hour when the process starts, as it
 * may have been stepped. A machine would then be treated as warmed up when it has just started, or
 * stay in slow start for good. Two observations prove that the clock is wrong, and correct the
 * offset: a start in the future, and a start long ago of a machine that the watch has just reported
 * as new. A corrected start is rather too late than too early, so that the machine's load grows
 * more slowly. Not thread-safe.
 */
public final class MachineStartTimes {
  /**
   * The maximum age of a machine that the watch reports as new; longer than the list's delay and an
   * outage of its server.
   */
  static final Duration MAX_WATCH_DELAY = Duration.ofSeconds(30);

  private record Start(long epochMillis, Duration startedAt) {}

  /**
   * The converted starts of the listed machines: the same start stays the same time after a
   * correction of the offset.
   */
  private final Map<String, Start> startsByMachine = new HashMap<>();

  private long epochMillisAtZero;

  /**
   * Creates a converter; {@code epochMillisAtZero} is the time of the host's wall clock at the zero
   * of the scheduler's clock.
   */
  public MachineStartTimes(long epochMillisAtZero) {
    this.epochMillisAtZero = epochMillisAtZero;
  }

  /**
   * Returns when the machine started, on the scheduler's clock; negative if that was before its
   * zero.
   *
   * @param isFromWatch whether the watch has just reported the machine, as opposed to the list in
   *     the configuration
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
    boolean isTooOldForWatch =
        isNewFromWatch && now.minus(startedAt).compareTo(MAX_WATCH_DELAY) > 0;
    if (!isInFuture && !isTooOldForWatch) {
      return startedAt;
    }
    epochMillisAtZero = startedAtEpochMillis - now.toMillis();
    return Duration.ofMillis(now.toMillis());
  }

  /** Removes a machine that left the list; it counts as new if it comes back. */
  public void machineRemoved(String machineId) {
    startsByMachine.remove(machineId);
  }
}
