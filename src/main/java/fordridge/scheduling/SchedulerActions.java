package fordridge.scheduling;

import fordridge.model.Machine;
import fordridge.model.PlacementAttempt;
import fordridge.model.Vm;
import java.time.Duration;

/** All that the module can do to the world. Whoever feeds the module implements it. */
public interface SchedulerActions {
  /**
   * Offers the claim's VM to the claim's machine; zero {@code within} waits until the owner stops.
   */
  void sendAttempt(PlacementAttempt attempt, Duration within);

  /**
   * How much customers' rules speak against the VM's going there: infinite where one forbids it, 0
   * where nothing does. Where there are no rules it is 0 throughout.
   */
  default double constraintPenalty(Vm vm, Machine machine) {
    return 0;
  }

  /** Whether any rule speaks of such VMs, so that one of its shape does not speak for others. */
  default boolean isConstrained(Vm vm) {
    return false;
  }

  /** Final answer: no, and asking again does no harm; zero gives no advice on when. */
  void reject(Vm vm, Duration retryAfter);

  /** Final answer: no promise about what ran. */
  void fail(Vm vm);

  /** Stops a placed VM; its owner asks again. */
  void migrate(Vm vm);

  /** Gives up waiting for one claim. */
  void cancelAttempt(PlacementAttempt attempt);

  /** Asks a machine for a report. */
  void probe(Machine machine);

  /**
   * Sends a note to every other placer; it may be late or lost. Only where the terms allow notes.
   */
  default void gossip(String note) {}

  /** Asks to be woken once, this much later. */
  void scheduleTimer(Duration in);

  /** Leaves a line for those on call. */
  void log(String line);

  /** Subscribes to changes of the list of machines, or ends that. */
  void watchMachineList(boolean on);

  /** Asks for the whole list once. */
  void fetchMachineList();
}
