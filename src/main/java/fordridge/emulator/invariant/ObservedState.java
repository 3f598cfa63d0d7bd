package fordridge.emulator.invariant;

import fordridge.emulator.record.RecordField;
import fordridge.emulator.record.RecordedEvent;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

/** The state of the deployment according to the events read so far, shared by the invariants. */
final class ObservedState {
  /**
   * Delays up to this are no violation, as events at different peers are recorded with different
   * delays; in microseconds.
   */
  static final long TOLERANCE_US = 30_000;

  private final Map<String, RecordedPriorityClass> priorityClasses = new HashMap<>();
  private final Map<String, ObservedMachine> machines = new LinkedHashMap<>();
  private final Map<String, List<ObservedAttempt>> attemptsByVm = new HashMap<>();
  private final StallHistory stalls = new StallHistory();
  private long drainGraceUs;
  private long pollIntervalUs;
  private boolean respondsOnAcceptance;

  void settingsRecorded(RecordedEvent event) {
    drainGraceUs = event.whole(RecordField.DRAIN_GRACE);
    pollIntervalUs = event.whole(RecordField.POLL_INTERVAL);
    respondsOnAcceptance = event.text(RecordField.ACCEPTANCE_SIGNAL).equals("accepted");
  }

  void priorityClassRecorded(RecordedEvent event) {
    priorityClasses.put(event.text(RecordField.NAME), RecordedPriorityClass.of(event));
  }

  void emulatorStalled(RecordedEvent event) {
    stalls.add(event.timeUs(), event.whole(RecordField.STALL));
  }

  Optional<RecordedPriorityClass> priorityClass(String name) {
    return Optional.ofNullable(priorityClasses.get(name));
  }

  /** How long a scheduler may continue to offer VMs to a machine after it learned of the drain. */
  long drainGraceUs() {
    return drainGraceUs;
  }

  /** How often schedulers read the machine list from a file. */
  long pollIntervalUs() {
    return pollIntervalUs;
  }

  /** Whether schedulers respond to their clients when a machine accepts, before the VM starts. */
  boolean respondsOnAcceptance() {
    return respondsOnAcceptance;
  }

  /** How late an event at this time may be without a violation. */
  long toleranceUs(long nowUs) {
    return TOLERANCE_US + stalls.longestRecentUs(nowUs);
  }

  ObservedMachine machine(String name) {
    return machines.computeIfAbsent(name, ObservedMachine::new);
  }

  boolean isMachine(String name) {
    return machines.containsKey(name);
  }

  /** The attempts to place a VM so far, in the order of their offers. */
  List<ObservedAttempt> attempts(String vm) {
    return attemptsByVm.getOrDefault(vm, List.of());
  }

  /** The attempts of all VMs, one list for each VM. */
  Collection<List<ObservedAttempt>> allAttempts() {
    return attemptsByVm.values();
  }

  void add(ObservedAttempt attempt) {
    attemptsByVm.computeIfAbsent(attempt.vm, vm -> new ArrayList<>(2)).add(attempt);
  }

  /** The attempts that an event recorded at a machine concerns. */
  List<ObservedAttempt> attemptsOf(RecordedEvent event) {
    return attempts(event.text(RecordField.VM)).stream()
        .filter(attempt -> attempt.matches(event))
        .toList();
  }

  /** Calls the action for each attempt at a machine that has not ended. */
  void forEachActiveAttempt(String machine, Consumer<ObservedAttempt> action) {
    for (List<ObservedAttempt> attempts : attemptsByVm.values()) {
      for (ObservedAttempt attempt : attempts) {
        if (!attempt.hasEnded && attempt.machine.equals(machine)) {
          action.accept(attempt);
        }
      }
    }
  }
}
