package fordridge.emulator;

import fordridge.emulator.RegisteredMachine.State;
import fordridge.emulator.record.RecordField;
import fordridge.emulator.record.RecordedEventKind;
import fordridge.emulator.record.WireRecorder;
import java.io.IOException;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ScheduledExecutorService;

/**
 * An emulated registry of machines: publishes the machine list at a fixed interval, with the state
 * of the machines as it was some time before. Thread-safe.
 */
final class EmulatedRegistry implements AutoCloseable {
  private static final String SOURCE = "registry";

  private record Snapshot(long takenAtUs, List<RegisteredMachine> machines) {}

  private record PublishedState(State state, Optional<Instant> startedAt) {}

  private final MachineListWriter listWriter;
  private final WireRecorder recorder;
  private final long delayUs;
  private final ScheduledExecutorService executor = Timers.singleThread("registry");

  // Guarded by this.
  private final Map<String, RegisteredMachine> machines = new LinkedHashMap<>();

  // Confined to the executor's thread once the registry is started.
  private final Map<String, PublishedState> published = new HashMap<>();
  private final Deque<Snapshot> snapshots = new ArrayDeque<>();

  EmulatedRegistry(MachineListWriter listWriter, WireRecorder recorder, Duration delay) {
    this.listWriter = listWriter;
    this.recorder = recorder;
    delayUs = delay.toNanos() / 1000;
  }

  /** Registers a machine or changes its state. */
  void setState(EmulatedMachine machine, State state) {
    setState(machine, state, Optional.empty());
  }

  /** Marks a machine as live again, with the time at which it started. */
  void setRestarted(EmulatedMachine machine, Instant startedAt) {
    setState(machine, State.LIVE, Optional.of(startedAt));
  }

  private synchronized void setState(
      EmulatedMachine machine, State state, Optional<Instant> startedAt) {
    RegisteredMachine old = machines.get(machine.name());
    double freeCores = old == null ? machine.spec().capacity().cores() : old.freeCores();
    double freeMemory = old == null ? machine.spec().capacity().memory() : old.freeMemory();
    machines.put(
        machine.name(), new RegisteredMachine(machine, state, startedAt, freeCores, freeMemory));
  }

  synchronized boolean isGone(EmulatedMachine machine) {
    RegisteredMachine registered = machines.get(machine.name());
    return registered != null && registered.isIn(State.GONE);
  }

  /** Publishes the registered machines now, and then at the given interval. */
  void start(Duration interval) throws IOException {
    publish(snapshot());
    Timers.repeat(executor, interval, this::publishDue);
  }

  private synchronized List<RegisteredMachine> snapshot() {
    return List.copyOf(machines.values());
  }

  private void publishDue() {
    List<RegisteredMachine> current = snapshot();
    current.forEach(registered -> updateFreeCapacity(registered.machine()));
    snapshots.addLast(new Snapshot(recorder.nowUs(), current));
    Snapshot due = null;
    while (!snapshots.isEmpty()
        && snapshots.peekFirst().takenAtUs() + delayUs <= recorder.nowUs()) {
      due = snapshots.removeFirst();
    }
    if (due == null) {
      return;
    }
    try {
      publish(due.machines());
    } catch (IOException e) {
      recorder
          .event(SOURCE, RecordedEventKind.FAULT_FAILED)
          .with(RecordField.REASON, e.toString())
          .write();
    }
  }

  /** Fetches the machine's free capacity, on its event loop, for the next snapshot. */
  private void updateFreeCapacity(EmulatedMachine machine) {
    machine.execute(
        () -> {
          double cores = machine.model().unreservedCores();
          double memory = machine.model().unreservedMemory();
          synchronized (this) {
            machines.computeIfPresent(
                machine.name(), (name, known) -> known.withFreeCapacity(cores, memory));
          }
        });
  }

  /**
   * Writes the list and records the changes. Changes to the live state are recorded before
   * schedulers can read the list, as they may use such a machine at once; all others afterwards, as
   * schedulers cannot know of them earlier.
   */
  private void publish(Collection<RegisteredMachine> list) throws IOException {
    listWriter.write(list, () -> recordChanges(list, true), () -> recordChanges(list, false));
  }

  private void recordChanges(Collection<RegisteredMachine> list, boolean ofLiveMachines) {
    for (RegisteredMachine registered : list) {
      if (registered.isIn(State.LIVE) != ofLiveMachines) {
        continue;
      }
      PublishedState state = new PublishedState(registered.state(), registered.startedAt());
      String name = registered.machine().name();
      if (!state.equals(published.put(name, state))) {
        recorder
            .event(SOURCE, RecordedEventKind.MACHINE_LISTED)
            .with(RecordField.MACHINE, name)
            .with(RecordField.STATE, state.state().text())
            .with(RecordField.STARTED_AT, state.startedAt().map(Instant::toString).orElse(""))
            .write();
      }
    }
  }

  @Override
  public void close() {
    executor.shutdownNow();
  }
}
