package fordridge.scheduling;

import fordridge.model.Machine;
import fordridge.model.PlacementAttempt;
import fordridge.model.Vm;
import java.time.Duration;

/**
 * Output port of the scheduler: all actions that it can take. The caller of the scheduler
 * implements it.
 *
 * <p>Methods are called on the thread that delivers the input; an implementation must not call the
 * scheduler before that input returns.
 */
public interface SchedulerActions {
  /**
   * Whether all input that peers had sent shortly before has been read, so that decisions may be
   * made now. If not, {@link Scheduler#allInputRead} has to be called once it has.
   */
  default boolean isAllInputRead() {
    return true;
  }

  /**
   * Offers the attempt's VM to its machine; with a timeout of zero the attempt waits until the
   * client leaves.
   */
  void sendAttempt(PlacementAttempt attempt, Duration timeout);

  /**
   * The penalty of the tenants' constraints for placing the VM on the machine: infinite if one
   * forbids it, 0 if none is violated.
   */
  default double constraintPenalty(Vm vm, Machine machine) {
    return 0;
  }

  /**
   * Whether this scheduler's queue of unsent offers to the machine is full. The result may change
   * with the next event of the machine, when queued offers are sent or end.
   */
  default boolean isSendQueueFull(Machine machine) {
    return false;
  }

  /**
   * Whether any constraint applies to the VM, so that other VMs of its size may find capacity where
   * it finds none.
   */
  default boolean isConstrained(Vm vm) {
    return false;
  }

  /**
   * Sends the final response that the VM is not placed and is safe to request again, after {@code
   * retryAfter} if that is not zero.
   */
  void reject(Vm vm, Duration retryAfter);

  /** Sends the final response that the VM is not known to run, but may have run. */
  void fail(Vm vm);

  /** Stops a running VM, which its client then requests again. */
  void migrate(Vm vm);

  /** Cancels an attempt that has no outcome yet. */
  void cancelAttempt(PlacementAttempt attempt);

  /** Requests a load report from a machine. */
  void probe(Machine machine);

  /**
   * Sends a message to each other scheduler, where it may arrive late or not at all. Called only if
   * gossip is allowed.
   */
  default void gossip(String message) {}

  /** Schedules the timer to fire once after the delay. */
  void scheduleTimer(Duration delay);

  /** Writes a line to the log. */
  void log(String line);

  /** Starts or ends the watch of the machine list. */
  void watchMachineList(boolean enabled);

  /** Fetches the complete machine list once. */
  void fetchMachineList();
}
