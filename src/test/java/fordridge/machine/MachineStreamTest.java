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
  private static final class World
      implements MachineStream.Transport, MachineStream.AttemptListener {
    final Machine machine = new Machine(7);
    final MachineStream link =
        new MachineStream(
            machine,
            new MachineStream.ConnectionTimeouts(
                ms(250), ms(5000), ms(100), ms(2000), ms(400), ms(250), 3, false),
            this,
            this,
            new SeededRandom(1));
    final List<String> acts = new ArrayList<>();
    final Map<PlacementAttempt, Outcome> ends = new HashMap<>();
    final Set<PlacementAttempt> bound = new HashSet<>();
    final Set<MachineStream.AttemptId> offered = new HashSet<>();
    final List<MachineStream.ReportedVm> adopted = new ArrayList<>();
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

    static MachineStream.AttemptId name(PlacementAttempt c) {
      return new MachineStream.AttemptId(c.vm.id, 0);
    }

    void holding(long incarnation, MachineStream.ReportedVm... held) {
      link.holding(incarnation, List.of(held), now);
    }

    static MachineStream.ReportedVm held(PlacementAttempt c, MachineStream.ReportedVm.State state) {
      return new MachineStream.ReportedVm(name(c), state, "f", 1, "", 1, 1, "owner");
    }

    void pass(long millis) {
      Duration end = now.plus(ms(millis));
      for (Duration due = link.due(); due != null && due.compareTo(end) <= 0; due = link.due()) {
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
      link.broke("test", now);
    }

    @Override
    public boolean ready() {
      return ready;
    }

    @Override
    public void offer(PlacementAttempt attempt, MachineStream.AttemptId name, Duration within) {
      assertThat(attempt.outcome).as("offered after its end").isNull();
      assertThat(offered.add(name)).as("offered twice").isTrue();
    }

    @Override
    public void cancel(MachineStream.AttemptId name) {
      acts.add("cancel " + name.vm());
    }

    @Override
    public void stop(MachineStream.AttemptId name) {
      acts.add("stop " + name.vm());
    }

    @Override
    public void probe() {
      acts.add("probe");
    }

    @Override
    public void bound(PlacementAttempt attempt, boolean running) {
      assertThat(attempt.outcome).as("bound after its end").isNull();
      bound.add(attempt);
    }

    @Override
    public void ended(PlacementAttempt attempt, Outcome end, OutcomeReason why) {
      assertThat(attempt.outcome).as("a second end").isNull();
      attempt.outcome = end;
      ends.put(attempt, end);
    }

    @Override
    public void runsAlready(MachineStream.ReportedVm held, Machine m) {
      adopted.add(held);
    }

    @Override
    public void probed(Machine m, boolean ok, Duration took) {
      acts.add("probed " + ok);
    }

    @Override
    public void cleared(PlacementAttempt attempt) {
      assertThat(attempt.outcome).as("cleared before it was given up").isNotNull();
    }

    @Override
    public void note(Machine m, String text) {}
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
    w.holding(1, World.held(c, MachineStream.ReportedVm.State.RUNNING));
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
    w.holding(1, World.held(c, MachineStream.ReportedVm.State.RUNNING));
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
    w.link.started(World.name(stays), w.now);
    w.link.started(World.name(lost), w.now);
    w.breaks();
    w.pass(60);
    assertThat(stays.outcome).isNull();
    w.pass(60);
    w.holding(1, World.held(stays, MachineStream.ReportedVm.State.RUNNING));
    assertThat(stays.outcome).isNull();
    assertThat(lost.outcome).isEqualTo(Outcome.RESET);
    w.breaks();
    w.link.listed(true, w.now);
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
    w.link.ready(w.now);
    assertThat(w.offered.size()).isEqualTo(3);
  }

  @Example
  void aDrainTakesBackWhatIsDecidedButNotWritten() {
    World w = new World();
    w.ready = false;
    PlacementAttempt c = w.offer(false);
    w.holding(1);
    w.link.drains();
    assertThat(c.outcome).isEqualTo(Outcome.NOT_SENT);
    w.ready = true;
    w.link.ready(w.now);
    assertThat(w.offered).isEmpty();
  }

  @Example
  void anAnswerThatCrossesOurCancelIsNotHeard() {
    World w = new World();
    PlacementAttempt c = w.offer(false);
    w.holding(1);
    assertThat(w.link.giveUp(c, w.now)).isFalse();
    c.outcome = Outcome.TIMEOUT;
    w.link.started(World.name(c), w.now);
    w.link.finished(World.name(c), Outcome.CANCELLED, OutcomeReason.UNSPECIFIED, w.now);
    assertThat(w.bound).isEmpty();
    assertThat(w.link.attempts()).isEqualTo(0);
  }

  @Example
  void whatAnEarlierLifeLeftRunningIsAdoptedAndItsLineCalledOff() {
    World w = new World();
    w.link.call(w.now);
    w.holding(
        4,
        new MachineStream.ReportedVm(
            new MachineStream.AttemptId("old", 2),
            MachineStream.ReportedVm.State.RUNNING,
            "f",
            1,
            "",
            1,
            1,
            "o"),
        new MachineStream.ReportedVm(
            new MachineStream.AttemptId("queued", 0),
            MachineStream.ReportedVm.State.IN_LINE,
            "f",
            1,
            "",
            1,
            1,
            "o"));
    assertThat(w.adopted.size()).isEqualTo(1);
    assertThat(w.acts).contains("cancel queued");
  }

  @Example
  void waitsBetweenTriesGrowAndOffersMeanwhileAreRefusedAtOnce() {
    World w = new World();
    List<Long> tries = new ArrayList<>();
    for (int i = 0; i < 6; i++) {
      while (w.link.phase() == MachineStream.Phase.WAITING) {
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
    Map<MachineStream.AttemptId, MachineStream.ReportedVm.State> there = new HashMap<>();
    Set<MachineStream.AttemptId> ran = new HashSet<>();
    List<PlacementAttempt> all = new ArrayList<>();
    long incarnation = 1;
    Set<MachineStream.AttemptId> taken = new HashSet<>();
    for (int i = 0; i < 120; i++) {
      // Offers reach the machine while the stream stands; some are lost with it.
      for (MachineStream.AttemptId n : w.offered) {
        if (taken.add(n) && (w.open || r.nextBoolean())) {
          there.put(n, MachineStream.ReportedVm.State.IN_LINE);
        }
      }
      PlacementAttempt c = all.isEmpty() ? null : all.get(r.nextInt(all.size()));
      MachineStream.AttemptId n = c == null ? null : World.name(c);
      switch (r.nextInt(9)) {
        case 0, 1 -> all.add(w.offer(r.nextBoolean()));
        case 2 -> {
          if (w.link.phase() == MachineStream.Phase.CONNECTING) {
            List<MachineStream.ReportedVm> held = new ArrayList<>();
            there.forEach(
                (k, s) -> held.add(new MachineStream.ReportedVm(k, s, "f", 1, "", 1, 1, "o")));
            w.link.holding(incarnation, held, w.now);
          }
        }
        case 3 -> {
          if (n != null && there.get(n) == MachineStream.ReportedVm.State.IN_LINE) {
            there.put(n, MachineStream.ReportedVm.State.RUNNING);
            ran.add(n);
            if (w.link.phase() == MachineStream.Phase.GREETED && r.nextInt(3) > 0) {
              w.link.started(n, w.now);
            }
          }
        }
        case 4 -> {
          if (n != null && there.get(n) == MachineStream.ReportedVm.State.IN_LINE) {
            there.put(n, MachineStream.ReportedVm.State.REFUSED);
            if (w.link.phase() == MachineStream.Phase.GREETED) {
              w.link.refused(n, OutcomeReason.INSUFFICIENT_CORES, w.now);
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
            boolean never = w.link.giveUp(c, w.now);
            w.ended(c, never ? Outcome.UNREACHABLE : Outcome.TIMEOUT, OutcomeReason.UNSPECIFIED);
            there.computeIfPresent(
                n,
                (k, s) ->
                    s == MachineStream.ReportedVm.State.IN_LINE
                        ? MachineStream.ReportedVm.State.REFUSED
                        : s);
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
    w.link.listed(true, w.now);
    for (PlacementAttempt o : all) {
      assertThat(o.outcome).as("left in doubt").isNotNull();
    }
  }
}
