package fordridge.model;

import java.time.Duration;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.BiPredicate;
import java.util.function.Consumer;

/**
 * Attempts that ended without their machine's confirmation, for example because the connection was
 * lost: their VMs may still run there and count among the VMs of their service for some time. Only
 * the latest {@value #MAX_KEPT} are kept.
 */
final class UnconfirmedEnds {
  static final int MAX_KEPT = 1000;

  /** The attempts in the order in which they ended, with the time until which each counts. */
  private final Map<PlacementAttempt, Duration> countsUntil = new LinkedHashMap<>();

  private final Consumer<PlacementAttempt> onReleased;

  private long addedCount;
  private long confirmedCount;
  private long clearedCount;
  private long expiredCount;
  private long displacedCount;

  /** Creates an empty set; {@code onReleased} gets each attempt when it no longer counts. */
  UnconfirmedEnds(Consumer<PlacementAttempt> onReleased) {
    this.onReleased = onReleased;
  }

  /**
   * Counts the attempt until the given time, unless its machine confirms its end or is cleared
   * before.
   */
  void add(PlacementAttempt attempt, Duration until) {
    countsUntil.put(attempt, until);
    addedCount++;
    if (countsUntil.size() > MAX_KEPT) {
      PlacementAttempt oldest = countsUntil.keySet().iterator().next();
      displacedCount += release((each, eachUntil) -> each == oldest);
    }
  }

  /** The machine confirmed that the VM no longer runs. */
  void confirmed(String vmId, Machine machine) {
    confirmedCount +=
        release((attempt, until) -> attempt.machine == machine && attempt.vm.id.equals(vmId));
  }

  /** The machine runs no VM that was sent to it before the given time. */
  void machineCleared(Machine machine, Duration before) {
    clearedCount +=
        release(
            (attempt, until) -> attempt.machine == machine && attempt.sentAt.compareTo(before) < 0);
  }

  /** Releases the attempts whose time has passed. */
  void expire(Duration now) {
    expiredCount += release((attempt, until) -> until.compareTo(now) <= 0);
  }

  private int release(BiPredicate<PlacementAttempt, Duration> condition) {
    int released = 0;
    Iterator<Map.Entry<PlacementAttempt, Duration>> entries = countsUntil.entrySet().iterator();
    while (entries.hasNext()) {
      Map.Entry<PlacementAttempt, Duration> entry = entries.next();
      if (condition.test(entry.getKey(), entry.getValue())) {
        entries.remove();
        onReleased.accept(entry.getKey());
        released++;
      }
    }
    return released;
  }

  /**
   * Describes how many attempts count, how many were added, and how many were released for which
   * reason.
   */
  String describe() {
    return countsUntil.size()
        + " of "
        + addedCount
        + ", confirmed "
        + confirmedCount
        + ", cleared by the list "
        + clearedCount
        + ", expired "
        + expiredCount
        + ", displaced "
        + displacedCount;
  }
}
