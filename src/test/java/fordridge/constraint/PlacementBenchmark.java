package fordridge.constraint;

import fordridge.constraint.PlacementConstraint.Affinity;
import fordridge.constraint.PlacementConstraint.AntiAffinity;
import fordridge.constraint.PlacementConstraint.MachineLabels;
import fordridge.constraint.PlacementConstraint.SpreadLimit;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Level;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;
import org.openjdk.jmh.runner.Runner;
import org.openjdk.jmh.runner.options.OptionsBuilder;

/**
 * Measures what constraints add to the cost of a placement.
 *
 * <p>One VM ends, another starts, and the index is queried for every machine, as the scheduler
 * does. The baseline is a scan that counts the running VMs for each machine. This is not a test:
 * run its main method.
 */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Warmup(iterations = 2, time = 1)
@Measurement(iterations = 3, time = 1)
@Fork(1)
public class PlacementBenchmark {
  private static final int CONSTRAINTS_ON_CLASSES = 10;
  private static final int MACHINES_PER_CELL = 8;
  private static final long SEED = 7;
  private static final String[] CLAUSES = {
    "require spread at most 40 of each service per cell",
    "require apart flavour f3 per machine",
    "prefer 2 near flavour f2 per zone",
    "require on not kind old",
    "require spread at most 3 per machine"
  };

  /** Number of listed machines; twice as many VMs run. */
  @Param({"60", "600", "6000"})
  public int machines;

  /** Number of constraints in the set. */
  @Param({"0", "10", "1000"})
  public int rules;

  private record PlacedVm(VmAttributes vm, MachineTopology machine) {}

  private final List<MachineTopology> fleet = new ArrayList<>();
  private final List<PlacedVm> placedVms = new ArrayList<>();
  private List<PlacementConstraint> constraints;
  private ConstraintIndex index;
  private int next;

  /** Places VMs on the machines, regardless of the constraints. */
  @Setup(Level.Trial)
  public void fill() throws Exception {
    constraints = ConstraintFixtures.parse(constraintText());
    for (int i = 0; i < machines; i++) {
      String kind = i % 10 == 0 ? "old" : "std";
      fleet.add(new MachineTopology("m" + i, kind, "z" + i % 3, i / MACHINES_PER_CELL));
    }
    index = ConstraintFixtures.indexOf(constraints, fleet);
    Random random = new Random(SEED);
    for (int attempt = 0; attempt < 2 * machines; attempt++) {
      VmAttributes vm = ConstraintFixtures.vm("f" + random.nextInt(5), random.nextInt(500));
      PlacedVm placed = new PlacedVm(vm, fleet.get(random.nextInt(machines)));
      placedVms.add(placed);
      index.attemptSent(attempt, vm, placed.machine.name());
    }
  }

  /**
   * The first ten constraints select a priority class, the others one service each, so that most of
   * a large set does not apply to a given VM.
   */
  private String constraintText() {
    StringBuilder text = new StringBuilder();
    for (int i = 0; i < rules; i++) {
      String scope = i < CONSTRAINTS_ON_CLASSES ? "flavour f" + i % 5 : "service " + i / 2;
      text.append("rule r").append(i).append(": ").append(scope).append(' ');
      text.append(CLAUSES[i % CLAUSES.length]).append(";\n");
    }
    return text.toString();
  }

  /** Replaces one VM, and evaluates every machine with the index. */
  @Benchmark
  public double placeByIndex() {
    int attempt = next++ % placedVms.size();
    PlacedVm placed = placedVms.get(attempt);
    index.attemptEnded(attempt);
    double sum = 0;
    if (!index.constraints().isEmpty()) {
      for (MachineTopology machine : fleet) {
        sum +=
            index.isAllowed(placed.vm, machine.name())
                ? index.preferencePenalty(placed.vm, machine.name())
                : 1;
      }
    }
    index.attemptSent(attempt, placed.vm, placed.machine.name());
    return sum;
  }

  /** Evaluates every machine for one VM by a scan of all running VMs. */
  @Benchmark
  public double placeByScan() {
    int attempt = next++ % placedVms.size();
    PlacedVm placed = placedVms.get(attempt);
    double sum = 0;
    for (MachineTopology machine : fleet) {
      for (PlacementConstraint constraint : constraints) {
        if (constraint.scope().covers(placed.vm)) {
          sum += isViolated(constraint, attempt, machine) ? 1 : 0;
        }
      }
    }
    return sum;
  }

  private boolean isViolated(PlacementConstraint constraint, int attempt, MachineTopology machine) {
    if (constraint.clause() instanceof MachineLabels labels) {
      return !labels.predicate().matches(machine);
    }
    if (constraint.clause() instanceof Affinity affinity) {
      return count(affinity.other(), affinity.level(), false, attempt, machine) == 0;
    }
    if (constraint.clause() instanceof AntiAffinity antiAffinity) {
      return count(antiAffinity.other(), antiAffinity.level(), false, attempt, machine) > 0;
    }
    SpreadLimit limit = (SpreadLimit) constraint.clause();
    int count = count(constraint.scope(), limit.level(), limit.perService(), attempt, machine);
    return count >= limit.limit();
  }

  private int count(
      PlacementConstraint.Scope scope,
      TopologyLevel level,
      boolean ownServiceOnly,
      int attempt,
      MachineTopology machine) {
    long ownService = placedVms.get(attempt).vm.service();
    PlacementDomain domain = PlacementDomain.of(machine, level);
    int count = 0;
    for (int i = 0; i < placedVms.size(); i++) {
      PlacedVm other = placedVms.get(i);
      if (i != attempt
          && scope.covers(other.vm)
          && (!ownServiceOnly || other.vm.service() == ownService)
          && PlacementDomain.of(other.machine, level).equals(domain)) {
        count++;
      }
    }
    return count;
  }

  /** Runs both benchmarks. */
  public static void main(String[] args) throws Exception {
    new Runner(new OptionsBuilder().include(PlacementBenchmark.class.getSimpleName()).build())
        .run();
  }
}
