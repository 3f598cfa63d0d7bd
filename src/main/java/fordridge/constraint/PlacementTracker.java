package fordridge.constraint;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Tracks attempts and keeps the placement counters up to date.
 *
 * <p>An attempt is tracked from the time it is sent until its VM is known not to run on the
 * machine.
 */
final class PlacementTracker {
  /**
   * A tracked attempt.
   *
   * @param vm the attributes of its VM
   * @param machine the number of its machine in the catalog
   * @param isOutcomeUnknown whether it is unknown if the VM runs
   */
  record TrackedAttempt(VmAttributes vm, int machine, boolean isOutcomeUnknown) {}

  private final PlacementCounters counters;
  private final Map<Object, TrackedAttempt> attempts = new LinkedHashMap<>();

  PlacementTracker(PlacementCounters counters) {
    this.counters = counters;
  }

  /** Copies the attempts of another tracker and counts them. */
  PlacementTracker(PlacementCounters counters, PlacementTracker other) {
    this(counters);
    attempts.putAll(other.attempts);
    recount();
  }

  /** Rebuilds all counts; required after the labels of machines changed. */
  void recount() {
    counters.clear();
    attempts.values().forEach(attempt -> count(attempt, 1));
  }

  /** Tracks and counts an attempt; has no effect if it is tracked already. */
  void add(Object attempt, VmAttributes vm, int machine) {
    TrackedAttempt added = new TrackedAttempt(vm, machine, false);
    if (attempts.putIfAbsent(attempt, added) == null) {
      count(added, 1);
    }
  }

  void markOutcomeUnknown(Object attempt) {
    TrackedAttempt tracked = attempts.get(attempt);
    if (tracked != null && !tracked.isOutcomeUnknown) {
      counters.addConfirmed(tracked.vm, tracked.machine, -1);
      attempts.put(attempt, new TrackedAttempt(tracked.vm, tracked.machine, true));
    }
  }

  void remove(Object attempt) {
    TrackedAttempt removed = attempts.remove(attempt);
    if (removed != null) {
      count(removed, -1);
    }
  }

  /**
   * Runs an action while one attempt is excluded from the counts. The action must not add, change
   * or remove attempts.
   */
  void runWithout(Object attempt, Runnable action) {
    TrackedAttempt excluded = attempts.get(attempt);
    if (excluded == null) {
      action.run();
      return;
    }
    count(excluded, -1);
    try {
      action.run();
    } finally {
      count(excluded, 1);
    }
  }

  private void count(TrackedAttempt attempt, int delta) {
    counters.add(attempt.vm, attempt.machine, delta);
    if (!attempt.isOutcomeUnknown) {
      counters.addConfirmed(attempt.vm, attempt.machine, delta);
    }
  }

  /** Returns all attempts in the order in which they were sent; callers must not modify the map. */
  Map<Object, TrackedAttempt> attempts() {
    return attempts;
  }
}
