package fordridge.scheduling;

import fordridge.model.Machine;
import fordridge.model.PlacementAttempt;
import fordridge.model.Vm;
import java.time.Duration;

/**
 * Output port of the scheduler: everything that it can do. Whoever calls the scheduler implements
 * it.
 *
 * <p>Called on the thread of the input; it must not call the scheduler back before that input
 * returns.
 */
public interface SchedulerActions {
  /**
   * Whether all that peers had sent a moment ago has been taken in, so that a decision may be made
   * now. Where that is not so, {@link Scheduler#inputRead} is to be called once it is.
   */
  default boolean isInputRead() {
    return true;
  }

  /** Offers the attempt's VM to its machine; a timeout of zero waits until the client leaves. */
  void sendAttempt(PlacementAttempt attempt, Duration timeout);

  /**
   * How much the tenants' constraints speak against the VM's going there: infinite where one
   * forbids it, 0 where none does.
   */
  default double constraintPenalty(Vm vm, Machine machine) {
    return 0;
  }

  /**
   * Whether this scheduler's queue of unsent offers to the machine is full. What waits there ends
   * or is sent with a later event of the machine, after which the answer may differ.
   */
  default boolean isSendQueueFull(Machine machine) {
    return false;
  }

  /** Whether any constraint applies to such VMs, so that others of its shape may find capacity. */
  default boolean isConstrained(Vm vm) {
    return false;
  }

  /**
   * Final response: not placed, and requesting it again does no harm; zero gives no advice when.
   */
  void reject(Vm vm, Duration retryAfter);

  /** Final response: not placed as far as is known; it may have run. */
  void fail(Vm vm);

  /** Stops a running VM; its client requests it again. */
  void migrate(Vm vm);

  /** Gives up waiting for an attempt. */
  void cancelAttempt(PlacementAttempt attempt);

  /** Requests a load report of a machine. */
  void probe(Machine machine);

  /**
   * Sends a message to each other scheduler; it may be late or lost. Only where gossip is allowed.
   */
  default void gossip(String message) {}

  /** Lets the timer fire once after that delay. */
  void scheduleTimer(Duration delay);

  /** Writes a line to the log. */
  void log(String line);

  /** Begins or ends the watch of the machine list. */
  void watchMachineList(boolean enabled);

  /** Fetches the complete machine list once. */
  void fetchMachineList();
}
