package fordridge.emulator;

import fordridge.emulator.RegisteredMachine.State;
import fordridge.emulator.record.RecordedEventKind;
import fordridge.emulator.record.WireRecorder;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Random;

/** Injects faults in which machines leave the fleet or join it; a joining machine warms up. */
final class FleetFaults {
  /** The longest time until the registry detects that a machine has vanished. */
  private static final Duration VANISH_DETECTION_TIME = Duration.ofSeconds(3);

  private static final Duration CRASH_DETECTION_TIME = Duration.ofSeconds(1);
  private static final Duration RESTART_DETECTION_TIME = Duration.ofMillis(200);
  private static final Duration PREEMPTION_NOTICE = Duration.ofSeconds(1);
  private static final Duration DOWNTIME_AFTER_DRAIN = Duration.ofSeconds(2);
  private static final Duration MIN_DEPLOY_NOTICE = Duration.ofMillis(500);

  private final ScenarioPeers peers;
  private final FaultTargets targets;
  private final FaultTimeline timeline;
  private final WireRecorder recorder;

  FleetFaults(
      ScenarioPeers peers, FaultTargets targets, FaultTimeline timeline, WireRecorder recorder) {
    this.peers = peers;
    this.targets = targets;
    this.timeline = timeline;
    this.recorder = recorder;
  }

  void begin(ScenarioFault fault, Random random) {
    switch (fault.kind()) {
      case VANISH -> vanish(targets.machines(fault, random), fault.length());
      case CRASH, ZONE_LOSS, MASS_RESTART -> crash(targets.machines(fault, random), fault.length());
      case DRAIN -> drain(targets.machines(fault, random), fault.length(), true);
      case PREEMPT -> drain(targets.machines(fault, random), PREEMPTION_NOTICE, false);
      case DEPLOY -> deploy(fault, random);
      case GROW -> grow(fault);
      default ->
          throw new IllegalArgumentException(
              "fault kind "
                  + fault.kind()
                  + " does not apply to the fleet; valid kinds are VANISH, CRASH, ZONE_LOSS,"
                  + " MASS_RESTART, DRAIN, PREEMPT, DEPLOY and GROW");
    }
  }

  private void vanish(List<EmulatedMachine> machines, Duration downtime) {
    for (EmulatedMachine machine : machines) {
      machine.execute(
          () -> {
            recorder.event(machine.name(), RecordedEventKind.VANISH).write();
            machine.setVanished(true);
          });
      timeline.runAfter(
          shorter(downtime, VANISH_DETECTION_TIME),
          () -> peers.registry().setState(machine, State.GONE));
      timeline.runAfter(downtime, () -> restart(machine));
    }
  }

  private void crash(List<EmulatedMachine> machines, Duration downtime) {
    for (EmulatedMachine machine : machines) {
      machine.execute(machine::crash);
      timeline.runAfter(
          shorter(downtime, CRASH_DETECTION_TIME),
          () -> peers.registry().setState(machine, State.GONE));
      timeline.runAfter(downtime, () -> restart(machine));
    }
  }

  private void restart(EmulatedMachine machine) {
    machine.execute(machine::restart);
    timeline.runAfter(
        RESTART_DETECTION_TIME,
        () -> peers.registry().setRestarted(machine, Instant.now().minus(RESTART_DETECTION_TIME)));
  }

  /**
   * Drains the machines, shuts them down when the notice has passed, and may restart them later.
   */
  private void drain(List<EmulatedMachine> machines, Duration notice, boolean restarts) {
    for (EmulatedMachine machine : machines) {
      peers.registry().setState(machine, State.DRAINING);
      machine.execute(
          () -> {
            recorder.event(machine.name(), RecordedEventKind.DRAIN).write();
            machine.model().drain(notice);
          });
      timeline.runAfter(notice, () -> shutDown(machine, restarts));
    }
  }

  private void shutDown(EmulatedMachine machine, boolean restarts) {
    machine.execute(machine::crash);
    peers.registry().setState(machine, State.GONE);
    if (restarts) {
      timeline.runAfter(DOWNTIME_AFTER_DRAIN, () -> restart(machine));
    }
  }

  /**
   * Drains the affected machines in batches, spread over the fault's length. The fault's size is
   * the size of a batch as a share of the fleet.
   */
  private void deploy(ScenarioFault fault, Random random) {
    List<EmulatedMachine> machines = targets.machines(fault, random);
    int batchSize = Math.max(1, (int) Math.round(fault.size() * peers.machines().size()));
    int batches = (machines.size() + batchSize - 1) / batchSize;
    Duration notice =
        Duration.ofMillis(Math.max(MIN_DEPLOY_NOTICE.toMillis(), (long) fault.extra()));
    for (int i = 0; i < batches; i++) {
      int end = Math.min(machines.size(), (i + 1) * batchSize);
      List<EmulatedMachine> batch = machines.subList(i * batchSize, end);
      Duration delay = fault.length().multipliedBy(i).dividedBy(Math.max(1, batches));
      timeline.runAfter(delay, () -> drain(batch, notice, true));
    }
  }

  /** Adds spare machines to the fleet, one after another over the fault's length. */
  private void grow(ScenarioFault fault) {
    int count = Math.min(peers.spares().size(), fault.sizeAtLeastOne());
    for (int i = 0; i < count; i++) {
      EmulatedMachine machine = peers.spares().get(i);
      peers.machines().add(machine);
      timeline.runAfter(fault.length().multipliedBy(i).dividedBy(count), () -> restart(machine));
    }
  }

  private static Duration shorter(Duration first, Duration second) {
    return first.compareTo(second) < 0 ? first : second;
  }
}
