package fordridge.constraint;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The attempts that hold a place: from the instant they are sent until their VM is known not to be
 * there. Keeps the counters in step.
 */
final class PlacementTracker {
  /** One attempt, the machine's number, and whether nobody knows if its VM runs. */
  record TrackedAttempt(VmAttributes vm, int machine, boolean isOutcomeUnknown) {}

  private final PlacementCounters counters;
  private final Map<Object, TrackedAttempt> attempts = new LinkedHashMap<>();

  PlacementTracker(PlacementCounters counters) {
    this.counters = counters;
  }

  /** Takes over the attempts of another tracker, and counts them. */
  PlacementTracker(PlacementCounters counters, PlacementTracker other) {
    this(counters);
    attempts.putAll(other.attempts);
    recount();
  }

  /** Counts all anew, after machines changed their labels. */
  void recount() {
    counters.clear();
    attempts.values().forEach(attempt -> count(attempt, 1));
  }

  /** An attempt that is tracked already keeps its place. */
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

  /** Runs an action while one attempt is left out of the counts; it must not change attempts. */
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

  /** All attempts, in the order in which they were sent; not to be changed. */
  Map<Object, TrackedAttempt> attempts() {
    return attempts;
  }
}
