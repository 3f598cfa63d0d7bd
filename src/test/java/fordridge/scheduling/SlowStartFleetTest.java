package fordridge.scheduling;

import static org.assertj.core.api.Assertions.assertThat;

import fordridge.model.Machine;
import fordridge.model.PlacementAttempt;
import fordridge.model.PlacementAttempt.Outcome;
import fordridge.model.PlacementAttempt.OutcomeReason;
import fordridge.model.SettingsValues;
import fordridge.model.Vm;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

/**
 * Rule 4 for the fleet: what all placers together send to a machine that has just come up, each a
 * module of its own with a clock of its own, that hears of the start late and may be restarted in
 * between.
 */
class SlowStartFleetTest {
  private static final Duration STEP = Duration.ofMillis(20);
  private static final Duration WARM = Duration.ofSeconds(10);

  /** A cluster of nothing but cold machines, and more asked for than they may be sent. */
  private final class Fleet {
    final Random r;
    final int placers;
    final double bears;
    final Duration span;
    final List<List<Duration>> sent = new ArrayList<>();
    final List<Duration> startedAt = new ArrayList<>();
    final Instance[] instances;
    Duration clock = Duration.ofSeconds(100);

    Fleet(Random r, int placers, double bears, Duration span) {
      this.r = r;
      this.placers = placers;
      this.bears = bears;
      this.span = span;
      for (int m = 0; m < 3; m++) {
        sent.add(new ArrayList<>());
        startedAt.add(clock.plusMillis(m * 137));
      }
      instances = new Instance[placers];
      for (int i = 0; i < placers; i++) {
        instances[i] = new Instance(this, i, Duration.ofMillis(r.nextInt(1500)));
      }
    }

    /** Till shortly before the first of them counts as warm anywhere. */
    void play(boolean restarts) {
      play(WARM.minusMillis(40), restarts);
    }

    void play(Duration during, boolean restarts) {
      Duration end = clock.plus(during);
      while (clock.compareTo(end) < 0) {
        clock = clock.plus(STEP);
        for (int i = 0; i < placers; i++) {
          if (restarts && r.nextInt(150) == 0) {
            // Killed, and back within less than the span: it remembers nothing.
            instances[i] = new Instance(this, i, Duration.ofMillis(300 + r.nextInt(700)));
          }
          instances[i].step();
        }
      }
    }

    int mostInASpan(List<Duration> of) {
      int most = 0;
      for (int from = 0, to = 0; to < of.size(); to++) {
        while (of.get(from).plus(span).compareTo(of.get(to)) <= 0) {
          from++;
        }
        most = Math.max(most, to - from + 1);
      }
      return most;
    }
  }

  /**
   * One placer's life: its clock runs from its own start, and is off by some milliseconds against
   * the others'.
   */
  private static final class Instance implements SchedulerActions {
    final Fleet fleet;
    final Scheduler scheduler = new Scheduler(this);
    final Duration origin;

    /** How far its wall clock, by which starts are told, is off. */
    final Duration skew;

    final Duration hears;
    final Machine[] machines = new Machine[3];
    final List<PlacementAttempt> out = new ArrayList<>();
    boolean told;
    Duration wakeAt;
    int asked;

    Instance(Fleet fleet, int position, Duration hearsIn) {
      this.fleet = fleet;
      origin = fleet.clock;
      skew = Duration.ofMillis(fleet.r.nextInt(40) - 20);
      hears = fleet.clock.plus(hearsIn);
      Map<String, Object> terms = new HashMap<>();
      terms.put("kinds", List.of("k"));
      terms.put("nInstances", (long) fleet.placers);
      terms.put("position", (long) position);
      terms.put("lanes", 1L);
      terms.put("lanes.0.name", "f");
      terms.put("lanes.0.semantics", "retryable");
      terms.put("lanes.0.promiseUs", 600_000L);
      terms.put("lanes.0.giveUpUs", 2_000_000L);
      terms.put("extra.kindByClass", List.of(-1L));
      terms.put("extra.cpuOfKind", List.of(1e6));
      terms.put("extra.memoryByKind", List.of(1e6));
      terms.put("extra.freeInList", true);
      terms.put("extra.coldBears", fleet.bears);
      terms.put("extra.settleUs", 3_000_000L);
      terms.put("caps.mostTries", 3L);
      terms.put("obligations.warmAfterUs", WARM.toNanos() / 1000);
      terms.put("obligations.overloadForUs", fleet.span.toNanos() / 1000);
      terms.put("obligations.coldFrom", 0.2);
      scheduler.advanceTo(now());
      scheduler.start(fleet.r.nextLong(), SchedulerSettingsReader.read(new SettingsValues(terms)));
    }

    private Duration now() {
      return fleet.clock.minus(origin);
    }

    void step() {
      scheduler.advanceTo(now());
      if (!told && fleet.clock.compareTo(hears) >= 0) {
        told = true;
        scheduler.machineListStarted(true, false);
        for (int m = 0; m < machines.length; m++) {
          machines[m] = new Machine(1000 + 7 * m);
          machines[m].kind = "k";
          machines[m].zone = "z";
          machines[m].freeCores = 1e6;
          machines[m].freeMemory = 1e6;
          scheduler.machineListed(
              machines[m], Machine.Lifecycle.LIVE, fleet.startedAt.get(m).plus(skew).minus(origin));
        }
        scheduler.machineListCompleted();
      }
      for (PlacementAttempt c : List.copyOf(out)) {
        out.remove(c);
        scheduler.attemptAccepted(c);
        scheduler.attemptEnded(c, Outcome.DONE, OutcomeReason.UNSPECIFIED, true);
      }
      Vm vm = new Vm("v" + asked++);
      vm.priorityClass = "f";
      vm.cores = 1;
      vm.memory = 1;
      vm.service = fleet.r.nextInt(50);
      vm.arrivedAt = now();
      vm.deadline = now().plusSeconds(2);
      scheduler.vmRequested(vm);
      if (wakeAt != null && now().compareTo(wakeAt) >= 0) {
        wakeAt = null;
        scheduler.timerFired();
      }
    }

    @Override
    public void sendAttempt(PlacementAttempt c, Duration within) {
      for (int m = 0; m < machines.length; m++) {
        if (machines[m] == c.machine) {
          fleet.sent.get(m).add(fleet.clock);
        }
      }
      out.add(c);
    }

    @Override
    public void scheduleTimer(Duration in) {
      wakeAt = now().plus(in);
    }

    @Override
    public void reject(Vm vm, Duration retryAfter) {}

    @Override
    public void fail(Vm vm) {}

    @Override
    public void migrate(Vm vm) {}

    @Override
    public void cancelAttempt(PlacementAttempt attempt) {}

    @Override
    public void probe(Machine machine) {}

    @Override
    public void log(String line) {}

    @Override
    public void watchMachineList(boolean on) {}

    @Override
    public void fetchMachineList() {}
  }

  @Provide
  Arbitrary<Integer> placers() {
    return Arbitraries.of(1, 3, 16, 20, 30);
  }

  @Provide
  Arbitrary<Double> bears() {
    return Arbitraries.of(1.2, 4.0, 8.0, 20.0, 30.0, 65.0, 130.0);
  }

  @Property(tries = 100, seed = "20261202")
  void allPlacersTogetherKeepToWhatAColdMachineBears(
      @ForAll long seed,
      @ForAll("placers") int placers,
      @ForAll("bears") double bears,
      @ForAll boolean restarts,
      @ForAll boolean longSpan) {
    Fleet f = new Fleet(new Random(seed), placers, bears, Duration.ofSeconds(longSpan ? 3 : 1));
    f.play(restarts);
    for (List<Duration> sent : f.sent) {
      assertThat(f.mostInASpan(sent))
          .as("sent within one span, told budget " + bears + ", placers " + placers)
          .isLessThanOrEqualTo((int) (bears + 2 * Math.sqrt(bears) + 2));
    }
  }

  /**
   * Guards a part of the budget spent twice: by a placer's last life and, a moment later, by its
   * next.
   */
  @Example
  void placersRestartedTogetherDoNotSendTheirPartAgain() {
    for (double bears : new double[] {30, 65, 130, 400}) {
      Fleet f = new Fleet(new Random(7), 16, bears, Duration.ofSeconds(3));
      f.play(Duration.ofSeconds(8), false);
      for (int i = 0; i < f.placers; i++) {
        f.instances[i] = new Instance(f, i, Duration.ofMillis(300));
      }
      f.play(Duration.ofMillis(1900), false);
      for (List<Duration> sent : f.sent) {
        assertThat(f.mostInASpan(sent))
            .as("sent within one span, told budget " + bears)
            .isLessThanOrEqualTo((int) (bears + 2 * Math.sqrt(bears) + 2));
      }
    }
  }

  /** The other fault: a machine that is left alone while it warms up. */
  @Property(tries = 30, seed = "20261202")
  void theRampIsUsed(
      @ForAll long seed, @ForAll("placers") int placers, @ForAll("bears") double bears) {
    Fleet f = new Fleet(new Random(seed), placers, bears, Duration.ofSeconds(1));
    f.play(false);
    int all = f.sent.stream().mapToInt(List::size).sum();
    assertThat(all)
        .as("sent to all three while they warm up, told budget " + bears + ", placers " + placers)
        .isGreaterThan((int) Math.min(3 * bears * WARM.toSeconds() / 8, 300 * placers));
    if (3 * bears < 25 * placers) {
      // More is asked for than all three bear: none is left out.
      assertThat(f.sent).allSatisfy(sent -> assertThat(sent.size()).isGreaterThan((int) bears));
    }
  }
}
