package fordridge.model;

import java.time.Duration;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.BiPredicate;
import java.util.function.Consumer;

/**
 * Attempts that ended without a word of their machine, as when a connection broke under a request:
 * their VMs may run there, and count among the VMs of their service for a while. At most {@value
 * #MAX_KEPT} are kept, the latest.
 */
final class UnconfirmedEnds {
  static final int MAX_KEPT = 1000;

  /** With the time until which each counts, the earliest ended first. */
  private final Map<PlacementAttempt, Duration> countsUntil = new LinkedHashMap<>();

  private final Consumer<PlacementAttempt> onReleased;

  private long addedCount;
  private long confirmedCount;
  private long clearedCount;
  private long expiredCount;
  private long displacedCount;

  /** The consumer gets each attempt when it counts no longer. */
  UnconfirmedEnds(Consumer<PlacementAttempt> onReleased) {
    this.onReleased = onReleased;
  }

  /** The attempt counts until then, unless its machine says before that it has ended. */
  void add(PlacementAttempt attempt, Duration until) {
    countsUntil.put(attempt, until);
    addedCount++;
    if (countsUntil.size() > MAX_KEPT) {
      PlacementAttempt oldest = countsUntil.keySet().iterator().next();
      displacedCount += release((each, eachUntil) -> each == oldest);
    }
  }

  /** The VM is known to run on the machine no longer. */
  void confirmed(String vmId, Machine machine) {
    confirmedCount +=
        release((attempt, until) -> attempt.machine == machine && attempt.vm.id.equals(vmId));
  }

  /** The machine runs nothing of what was sent to it before that time. */
  void machineCleared(Machine machine, Duration before) {
    clearedCount +=
        release(
            (attempt, until) -> attempt.machine == machine && attempt.sentAt.compareTo(before) < 0);
  }

  /** Releases those whose time is over. */
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

  /** How many there are and were, and why they count no longer. */
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
