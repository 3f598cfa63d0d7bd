package fordridge.emulator;

import fordridge.emulator.machine.MachineSpec;
import fordridge.emulator.record.RecordField;
import fordridge.emulator.record.RecordedEventKind;
import fordridge.emulator.record.WireRecorder;
import fordridge.model.MachineKind;
import fordridge.settings.DeploymentSettings;
import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Builds the machines of a scenario. Kinds are assigned by their shares; other values are drawn
 * from the scenario's seed.
 */
final class FleetBuilder {
  /** Gives each machine of a scenario its own random sequence. */
  private static final long SEED_FACTOR = 7919;

  private final ScenarioPlan plan;
  private final WireRecorder recorder;
  private final UniformRandomProvider random;

  FleetBuilder(ScenarioPlan plan, WireRecorder recorder) {
    this.plan = plan;
    this.recorder = recorder;
    random = RandomSource.XO_RO_SHI_RO_128_PP.create(plan.run().seed());
  }

  /** Builds the machines, spare ones last, and starts each on a free loopback port. */
  List<EmulatedMachine> build(EventLoopGroup loops) throws IOException {
    List<EmulatedMachine> machines = new ArrayList<>();
    KindSequence kinds = new KindSequence();
    long epochNanos = System.nanoTime();
    int total = plan.fleet().machines() + plan.fleet().spares();
    for (int i = 0; i < total; i++) {
      EmulatedMachine machine =
          new EmulatedMachine(
              spec(i, kinds.next()),
              plan.fleet().usageProfiles(),
              plan.run().seed() * SEED_FACTOR + i,
              loops.next(),
              recorder,
              epochNanos);
      machines.add(machine);
      record(machine.spec());
    }
    return machines;
  }

  /** Assigns kinds to successive machines by weighted round robin over their shares. */
  private final class KindSequence {
    private final List<MachineKind> kinds = plan.deployment().kinds();
    private final double[] credits = new double[kinds.size()];
    private final double sumOfShares = kinds.stream().mapToDouble(this::share).sum();

    private double share(MachineKind kind) {
      return plan.fleet().kindShares().get(kind.name());
    }

    MachineKind next() {
      int highest = 0;
      for (int i = 0; i < credits.length; i++) {
        credits[i] += share(kinds.get(i)) / sumOfShares;
        highest = credits[i] > credits[highest] ? i : highest;
      }
      credits[highest] -= 1;
      return kinds.get(highest);
    }
  }

  private MachineSpec spec(int number, MachineKind kind) {
    DeploymentSettings deployment = plan.deployment();
    ScenarioPlan.MachineTemplate template = plan.fleet().template();
    ScenarioPlan.StartUpTemplate startUp = template.startUp();
    double speed = startUp.speed().draw(random);
    Duration admissionTime = millis(template.admission().timeMillis().draw(random));
    Duration startWork = millis(startUp.workMillis().draw(random));
    return new MachineSpec(
        String.format("m%03d", number),
        new MachineSpec.Labels(
            kind.name(), "z" + number % plan.fleet().zones(), number / plan.fleet().cellSize()),
        new MachineSpec.Capacity(
            kind.cores(),
            kind.memory(),
            deployment.cluster().coreOvercommitRatio(),
            deployment.cluster().memoryOvercommitRatio()),
        new MachineSpec.Admission(
            template.admission().queueLimit(), admissionTime, template.admission().preempts()),
        new MachineSpec.StartUp(
            startUp.parallelStarts(),
            startWork,
            speed,
            startUp.cachedPrograms(),
            startUp.uncachedFactor()),
        new MachineSpec.SlowStart(
            deployment.cluster().slowStart().initialStartRate(),
            deployment.cluster().slowStart().warmUpTime(),
            deployment.cluster().slowStart().overloadMultiple(),
            deployment.cluster().slowStart().overloadWindow(),
            deployment.cluster().slowStart().minOffersInWindow()),
        template.sampleInterval(),
        template.drainPolicy());
  }

  private static Duration millis(double millis) {
    return Duration.ofNanos((long) (millis * 1e6));
  }

  private void record(MachineSpec spec) {
    recorder
        .event(spec.name(), RecordedEventKind.MACHINE)
        .with(RecordField.MACHINE_KIND, spec.labels().kind())
        .with(RecordField.ZONE, spec.labels().zone())
        .with(RecordField.CELL, spec.labels().cell())
        .with(RecordField.CORES, spec.capacity().cores())
        .with(RecordField.MEMORY, spec.capacity().memory())
        .write();
  }
}
