package fordridge.model;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.function.Predicate;

/** Attempts at one machine with the resources that they request, oldest first, and their sums. */
public final class ReservationLedger {
  private final Deque<PlacementAttempt> attempts = new ArrayDeque<>();
  private double cores;
  private double memory;

  /** Requested cores of all attempts in it. */
  public double cores() {
    return cores;
  }

  /** Requested memory of all attempts in it. */
  public double memory() {
    return memory;
  }

  /** Whether nothing is reserved. */
  public boolean isEmpty() {
    return attempts.isEmpty();
  }

  /** Reserves what the attempt requests. */
  public void add(PlacementAttempt attempt) {
    attempts.addLast(attempt);
    cores += attempt.vm.cores;
    memory += attempt.vm.memory;
  }

  /** Releases an attempt, if it is reserved. */
  public void remove(PlacementAttempt attempt) {
    if (attempts.remove(attempt)) {
      release(attempt);
    }
  }

  /** Releases attempts that were sent before that time. */
  public void removeSentBefore(Duration time) {
    while (!attempts.isEmpty() && attempts.peekFirst().sentAt.compareTo(time) < 0) {
      release(attempts.removeFirst());
    }
  }

  /** Releases attempts that match. */
  public void removeIf(Predicate<PlacementAttempt> condition) {
    for (Iterator<PlacementAttempt> all = attempts.iterator(); all.hasNext(); ) {
      PlacementAttempt attempt = all.next();
      if (condition.test(attempt)) {
        all.remove();
        release(attempt);
      }
    }
  }

  private void release(PlacementAttempt attempt) {
    cores -= attempt.vm.cores;
    memory -= attempt.vm.memory;
  }
}
