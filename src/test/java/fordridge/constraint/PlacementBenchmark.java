package fordridge.constraint;

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
 * What rules add to a placing: one VM leaves, one comes, and every machine is asked about for it,
 * as the module does; against a scan that counts what runs for each machine anew. Not a test: run
 * its main.
 */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Warmup(iterations = 2, time = 1)
@Measurement(iterations = 3, time = 1)
@Fork(1)
public class PlacementBenchmark {
  @Param({"60", "600", "6000"})
  public int machines;

  @Param({"0", "10", "1000"})
  public int rules;

  private record Placed(String priorityClass, long service, MachineTopology at) {}

  private final List<MachineTopology> fleet = new ArrayList<>();
  private final List<Placed> placed = new ArrayList<>();
  private List<PlacementConstraint> set;
  private ConstraintIndex book;
  private int next;

  @Setup(Level.Trial)
  public void begin() throws Exception {
    StringBuilder text = new StringBuilder();
    String[] clauses = {
      "require spread at most 40 of each service per cell",
      "require apart flavour f3 per machine",
      "prefer 2 near flavour f2 per zone",
      "require on not kind old",
      "require spread at most 3 per machine"
    };
    for (int i = 0; i < rules; i++) {
      // Ten rules speak of everyone, the rest each of a service or two: most of a large set is
      // others'.
      text.append("rule r")
          .append(i)
          .append(": ")
          .append(i < 10 ? "flavour f" + i % 5 : "service " + i / 2)
          .append(' ')
          .append(clauses[i % clauses.length])
          .append(";\n");
    }
    set = ConstraintParser.parse(text.toString(), ConstraintParser.KnownNames.UNCHECKED);
    for (int i = 0; i < machines; i++) {
      fleet.add(new MachineTopology("m" + i, i % 10 == 0 ? "old" : "std", "z" + i % 3, i / 8));
    }
    book = new ConstraintIndex(set, 1);
    book.machineListReceived(fleet);
    Random r = new Random(7);
    for (int i = 0; i < 2 * machines; i++) {
      placed.add(new Placed("f" + r.nextInt(5), r.nextInt(500), fleet.get(r.nextInt(machines))));
      book.attemptSent(
          i,
          new VmAttributes("", placed.get(i).priorityClass, placed.get(i).service),
          placed.get(i).at.name());
    }
  }

  @Benchmark
  public double byTheBook() {
    int i = next++ % placed.size();
    Placed p = placed.get(i);
    book.attemptEnded(i);
    double sum = 0;
    if (!book.constraints().isEmpty()) {
      for (MachineTopology s : fleet) {
        sum +=
            book.isAllowed(new VmAttributes("", p.priorityClass, p.service), s.name())
                ? book.preferencePenalty(new VmAttributes("", p.priorityClass, p.service), s.name())
                : 1;
      }
    }
    book.attemptSent(i, new VmAttributes("", p.priorityClass, p.service), p.at.name());
    return sum;
  }

  @Benchmark
  public double byAScan() {
    Placed p = placed.get(next++ % placed.size());
    double sum = 0;
    for (MachineTopology s : fleet) {
      for (PlacementConstraint r : set) {
        if (r.scope().covers(new VmAttributes("", p.priorityClass, p.service))) {
          sum += against(r, p, s) ? 1 : 0;
        }
      }
    }
    return sum;
  }

  private boolean against(PlacementConstraint r, Placed p, MachineTopology s) {
    if (r.clause() instanceof PlacementConstraint.MachineLabels on) {
      return !on.predicate().matches(s);
    }
    TopologyLevel per =
        r.clause() instanceof PlacementConstraint.Affinity n
            ? n.level()
            : r.clause() instanceof PlacementConstraint.AntiAffinity a
                ? a.level()
                : ((PlacementConstraint.SpreadLimit) r.clause()).level();
    PlacementConstraint.Scope of =
        r.clause() instanceof PlacementConstraint.Affinity n
            ? n.other()
            : r.clause() instanceof PlacementConstraint.AntiAffinity a ? a.other() : r.scope();
    boolean each = r.clause() instanceof PlacementConstraint.SpreadLimit m && m.perService();
    TopologyDomain here = TopologyDomain.of(s, per);
    int count = 0;
    for (Placed o : placed) {
      if (o != p
          && of.covers(new VmAttributes("", o.priorityClass, o.service))
          && (!each || o.service == p.service)
          && TopologyDomain.of(o.at, per).equals(here)) {
        count++;
      }
    }
    return r.clause() instanceof PlacementConstraint.Affinity
        ? count == 0
        : r.clause() instanceof PlacementConstraint.AntiAffinity
            ? count > 0
            : count >= ((PlacementConstraint.SpreadLimit) r.clause()).limit();
  }

  public static void main(String[] args) throws Exception {
    new Runner(new OptionsBuilder().include(PlacementBenchmark.class.getSimpleName()).build())
        .run();
  }
}
