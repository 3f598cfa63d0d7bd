package fordridge.model;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.function.Predicate;

/** Resources reserved at one machine by attempts, which are kept oldest first. */
public final class ReservationLedger {
  private final Deque<PlacementAttempt> attempts = new ArrayDeque<>();
  private double cores;
  private double memory;

  /** Total cores that the attempts request. */
  public double cores() {
    return cores;
  }

  /** Total memory that the attempts request. */
  public double memory() {
    return memory;
  }

  /** Whether nothing is reserved. */
  public boolean isEmpty() {
    return attempts.isEmpty();
  }

  /** Reserves the resources that an attempt requests. */
  public void add(PlacementAttempt attempt) {
    attempts.addLast(attempt);
    cores += attempt.vm.cores;
    memory += attempt.vm.memory;
  }

  /** Releases the reservation of an attempt, if there is one. */
  public void remove(PlacementAttempt attempt) {
    if (attempts.remove(attempt)) {
      release(attempt);
    }
  }

  /** Releases the reservations of attempts that were sent before the given time. */
  public void removeSentBefore(Duration time) {
    while (!attempts.isEmpty() && attempts.peekFirst().sentAt.compareTo(time) < 0) {
      release(attempts.removeFirst());
    }
  }

  /** Releases the reservations of attempts that match. */
  public void removeIf(Predicate<PlacementAttempt> condition) {
    for (Iterator<PlacementAttempt> iterator = attempts.iterator(); iterator.hasNext(); ) {
      PlacementAttempt attempt = iterator.next();
      if (condition.test(attempt)) {
        iterator.remove();
        release(attempt);
      }
    }
  }

  private void release(PlacementAttempt attempt) {
    cores -= attempt.vm.cores;
    memory -= attempt.vm.memory;
  }
}
