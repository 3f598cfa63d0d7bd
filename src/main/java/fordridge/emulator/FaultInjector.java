package fordridge.emulator;

import fordridge.emulator.record.WireRecorder;
import java.util.Random;
import java.util.concurrent.ScheduledExecutorService;

/**
 * Injects the faults of a scenario into the emulated peers at their scheduled times. The affected
 * peers are drawn from the scenario's seed.
 */
final class FaultInjector {
  /** Gives each fault of a scenario its own random sequence. */
  private static final long SEED_FACTOR = 1000;

  private final ScenarioPlan plan;
  private final FaultTimeline timeline;
  private final MachineFaults machineFaults;
  private final FleetFaults fleetFaults;
  private final ClientFaults clientFaults;
  private final StoreFaults storeFaults;

  /**
   * Creates an injector.
   *
   * @param executor a single-threaded executor on which the faults are injected
   */
  FaultInjector(
      ScenarioPlan plan,
      ScenarioPeers peers,
      ScheduledExecutorService executor,
      WireRecorder recorder) {
    this.plan = plan;
    timeline = new FaultTimeline(executor, recorder);
    FaultTargets targets = new FaultTargets(peers);
    machineFaults = new MachineFaults(targets, timeline, plan.deployment());
    fleetFaults = new FleetFaults(peers, targets, timeline, recorder);
    clientFaults = new ClientFaults(peers, targets, timeline);
    storeFaults = new StoreFaults(peers, timeline);
  }

  /** Schedules all faults; their start times count from now. */
  void schedule() {
    for (int i = 0; i < plan.faults().size(); i++) {
      ScenarioFault fault = plan.faults().get(i);
      Random random = new Random(plan.run().seed() * SEED_FACTOR + i);
      timeline.runAfter(fault.at(), () -> begin(fault, random));
    }
  }

  private void begin(ScenarioFault fault, Random random) {
    timeline.recordBegin(fault);
    switch (fault.kind().target()) {
      case MACHINE -> machineFaults.begin(fault, random);
      case FLEET -> fleetFaults.begin(fault, random);
      case CLIENTS -> clientFaults.begin(fault, random);
      case STORE -> storeFaults.begin(fault);
    }
  }
}
