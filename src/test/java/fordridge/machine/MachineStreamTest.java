package fordridge.machine;

import static org.assertj.core.api.Assertions.assertThat;

import fordridge.model.Machine;
import fordridge.model.PlacementAttempt;
import fordridge.model.PlacementAttempt.Outcome;
import fordridge.model.PlacementAttempt.OutcomeReason;
import fordridge.model.SeededRandom;
import fordridge.model.Vm;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

class MachineStreamTest {
  /** A line and a fate that keep what they were told, and complain of what may never happen. */
  private static final class World implements MachineStreamTransport, MachineStream.Listener {
    final Machine machine = new Machine(7);
    final MachineStream link =
        new MachineStream(
            machine,
            new MachineStreamSettings(
                ms(250), ms(5000), ms(100), ms(2000), ms(400), ms(250), 3, false),
            this,
            this,
            new SeededRandom(1));
    final List<String> acts = new ArrayList<>();
    final Map<PlacementAttempt, Outcome> ends = new HashMap<>();
    final Set<PlacementAttempt> bound = new HashSet<>();
    final Set<AttemptId> offered = new HashSet<>();
    final List<ReportedVm> adopted = new ArrayList<>();
    boolean open;
    boolean ready = true;
    Duration now = Duration.ZERO;
    int made;

    static Duration ms(long n) {
      return Duration.ofMillis(n);
    }

    PlacementAttempt offer(boolean mayRepeat) {
      Vm vm = new Vm("vm" + made++);
      PlacementAttempt c = new PlacementAttempt(vm, machine, 0, now);
      vm.attempts.add(c);
      link.offer(c, name(c), mayRepeat, ms(1000), now);
      return c;
    }

    static AttemptId name(PlacementAttempt c) {
      return new AttemptId(c.vm.id, 0);
    }

    void holding(long incarnation, ReportedVm... held) {
      link.inventoryReceived(incarnation, List.of(held), now);
    }

    static ReportedVm held(PlacementAttempt c, ReportedVm.State state) {
      return new ReportedVm(name(c), state, "f", 1, "", 1, 1, "owner");
    }

    void pass(long millis) {
      Duration end = now.plus(ms(millis));
      for (Duration due = link.nextDeadline().orElse(null);
          due != null && due.compareTo(end) <= 0;
          due = link.nextDeadline().orElse(null)) {
        now = due.compareTo(now) > 0 ? due : now;
        link.tick(now);
      }
      now = end;
    }

    @Override
    public void connect() {
      assertThat(open).as("one stream at a time").isFalse();
      open = true;
      acts.add("connect");
    }

    @Override
    public void close(String why) {
      open = false;
      acts.add("close");
    }

    void breaks() {
      open = false;
      link.connectionLost("test", now);
    }

    @Override
    public boolean isReady() {
      return ready;
    }

    @Override
    public void offer(PlacementAttempt attempt, AttemptId attemptId, Duration within) {
      assertThat(attempt.outcome).as("offered after its end").isNull();
      assertThat(offered.add(attemptId)).as("offered twice").isTrue();
    }

    @Override
    public void cancel(AttemptId attemptId) {
      acts.add("cancel " + attemptId.vmId());
    }

    @Override
    public void terminate(AttemptId attemptId) {
      acts.add("stop " + attemptId.vmId());
    }

    @Override
    public void probe() {
      acts.add("probe");
    }

    @Override
    public void attemptAccepted(PlacementAttempt attempt, boolean running) {
      assertThat(attempt.outcome).as("bound after its end").isNull();
      bound.add(attempt);
    }

    @Override
    public void attemptEnded(PlacementAttempt attempt, Outcome end, OutcomeReason why) {
      assertThat(attempt.outcome).as("a second end").isNull();
      attempt.outcome = end;
      ends.put(attempt, end);
    }

    @Override
    public void unknownVmReported(ReportedVm held, Machine m) {
      adopted.add(held);
    }

    @Override
    public void probeCompleted(
        Machine m, boolean healthy, boolean withLoadReport, Duration roundTrip) {
      acts.add("probed " + healthy);
    }

    @Override
    public void attemptReleased(PlacementAttempt attempt) {
      assertThat(attempt.outcome).as("cleared before it was given up").isNotNull();
    }

    @Override
    public void connectionLost(Machine m, String reason) {}
  }

  @Example
  void anOfferThatWasNeverWrittenNeverRan() {
    World w = new World();
    PlacementAttempt c = w.offer(false);
    w.breaks();
    assertThat(c.outcome).isEqualTo(Outcome.UNREACHABLE);
    assertThat(w.offered).isEmpty();
  }

  @Example
  void aMachineThatNeverSpeaksIsGivenUp() {
    World w = new World();
    PlacementAttempt c = w.offer(false);
    w.pass(260);
    assertThat(c.outcome).isEqualTo(Outcome.UNREACHABLE);
    assertThat(w.acts).contains("close");
  }

  @Example
  void aRepeatableOneMayHaveRunAtOnceAndIsCalledOffOnReturn() {
    World w = new World();
    PlacementAttempt c = w.offer(true);
    w.holding(1);
    w.breaks();
    assertThat(c.outcome).isEqualTo(Outcome.RESET);
    w.pass(150);
    w.holding(1, World.held(c, ReportedVm.State.RUNNING));
    assertThat(w.acts).contains("cancel vm0");
    assertThat(w.bound).isEmpty();
  }

  @Example
  void aOneShotWaitsForTheStreamToComeBackAndGoesOn() {
    World w = new World();
    PlacementAttempt c = w.offer(false);
    w.holding(1);
    w.breaks();
    assertThat(c.outcome).isNull();
    w.pass(150);
    w.holding(1, World.held(c, ReportedVm.State.RUNNING));
    assertThat(w.bound).contains(c);
    assertThat(c.outcome).isNull();
  }

  @Example
  void aOneShotThatTheMachineNeverGotIsFree() {
    World w = new World();
    PlacementAttempt c = w.offer(false);
    w.holding(1);
    w.breaks();
    w.pass(150);
    w.holding(1);
    assertThat(c.outcome).isEqualTo(Outcome.NOT_SENT);
    assertThat(c.hasNeverRun()).isTrue();
  }

  @Example
  void aOneShotOnAMachineThatStartedAnewMayHaveRun() {
    World w = new World();
    PlacementAttempt c = w.offer(false);
    w.holding(1);
    w.breaks();
    w.pass(150);
    w.holding(2);
    assertThat(c.outcome).isEqualTo(Outcome.RESET);
  }

  @Example
  void aOneShotWhoseStreamStaysAwayMayHaveRun() {
    World w = new World();
    PlacementAttempt c = w.offer(false);
    w.holding(1);
    w.breaks();
    w.pass(410);
    assertThat(c.outcome).isEqualTo(Outcome.RESET);
  }

  @Example
  void whatRunsIsLostOnlyOnTheMachinesWordOrTheLists() {
    World w = new World();
    PlacementAttempt stays = w.offer(true);
    PlacementAttempt lost = w.offer(true);
    w.holding(1);
    w.link.vmStarted(World.name(stays));
    w.link.vmStarted(World.name(lost));
    w.breaks();
    w.pass(60);
    assertThat(stays.outcome).isNull();
    w.pass(60);
    w.holding(1, World.held(stays, ReportedVm.State.RUNNING));
    assertThat(stays.outcome).isNull();
    assertThat(lost.outcome).isEqualTo(Outcome.RESET);
    w.breaks();
    w.link.machineListed(true, w.now);
    assertThat(stays.outcome).isEqualTo(Outcome.RESET);
  }

  @Example
  void theLinesBoundIsAFullLine() {
    World w = new World();
    w.ready = false;
    for (int i = 0; i < 3; i++) {
      assertThat(w.offer(true).outcome).isNull();
    }
    w.holding(1);
    assertThat(w.offer(true).outcome).isEqualTo(Outcome.FULL);
    w.ready = true;
    w.link.transportReady(w.now);
    assertThat(w.offered.size()).isEqualTo(3);
  }

  @Example
  void aDrainTakesBackWhatIsDecidedButNotWritten() {
    World w = new World();
    w.ready = false;
    PlacementAttempt c = w.offer(false);
    w.holding(1);
    w.link.machineDraining();
    assertThat(c.outcome).isEqualTo(Outcome.NOT_SENT);
    w.ready = true;
    w.link.transportReady(w.now);
    assertThat(w.offered).isEmpty();
  }

  @Example
  void anAnswerThatCrossesOurCancelIsNotHeard() {
    World w = new World();
    PlacementAttempt c = w.offer(false);
    w.holding(1);
    assertThat(w.link.cancel(c, w.now)).isFalse();
    c.outcome = Outcome.TIMEOUT;
    w.link.vmStarted(World.name(c));
    w.link.attemptEnded(World.name(c), Outcome.CANCELLED, OutcomeReason.UNSPECIFIED, w.now);
    assertThat(w.bound).isEmpty();
    assertThat(w.link.attemptCount()).isEqualTo(0);
  }

  @Example
  void whatAnEarlierLifeLeftRunningIsAdoptedAndItsLineCalledOff() {
    World w = new World();
    w.link.reconcile(w.now);
    w.holding(
        4,
        new ReportedVm(new AttemptId("old", 2), ReportedVm.State.RUNNING, "f", 1, "", 1, 1, "o"),
        new ReportedVm(new AttemptId("queued", 0), ReportedVm.State.QUEUED, "f", 1, "", 1, 1, "o"));
    assertThat(w.adopted.size()).isEqualTo(1);
    assertThat(w.acts).contains("cancel queued");
  }

  @Example
  void waitsBetweenTriesGrowAndOffersMeanwhileAreRefusedAtOnce() {
    World w = new World();
    List<Long> tries = new ArrayList<>();
    for (int i = 0; i < 6; i++) {
      while (w.link.state() == MachineStream.State.BACKING_OFF) {
        assertThat(w.offer(true).outcome).isEqualTo(Outcome.UNREACHABLE);
        w.pass(20);
      }
      tries.add(w.now.toMillis());
      w.offer(true);
      w.breaks();
    }
    for (int i = 2; i < tries.size(); i++) {
      assertThat(tries.get(i) - tries.get(i - 1))
          .isGreaterThan((tries.get(i - 1) - tries.get(i - 2)) * 9 / 10);
    }
    assertThat(tries.get(5) - tries.get(4)).isLessThan(2100L);
  }

  /**
   * A machine that keeps the contract, and any order of breaks, answers and lists: no claim is left
   * in doubt.
   */
  @Property(tries = 400, seed = "77")
  void everyAttemptEndsOnceAndNeverRunIsTrue(@ForAll long seed) {
    World w = new World();
    Random r = new Random(seed);
    Map<AttemptId, ReportedVm.State> there = new HashMap<>();
    Set<AttemptId> ran = new HashSet<>();
    List<PlacementAttempt> all = new ArrayList<>();
    long incarnation = 1;
    Set<AttemptId> taken = new HashSet<>();
    for (int i = 0; i < 120; i++) {
      // Offers reach the machine while the stream stands; some are lost with it.
      for (AttemptId n : w.offered) {
        if (taken.add(n) && (w.open || r.nextBoolean())) {
          there.put(n, ReportedVm.State.QUEUED);
        }
      }
      PlacementAttempt c = all.isEmpty() ? null : all.get(r.nextInt(all.size()));
      AttemptId n = c == null ? null : World.name(c);
      switch (r.nextInt(9)) {
        case 0, 1 -> all.add(w.offer(r.nextBoolean()));
        case 2 -> {
          if (w.link.state() == MachineStream.State.CONNECTING) {
            List<ReportedVm> held = new ArrayList<>();
            there.forEach((k, s) -> held.add(new ReportedVm(k, s, "f", 1, "", 1, 1, "o")));
            w.link.inventoryReceived(incarnation, held, w.now);
          }
        }
        case 3 -> {
          if (n != null && there.get(n) == ReportedVm.State.QUEUED) {
            there.put(n, ReportedVm.State.RUNNING);
            ran.add(n);
            if (w.link.state() == MachineStream.State.ESTABLISHED && r.nextInt(3) > 0) {
              w.link.vmStarted(n);
            }
          }
        }
        case 4 -> {
          if (n != null && there.get(n) == ReportedVm.State.QUEUED) {
            there.put(n, ReportedVm.State.REJECTED);
            if (w.link.state() == MachineStream.State.ESTABLISHED) {
              w.link.attemptRejected(n, OutcomeReason.INSUFFICIENT_CORES, w.now);
            }
          }
        }
        case 5 -> {
          if (w.open) {
            w.breaks();
            if (r.nextInt(4) == 0) {
              incarnation++;
              there.clear();
            }
          }
        }
        case 6 -> {
          if (c != null && c.outcome == null && !w.bound.contains(c)) {
            boolean never = w.link.cancel(c, w.now);
            w.attemptEnded(
                c, never ? Outcome.UNREACHABLE : Outcome.TIMEOUT, OutcomeReason.UNSPECIFIED);
            there.computeIfPresent(
                n, (k, s) -> s == ReportedVm.State.QUEUED ? ReportedVm.State.REJECTED : s);
          }
        }
        case 7 -> w.ready = r.nextInt(4) > 0;
        default -> w.pass(r.nextInt(300));
      }
      for (PlacementAttempt o : all) {
        assertThat(o.hasNeverRun() && ran.contains(World.name(o)))
            .as("said never to have run, but ran")
            .isFalse();
      }
    }
    if (w.open) {
      w.breaks();
    }
    w.link.machineListed(true, w.now);
    for (PlacementAttempt o : all) {
      assertThat(o.outcome).as("left in doubt").isNotNull();
    }
  }
}
