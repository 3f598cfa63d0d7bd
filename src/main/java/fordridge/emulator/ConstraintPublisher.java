package fordridge.emulator;

import fordridge.constraint.ConstraintIndex;
import fordridge.constraint.ConstraintParser;
import fordridge.constraint.ConstraintSyntaxException;
import fordridge.constraint.ConstraintValidator;
import fordridge.constraint.IndivisibleLimitException;
import fordridge.constraint.MachineTopology;
import fordridge.constraint.PlacementConstraint;
import fordridge.emulator.machine.MachineSpec;
import fordridge.emulator.record.RecordField;
import fordridge.emulator.record.RecordedEventKind;
import fordridge.emulator.record.WireRecorder;
import java.io.PrintStream;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.ScheduledExecutorService;

/**
 * Publishes generated sets of tenants' constraints in the emulated etcd, one after another, and
 * measures how long their validation takes. Sets that fail validation are published as well: the
 * schedulers have to reject them.
 */
final class ConstraintPublisher {
  private static final String KEY = "/terms/constraints";
  private static final Duration VALIDATION_TIMEOUT = Duration.ofSeconds(1);

  private final ScenarioPlan plan;
  private final EmulatedEtcd etcd;
  private final WireRecorder recorder;
  private final PrintStream out;
  private final RandomConstraints generator;
  private final List<MachineTopology> fleet;
  private int invalidSets;
  private double slowestValidationMillis;

  ConstraintPublisher(
      ScenarioPlan plan,
      List<EmulatedMachine> machines,
      EmulatedEtcd etcd,
      WireRecorder recorder,
      PrintStream out) {
    this.plan = plan;
    this.etcd = etcd;
    this.recorder = recorder;
    this.out = out;
    generator = new RandomConstraints(plan);
    fleet = machines.stream().map(ConstraintPublisher::topology).toList();
  }

  private static MachineTopology topology(EmulatedMachine machine) {
    MachineSpec.Labels labels = machine.spec().labels();
    return new MachineTopology(machine.name(), labels.kind(), labels.zone(), labels.cell());
  }

  /** Schedules the publication of all sets, the first one now. */
  void schedule(ScheduledExecutorService executor) {
    for (int i = 0; i < plan.constraints().generatedSets(); i++) {
      int number = i;
      Duration delay = plan.constraints().setInterval().multipliedBy(i);
      Timers.schedule(executor, delay, () -> publish(number));
    }
  }

  private void publish(int number) {
    String text = generator.generate(number);
    long startNanos = System.nanoTime();
    boolean isValid = isValid(text, startNanos);
    slowestValidationMillis =
        Math.max(slowestValidationMillis, (System.nanoTime() - startNanos) / 1e6);
    if (isValid) {
      recordConstraints(recorder, text, plan.deployment().totalSchedulers());
    } else {
      invalidSets++;
    }
    etcd.put(plan.deployment().etcd().prefix() + KEY, text);
    if (number + 1 == plan.constraints().generatedSets()) {
      out.printf(
          "%d sets of constraints, %d refused; the slowest validation took %.0f ms%n",
          plan.constraints().generatedSets(), invalidSets, slowestValidationMillis);
    }
  }

  private boolean isValid(String text, long startNanos) {
    try {
      List<PlacementConstraint> constraints =
          ConstraintParser.parse(text, ConstraintParser.KnownNames.UNCHECKED);
      new ConstraintIndex(constraints, plan.deployment().totalSchedulers());
      return ConstraintValidator.findConflicts(constraints, fleet, () -> isTimedOut(startNanos))
          .isEmpty();
    } catch (ConstraintSyntaxException | IndivisibleLimitException e) {
      return false;
    }
  }

  private static boolean isTimedOut(long startNanos) {
    return System.nanoTime() - startNanos > VALIDATION_TIMEOUT.toNanos();
  }

  /** Records a valid set of constraints, and the number of schedulers that enforce it. */
  static void recordConstraints(WireRecorder recorder, String text, int schedulers) {
    recorder
        .event(Scenario.SOURCE, RecordedEventKind.CONSTRAINTS_PUBLISHED)
        .with(RecordField.CONSTRAINT_TEXT, text)
        .with(RecordField.SCHEDULER_COUNT, schedulers)
        .write();
  }
}
