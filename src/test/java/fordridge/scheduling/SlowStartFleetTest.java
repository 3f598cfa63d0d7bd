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
 * Invariant 4 over all schedulers: the number of attempts that they together send to a recently
 * started machine. Each scheduler has its own clock, learns of the start late and may be restarted.
 */
class SlowStartFleetTest {
  private static final Duration STEP = Duration.ofMillis(20);
  private static final Duration WARM_UP_TIME = Duration.ofSeconds(10);

  /**
   * A cluster in which all machines are in slow start, with more requests than may be sent to them.
   */
  private static final class Fleet {
    final Random random;
    final int schedulers;
    final double budget;
    final Duration span;
    final List<List<Duration>> sent = new ArrayList<>();
    final List<Duration> startedAt = new ArrayList<>();
    final Instance[] instances;
    Duration clock = Duration.ofSeconds(100);

    Fleet(Random random, int schedulers, double budget, Duration span) {
      this.random = random;
      this.schedulers = schedulers;
      this.budget = budget;
      this.span = span;
      for (int m = 0; m < 3; m++) {
        sent.add(new ArrayList<>());
        startedAt.add(clock.plusMillis(m * 137L));
      }
      instances = new Instance[schedulers];
      for (int i = 0; i < schedulers; i++) {
        instances[i] = new Instance(this, i, Duration.ofMillis(random.nextInt(1500)));
      }
    }

    /** Runs until shortly before any scheduler regards the first machine as warmed up. */
    void run(boolean restarts) {
      run(WARM_UP_TIME.minusMillis(40), restarts);
    }

    void run(Duration during, boolean restarts) {
      Duration end = clock.plus(during);
      while (clock.compareTo(end) < 0) {
        clock = clock.plus(STEP);
        for (int i = 0; i < schedulers; i++) {
          if (restarts && random.nextInt(150) == 0) {
            // The scheduler is killed and restarted within the span, without any state.
            instances[i] = new Instance(this, i, Duration.ofMillis(300 + random.nextInt(700)));
          }
          instances[i].step();
        }
      }
    }

    int mostInOneSpan(List<Duration> of) {
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
   * One run of a scheduler. Its clock starts with it, and its wall clock differs by some
   * milliseconds from those of the others.
   */
  private static final class Instance implements SchedulerActions {
    final Fleet fleet;
    final Scheduler scheduler = new Scheduler(this);
    final Duration origin;

    /** Error of its wall clock, which determines the reported start times of machines. */
    final Duration skew;

    final Duration listAt;
    final Machine[] machines = new Machine[3];
    final List<PlacementAttempt> inFlight = new ArrayList<>();
    boolean isListed;
    Duration timerAt;
    int requestCount;

    Instance(Fleet fleet, int position, Duration listDelay) {
      this.fleet = fleet;
      origin = fleet.clock;
      skew = Duration.ofMillis(fleet.random.nextInt(40) - 20);
      listAt = fleet.clock.plus(listDelay);
      Map<String, Object> values = new HashMap<>();
      values.put("kinds", List.of("k"));
      values.put("nInstances", (long) fleet.schedulers);
      values.put("position", (long) position);
      values.put("lanes", 1L);
      values.put("lanes.0.name", "f");
      values.put("lanes.0.semantics", "retryable");
      values.put("lanes.0.promiseUs", 600_000L);
      values.put("lanes.0.giveUpUs", 2_000_000L);
      values.put("extra.kindByClass", List.of(-1L));
      values.put("extra.cpuOfKind", List.of(1e6));
      values.put("extra.memoryByKind", List.of(1e6));
      values.put("extra.freeInList", true);
      values.put("extra.coldBears", fleet.budget);
      values.put("extra.settleUs", 3_000_000L);
      values.put("caps.mostTries", 3L);
      values.put("obligations.warmAfterUs", WARM_UP_TIME.toNanos() / 1000);
      values.put("obligations.overloadForUs", fleet.span.toNanos() / 1000);
      values.put("obligations.coldFrom", 0.2);
      scheduler.advanceTo(now());
      scheduler.start(
          fleet.random.nextLong(), SchedulerSettingsReader.read(new SettingsValues(values)));
    }

    private Duration now() {
      return fleet.clock.minus(origin);
    }

    void step() {
      scheduler.advanceTo(now());
      if (!isListed && fleet.clock.compareTo(listAt) >= 0) {
        isListed = true;
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
      for (PlacementAttempt attempt : List.copyOf(inFlight)) {
        inFlight.remove(attempt);
        scheduler.attemptAccepted(attempt);
        scheduler.attemptEnded(attempt, Outcome.DONE, OutcomeReason.UNSPECIFIED, true);
      }
      Vm vm = new Vm("v" + requestCount++);
      vm.priorityClass = "f";
      vm.cores = 1;
      vm.memory = 1;
      vm.service = fleet.random.nextInt(50);
      vm.arrivedAt = now();
      vm.deadline = now().plusSeconds(2);
      scheduler.vmRequested(vm);
      if (timerAt != null && now().compareTo(timerAt) >= 0) {
        timerAt = null;
        scheduler.timerFired();
      }
    }

    @Override
    public void sendAttempt(PlacementAttempt attempt, Duration timeout) {
      for (int m = 0; m < machines.length; m++) {
        if (machines[m] == attempt.machine) {
          fleet.sent.get(m).add(fleet.clock);
        }
      }
      inFlight.add(attempt);
    }

    @Override
    public void scheduleTimer(Duration delay) {
      timerAt = now().plus(delay);
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
    public void watchMachineList(boolean enabled) {}

    @Override
    public void fetchMachineList() {}
  }

  @Provide
  Arbitrary<Integer> schedulers() {
    return Arbitraries.of(1, 3, 16, 20, 30);
  }

  @Provide
  Arbitrary<Double> budget() {
    return Arbitraries.of(1.2, 4.0, 8.0, 20.0, 30.0, 65.0, 130.0);
  }

  @Property(tries = 100, seed = "20261202")
  void allSchedulersTogetherStayWithinTheBudgetOfAMachineInSlowStart(
      @ForAll long seed,
      @ForAll("schedulers") int schedulers,
      @ForAll("budget") double budget,
      @ForAll boolean restarts,
      @ForAll boolean longSpan) {
    Fleet fleet =
        new Fleet(new Random(seed), schedulers, budget, Duration.ofSeconds(longSpan ? 3 : 1));
    fleet.run(restarts);
    for (List<Duration> sent : fleet.sent) {
      assertThat(fleet.mostInOneSpan(sent))
          .as("sent within one span, budget " + budget + ", schedulers " + schedulers)
          .isLessThanOrEqualTo((int) (budget + 2 * Math.sqrt(budget) + 2));
    }
  }

  /**
   * Guards against a quota that is used twice: by a scheduler before its restart and again shortly
   * after it.
   */
  @Example
  void schedulersRestartedTogetherDoNotSpendTheirQuotaAgain() {
    for (double budget : new double[] {30, 65, 130, 400}) {
      Fleet fleet = new Fleet(new Random(7), 16, budget, Duration.ofSeconds(3));
      fleet.run(Duration.ofSeconds(8), false);
      for (int i = 0; i < fleet.schedulers; i++) {
        fleet.instances[i] = new Instance(fleet, i, Duration.ofMillis(300));
      }
      fleet.run(Duration.ofMillis(1900), false);
      for (List<Duration> sent : fleet.sent) {
        assertThat(fleet.mostInOneSpan(sent))
            .as("sent within one span, budget " + budget)
            .isLessThanOrEqualTo((int) (budget + 2 * Math.sqrt(budget) + 2));
      }
    }
  }

  /** Guards against a machine that gets too few attempts while it warms up. */
  @Property(tries = 30, seed = "20261202")
  void machinesInSlowStartGetAttempts(
      @ForAll long seed, @ForAll("schedulers") int schedulers, @ForAll("budget") double budget) {
    Fleet fleet = new Fleet(new Random(seed), schedulers, budget, Duration.ofSeconds(1));
    fleet.run(false);
    int sentInAll = fleet.sent.stream().mapToInt(List::size).sum();
    assertThat(sentInAll)
        .as("sent to all three while they warm up, budget " + budget + ", schedulers " + schedulers)
        .isGreaterThan((int) Math.min(3 * budget * WARM_UP_TIME.toSeconds() / 8, 300 * schedulers));
    if (3 * budget < 25 * schedulers) {
      // More VMs are requested than all three machines withstand, so each of them has to be used.
      assertThat(fleet.sent)
          .allSatisfy(sent -> assertThat(sent.size()).isGreaterThan((int) budget));
    }
  }
}
