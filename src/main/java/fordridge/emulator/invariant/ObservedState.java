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

/** What the recording has shown so far, shared by the invariants. */
final class ObservedState {
  /** Clocks and sockets of different peers are not in step: lateness up to this is no violation. */
  static final long TOLERANCE_US = 30_000;

  private final Map<String, PriorityClassSettings> priorityClasses = new HashMap<>();
  private final Map<String, ObservedMachine> machines = new LinkedHashMap<>();
  private final Map<String, List<ObservedAttempt>> attemptsByVm = new HashMap<>();
  private final StallHistory stalls = new StallHistory();
  private long drainGraceUs;
  private long pollIntervalUs;
  private boolean isAcceptanceAnAnswer;

  void settingsRecorded(RecordedEvent event) {
    drainGraceUs = event.whole(RecordField.DRAIN_GRACE);
    pollIntervalUs = event.whole(RecordField.POLL_INTERVAL);
    isAcceptanceAnAnswer = event.text(RecordField.ACCEPTANCE_SIGNAL).equals("accepted");
  }

  void priorityClassRecorded(RecordedEvent event) {
    priorityClasses.put(event.text(RecordField.NAME), PriorityClassSettings.of(event));
  }

  void emulatorStalled(RecordedEvent event) {
    stalls.stalled(event.timeUs(), event.whole(RecordField.STALL));
  }

  Optional<PriorityClassSettings> priorityClass(String name) {
    return Optional.ofNullable(priorityClasses.get(name));
  }

  /** How long schedulers may go on offering to a machine after they heard that it drains. */
  long drainGraceUs() {
    return drainGraceUs;
  }

  /** How often schedulers read the machine list from a file. */
  long pollIntervalUs() {
    return pollIntervalUs;
  }

  /** Whether schedulers answer their clients when a machine accepts, before the VM starts. */
  boolean isAcceptanceAnAnswer() {
    return isAcceptanceAnAnswer;
  }

  /** How much lateness at this time is no violation. */
  long toleranceUs(long nowUs) {
    return TOLERANCE_US + stalls.longestRecentUs(nowUs);
  }

  ObservedMachine machine(String name) {
    return machines.computeIfAbsent(name, ObservedMachine::new);
  }

  boolean isMachine(String name) {
    return machines.containsKey(name);
  }

  /** The attempts at a VM so far, in the order of their offers. */
  List<ObservedAttempt> attempts(String vm) {
    return attemptsByVm.getOrDefault(vm, List.of());
  }

  /** The attempts at all VMs, a list for each. */
  Collection<List<ObservedAttempt>> allAttempts() {
    return attemptsByVm.values();
  }

  void add(ObservedAttempt attempt) {
    attemptsByVm.computeIfAbsent(attempt.vm, vm -> new ArrayList<>(2)).add(attempt);
  }

  /** The attempts that an event recorded at a machine is about. */
  List<ObservedAttempt> attemptsOf(RecordedEvent event) {
    return attempts(event.text(RecordField.VM)).stream()
        .filter(attempt -> attempt.isSubjectOf(event))
        .toList();
  }

  /** Does something with each attempt at a machine that is not over. */
  void forEachOpenAttempt(String machine, Consumer<ObservedAttempt> action) {
    for (List<ObservedAttempt> attempts : attemptsByVm.values()) {
      for (ObservedAttempt attempt : attempts) {
        if (!attempt.isOver && attempt.machine.equals(machine)) {
          action.accept(attempt);
        }
      }
    }
  }
}
