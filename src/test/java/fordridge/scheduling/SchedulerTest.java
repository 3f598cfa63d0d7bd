package fordridge.scheduling;

import static org.assertj.core.api.Assertions.assertThat;

import fordridge.model.GossipCodec;
import fordridge.model.Machine;
import fordridge.model.Machine.Lifecycle;
import fordridge.model.PlacementAttempt;
import fordridge.model.PlacementAttempt.Outcome;
import fordridge.model.PlacementAttempt.OutcomeReason;
import fordridge.model.Vm;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

class SchedulerTest {
  private static SchedulerFixture play(
      long seed, int machines, boolean pushed, String scope, long placers) {
    SchedulerFixture w = new SchedulerFixture(pushed, scope);
    w.terms.put("nInstances", placers);
    Random r = new Random(seed);
    w.begin(seed, machines);
    for (int i = 0; i < 250; i++) {
      w.happen(r);
      w.pass(Duration.ofMillis((placers > 100 ? 40L : 10L) * r.nextInt(12)));
    }
    w.pass(Duration.ofSeconds(6));
    return w;
  }

  @Property(tries = 150, seed = "4711")
  void oddSequencesKeepTheFiveRules(
      @ForAll long seed,
      @ForAll @IntRange(min = 1, max = 9) int machines,
      @ForAll boolean pushed,
      @ForAll @IntRange(max = 2) int scope,
      @ForAll boolean hundreds) {
    SchedulerFixture w =
        play(seed, machines, pushed, List.of("all", "zone", "cell").get(scope), hundreds ? 300 : 2);
    for (Vm vm : w.vms) {
      assertThat(w.answered.contains(vm) || vm.isFinished).as(vm.id + " was lost").isTrue();
    }
  }

  @Property(tries = 20, seed = "4712")
  void sameInputsSameActs(@ForAll long seed) {
    assertThat(play(seed, 6, true, "cell", 2).acts).isEqualTo(play(seed, 6, true, "cell", 2).acts);
  }

  private static SchedulerFixture calm(int machines) {
    SchedulerFixture w = new SchedulerFixture(true, "cell");
    w.begin(1, machines);
    return w;
  }

  private static void report(SchedulerFixture w, Machine m, double cores, double memory) {
    m.spareCores = cores;
    m.spareMemory = memory;
    m.reportedAt = w.now;
    w.scheduler.probeCompleted(m, true, true);
  }

  @Example
  void regularRoomComesFirst() {
    SchedulerFixture w = new SchedulerFixture(true, "cell");
    w.terms.put("nInstances", 1L);
    w.begin(1, 3);
    w.machines.get(0).freeCores = 0;
    w.machines.get(1).freeCores = 0;
    report(w, w.machines.get(0), 16, 32);
    Vm vm = w.arrive("retryable", 2, 2, 1);
    assertThat(vm.attempts.get(0).machine).isSameAs(w.machines.get(2));
  }

  /**
   * Hundreds of placers see the same regular room; were all to take it, it would be filled many
   * times.
   */
  @Example
  void regularRoomIsLeftToThePartOfVmsThatItHolds() {
    SchedulerFixture w = calm(8);
    w.terms.put("nInstances", 200L);
    w.change("caps.mostTries", 1L);
    w.machines.forEach(m -> m.freeCores = -1);
    w.machines.get(0).freeCores = 2;
    w.machines.forEach(m -> report(w, m, m.cores * 0.7, m.memory * 0.7));
    for (int i = 0; i < 80; i++) {
      Vm vm = w.arrive("retryable", 0.5, 0.5, i);
      w.end(vm.attempts.get(0), Outcome.FULL, OutcomeReason.QUEUE_FULL);
      w.machines.forEach(m -> m.ejectedUntil = Duration.ZERO);
      w.machines.forEach(m -> m.faultScore.clear());
      w.pass(Duration.ofMillis(10));
    }
    long there = w.vms.stream().filter(v -> v.attempts.get(0).machine == w.machines.get(0)).count();
    assertThat(there).isBetween(2L, 40L);
  }

  /**
   * Without a report, a machine of which much is asked must not look like an empty one; notes tell
   * use.
   */
  @Example
  void unreportedUseFollowsTheListsAsksAndTheFirstNotes() {
    SchedulerFixture w = calm(2);
    Vm first = w.arrive("retryable", 2, 2, 1);
    w.bind(first.attempts.get(0));
    w.machines.get(0).freeCores = -16;
    w.machines.get(1).freeCores = -4;
    w.machines.forEach(m -> m.freeMemory = 1);
    w.scheduler.coreUsageReported(first.attempts.get(0), 2);
    w.scheduler.memoryUsageReported(first.attempts.get(0), 2);
    w.pass(Duration.ofMillis(10));
    assertThat(w.arrive("retryable", 2, 2, 2).attempts.isEmpty()).isTrue();
    for (int i = 0; i < 9; i++) {
      w.scheduler.coreUsageReported(first.attempts.get(0), 1.1);
      w.scheduler.memoryUsageReported(first.attempts.get(0), 1);
    }
    w.pass(Duration.ofMillis(10));
    assertThat(w.arrive("retryable", 2, 2, 3).attempts.get(0).machine).isSameAs(w.machines.get(1));
  }

  /**
   * A machine that says full without a reason refuses one customer's VMs; others still go there.
   */
  @Example
  void aRefusalWithoutAReasonClosesItForThatTenantOnly() {
    SchedulerFixture w = calm(1);
    Vm vm = w.arrive("retryable", 0.5, 0.5, 1);
    w.end(vm.attempts.get(0), Outcome.FULL, OutcomeReason.UNSPECIFIED);
    w.tenant = "other";
    assertThat(w.arrive("retryable", 0.5, 0.5, 1).attempts.size()).isEqualTo(1);
    w.tenant = "";
    w.pass(Duration.ofSeconds(5));
    assertThat(w.arrive("retryable", 0.5, 0.5, 1).attempts.isEmpty()).isTrue();
    w.pass(Duration.ofSeconds(2));
    assertThat(w.arrive("retryable", 0.5, 0.5, 1).attempts.size()).isEqualTo(1);
  }

  /**
   * Machines that refuse stay empty; by room alone they would draw every try while those that take
   * fill.
   */
  @Example
  void whileRefusedWithoutAReasonVmsGoWhereOneWasTaken() {
    SchedulerFixture w = calm(9);
    w.arrive("retryable", 0.5, 0.5, 1);
    Machine good = w.attempts.get(0).machine;
    w.bind(w.attempts.get(0));
    good.freeCores = 0;
    report(w, good, 8, 16);
    w.pass(Duration.ofSeconds(1));
    w.end(
        w.arrive("retryable", 0.5, 0.5, 2).attempts.get(0),
        Outcome.FULL,
        OutcomeReason.UNSPECIFIED);
    assertThat(w.vms.get(1).attempts.get(1).machine).isSameAs(good);
    assertThat(w.arrive("retryable", 0.5, 0.5, 3).attempts.get(0).machine).isSameAs(good);
  }

  /**
   * The kind that some flavour needs is spared by others, but not until the other machines are
   * crowded.
   */
  @Example
  void neededKindsAreSparedWhileTheOthersAreNoFuller() {
    SchedulerFixture w = calm(2);
    report(w, w.machines.get(0), 12, 24);
    report(w, w.machines.get(1), 12, 24);
    assertThat(w.arrive("retryable", 0.5, 0.5, 1).attempts.get(0).machine)
        .isSameAs(w.machines.get(0));
    report(w, w.machines.get(0), 3, 24);
    report(w, w.machines.get(1), 24, 48);
    Set<Machine> taken = new HashSet<>();
    for (int service = 2; service < 10; service++) {
      taken.add(w.arrive("retryable", 0.5, 0.5, service).attempts.get(0).machine);
    }
    assertThat(taken).contains(w.machines.get(1));
  }

  /**
   * With hundreds of placers, machines that came up together must not all be a placer's turn at
   * once.
   */
  @Example
  void turnsAtColdMachinesDiffer() {
    SchedulerFixture w = calm(40);
    w.terms.put("nInstances", 200L);
    w.machines.forEach(m -> w.list(m, Lifecycle.LIVE, w.now));
    for (int i = 0; i < 90; i++) {
      w.arrive("retryable", 0.5, 0.5, i);
      w.pass(Duration.ofMillis(100));
    }
    long seconds = w.attempts.stream().map(c -> c.sentAt.toSeconds()).distinct().count();
    assertThat(seconds).isGreaterThan(4);
  }

  /**
   * Terms can change under way: a longer build timeout and one claim more hold at once, what was
   * learned stays.
   */
  @Example
  void termsToldLaterHoldFromThenOn() {
    SchedulerFixture w = calm(3);
    w.change("caps.mostTries", 1L);
    Vm first = w.arrive("retryable", 1, 1, 1);
    w.end(first.attempts.get(0), Outcome.FULL, OutcomeReason.INSUFFICIENT_CORES);
    assertThat(w.denied).isEqualTo(1);
    w.change("caps.mostTries", 3L);
    Vm second = w.arrive("retryable", 1, 1, 1);
    w.end(second.attempts.get(0), Outcome.FULL, OutcomeReason.INSUFFICIENT_CORES);
    assertThat(second.attempts.size()).isEqualTo(2);
  }

  @Example
  void opportunisticRoomFollowsReportedUse() {
    SchedulerFixture w = calm(2);
    w.machines.forEach(m -> m.freeCores = 0);
    report(w, w.machines.get(0), 1, 32);
    report(w, w.machines.get(1), 20, 64);
    Vm vm = w.arrive("retryable", 2, 2, 1);
    assertThat(vm.attempts.get(0).machine).isSameAs(w.machines.get(1));
  }

  @Example
  void noRoomIsHeldThenDeniedInTime() {
    SchedulerFixture w = calm(1);
    w.machines.get(0).freeMemory = -16;
    Vm vm = w.arrive("retryable", 2, 2, 1);
    assertThat(vm.attempts.isEmpty()).isTrue();
    w.pass(Duration.ofSeconds(3));
    assertThat(vm.isFinished).isFalse();
    w.pass(Duration.ofMillis(1900));
    assertThat(w.denied).isEqualTo(1);
  }

  @Example
  void heldVmGoesAsSoonAsTheListShowsRoom() {
    SchedulerFixture w = calm(1);
    w.machines.get(0).freeMemory = -16;
    Vm vm = w.arrive("retryable", 2, 2, 1);
    w.pass(Duration.ofSeconds(1));
    w.machines.get(0).freeMemory = 20;
    w.list(w.machines.get(0), Lifecycle.LIVE, null);
    w.pass(Duration.ofMillis(50));
    assertThat(vm.attempts.size()).isEqualTo(1);
  }

  @Example
  void oneShotThatMayHaveRunIsErroredAtOnce() {
    SchedulerFixture w = calm(4);
    Vm vm = w.arrive("fragile", 1, 1, 1);
    w.end(vm.attempts.get(0), Outcome.ERROR, OutcomeReason.UNSPECIFIED);
    assertThat(w.errored).isEqualTo(1);
    assertThat(vm.attempts.size()).isEqualTo(1);
  }

  @Example
  void refusedVmGoesElsewhere() {
    SchedulerFixture w = calm(4);
    Vm vm = w.arrive("retryable", 1, 1, 1);
    w.end(vm.attempts.get(0), Outcome.FULL, OutcomeReason.INSUFFICIENT_MEMORY);
    assertThat(vm.attempts.size()).isEqualTo(2);
    assertThat(vm.attempts.get(1).machine).isNotSameAs(vm.attempts.get(0).machine);
  }

  /** Most of a fleet dying at once must not burn the claims of every VM on dead machines. */
  @Example
  void massOutageDoesNotBurnAttempts() {
    SchedulerFixture w = calm(8);
    for (int i = 0; i < 40; i++) {
      w.arrive("retryable", 0.5, 1, i);
      for (PlacementAttempt c : List.copyOf(w.attempts)) {
        if (c.isInFlight() && c.machine != w.machines.get(7)) {
          w.end(c, Outcome.UNREACHABLE, OutcomeReason.UNSPECIFIED);
        }
      }
      w.pass(Duration.ofMillis(20));
    }
    long dead = w.attempts.stream().filter(c -> c.outcome == Outcome.UNREACHABLE).count();
    assertThat(dead < 40).as(dead + " claims burnt").isTrue();
  }

  /** VMs lost without a word tell that their machine is down, before any claim is burnt on it. */
  @Example
  void lostVmsCloseTheirMachine() {
    SchedulerFixture w = calm(2);
    Vm vm = w.arrive("retryable", 1, 1, 1);
    w.bind(vm.attempts.get(0));
    w.end(vm.attempts.get(0), Outcome.RESET, OutcomeReason.UNSPECIFIED);
    Vm next = w.arrive("retryable", 1, 1, 1);
    assertThat(next.attempts.get(0).machine).isNotSameAs(vm.attempts.get(0).machine);
  }

  /** A machine that keeps silent gets no more than a trial while others answer. */
  @Example
  void silentMachineIsLeftAlone() {
    SchedulerFixture w = calm(6);
    Machine silent = w.machines.get(2);
    for (int i = 0; i < 300; i++) {
      w.arrive("retryable", 0.5, 0.5, i);
      for (PlacementAttempt c : List.copyOf(w.attempts)) {
        if (c.isInFlight() && c.machine != silent) {
          if (c.acceptedAt == null) {
            w.bind(c);
          }
          w.end(c, Outcome.DONE, OutcomeReason.UNSPECIFIED);
        }
      }
      w.pass(Duration.ofMillis(20));
    }
    long late =
        w.attempts.stream()
            .filter(c -> c.machine == silent && c.sentAt.compareTo(Duration.ofSeconds(7)) > 0)
            .count();
    assertThat(late <= 5).as(late + " claims to the silent machine").isTrue();
  }

  @Example
  void listIsAskedForAgainAfterAFailure() {
    SchedulerFixture w = new SchedulerFixture(false, "all");
    w.begin(1, 2);
    assertThat(w.subscribed).isTrue();
    w.subscribed = false;
    w.scheduler.machineListFailed();
    w.pass(Duration.ofSeconds(2));
    w.arrive("retryable", 1, 1, 1);
    assertThat(w.subscribed).isTrue();
  }

  /**
   * Hundreds of placers see too few VMs of a service each: they meet by a hash, whatever their own
   * chance says.
   */
  @Example
  void aServiceGoesToTheSameMachinesFromEveryPlacer() {
    SchedulerFixture a = new SchedulerFixture(true, "cell");
    a.begin(1, 40);
    SchedulerFixture b = new SchedulerFixture(true, "cell");
    b.terms.put("position", 0L);
    b.begin(99, 40);
    Set<Long> used = new HashSet<>();
    for (int service = 0; service < 30; service++) {
      long id = a.arrive("retryable", 0.5, 0.5, service).attempts.get(0).machine.id;
      assertThat(b.arrive("retryable", 0.5, 0.5, service).attempts.get(0).machine.id).isEqualTo(id);
      used.add(id);
    }
    assertThat(used.size()).isGreaterThan(10);
  }

  /**
   * A home without regular room comes before another machine that has it: a start without the
   * program is late.
   */
  @Example
  void homesComeBeforeRegularRoomElsewhere() {
    SchedulerFixture w = calm(9);
    Machine home = w.arrive("retryable", 0.5, 0.5, 1).attempts.get(0).machine;
    w.bind(w.attempts.get(0));
    w.end(w.attempts.get(0), Outcome.DONE, OutcomeReason.UNSPECIFIED);
    w.pass(Duration.ofSeconds(9));
    home.freeCores = 0;
    report(w, home, home.cores / 2, home.memory / 2);
    Set<Machine> taken = new HashSet<>();
    for (int i = 0; i < 6; i++) {
      taken.add(w.arrive("retryable", 0.5, 0.5, 1).attempts.get(0).machine);
    }
    assertThat(taken.size()).isLessThanOrEqualTo(3);
  }

  /**
   * Lower flavours fill what use allows first; those above find the rest in time only if it was
   * left.
   */
  @Example
  void priorityClassesUnderTheTopRankLeaveMemoryToIt() {
    SchedulerFixture w = calm(2);
    w.machines.forEach(m -> m.freeMemory = 0);
    report(w, w.machines.get(0), 16, 0.18 * 32);
    report(w, w.machines.get(1), 32, 0.18 * 64);
    assertThat(w.arrive("retryable", 0.5, 0.5, 1).attempts).isEmpty();
    assertThat(w.arrive("fragile", 0.5, 0.5, 1).attempts.get(0).machine)
        .isSameAs(w.machines.get(1));
  }

  /**
   * A few large VMs of a lower flavour fill nothing up; held under the lower threshold they would
   * never start.
   */
  @Example
  void aRareLowerPriorityClassMayFillAsMuchAsTheOthers() {
    SchedulerFixture w = calm(2);
    w.machines.forEach(m -> m.freeMemory = 0);
    report(w, w.machines.get(0), 16, 0.18 * 32);
    report(w, w.machines.get(1), 32, 0.18 * 64);
    for (int i = 0; i < 40; i++) {
      w.arrive("fragile", 99, 99, i);
    }
    assertThat(w.arrive("retryable", 0.5, 0.5, 1).attempts.size()).isEqualTo(1);
  }

  /**
   * An error before the bind closes the machine to that customer's flavour; others are served there
   * as usual.
   */
  @Example
  void anErrorClosesItForThatTenantsPriorityClassOnly() {
    SchedulerFixture w = calm(1);
    w.end(
        w.arrive("retryable", 0.5, 0.5, 1).attempts.get(0),
        Outcome.ERROR,
        OutcomeReason.UNSPECIFIED);
    assertThat(w.arrive("dedup", 0.5, 0.5, 1).attempts.size()).isEqualTo(1);
    w.pass(Duration.ofSeconds(5));
    assertThat(w.arrive("retryable", 0.5, 0.5, 1).attempts).isEmpty();
    w.pass(Duration.ofSeconds(2));
    assertThat(w.vms.get(2).attempts.size()).isEqualTo(1);
  }

  private static SchedulerFixture noting(long placers) {
    SchedulerFixture w = new SchedulerFixture(true, "cell");
    w.terms.put("nInstances", placers);
    w.terms.put("caps.peerMessages", true);
    w.terms.put("prices.peer", 0.01);
    w.begin(1, 2);
    return w;
  }

  @Example
  void aReportIsToldOnceInAWhileAndNotAtAllWhereNotesAreDear() {
    SchedulerFixture w = noting(2);
    report(w, w.machines.get(0), 4, 8);
    w.pass(Duration.ofMillis(100));
    report(w, w.machines.get(0), 4, 8);
    assertThat(w.notes)
        .containsExactly(
            GossipCodec.machineName(100) + GossipCodec.share(0.75) + GossipCodec.share(0.75));
    w.pass(Duration.ofMillis(500));
    report(w, w.machines.get(0), 4, 8);
    assertThat(w.notes.size()).isEqualTo(2);
    SchedulerFixture many = noting(270);
    report(many, many.machines.get(0), 4, 8);
    assertThat(many.notes).isEmpty();
  }

  /**
   * What another placer heard stands like a report of our own, on machines that our list names
   * only.
   */
  @Example
  void aReportHeardFromAnotherPlacerStands() {
    SchedulerFixture w = noting(2);
    w.machines.forEach(m -> m.freeCores = 0);
    w.scheduler.gossipReceived(
        GossipCodec.machineName(100) + GossipCodec.share(1) + GossipCodec.share(0.1));
    w.scheduler.gossipReceived(
        GossipCodec.machineName(101) + GossipCodec.share(0.1) + GossipCodec.share(0.1));
    w.scheduler.gossipReceived(
        GossipCodec.machineName(555) + GossipCodec.share(0) + GossipCodec.share(0));
    w.scheduler.gossipReceived("?");
    w.scheduler.gossipReceived(GossipCodec.machineName(100) + " ");
    w.scheduler.gossipReceived(GossipCodec.machineName(100) + "\u2022");
    w.scheduler.gossipReceived(GossipCodec.machineName(100) + "\u2022\u2022");
    assertThat(w.arrive("retryable", 2, 2, 1).attempts.get(0).machine).isSameAs(w.machines.get(1));
    assertThat(w.notes).isEmpty();
  }

  @Example
  void noAnswerHeardOfShutsTheMachineForAWhile() {
    SchedulerFixture w = noting(2);
    w.scheduler.gossipReceived(GossipCodec.machineName(100));
    w.scheduler.gossipReceived(GossipCodec.machineName(101));
    Vm vm = w.arrive("retryable", 2, 2, 1);
    assertThat(vm.attempts).isEmpty();
    w.pass(Duration.ofMillis(1200));
    assertThat(vm.attempts.size()).isEqualTo(1);
  }

  /**
   * The third of the flavours by name is "retryable"; without customers they are numbered by that
   * alone.
   */
  @Example
  void turnedAwayElsewhereIsTurnedAwayHere() {
    SchedulerFixture w = noting(2);
    w.scheduler.gossipReceived(GossipCodec.machineName(100) + GossipCodec.digit(2));
    w.scheduler.gossipReceived(GossipCodec.machineName(101) + GossipCodec.digit(2));
    assertThat(w.arrive("retryable", 1, 1, 1).attempts).isEmpty();
    assertThat(w.arrive("dedup", 1, 1, 1).attempts.size()).isEqualTo(1);
    w.end(w.attempts.get(0), Outcome.FULL, OutcomeReason.UNSPECIFIED);
    assertThat(w.notes)
        .contains(GossipCodec.machineName(w.attempts.get(0).machine.id) + GossipCodec.digit(0));
  }

  /**
   * Were all placers to probe from the first of the list on, the same few machines would ever
   * report.
   */
  @Example
  void placersProbeFromDifferentPlaces() {
    Set<String> first = new HashSet<>();
    for (int seed = 0; seed < 20; seed++) {
      SchedulerFixture w = new SchedulerFixture(true, "cell");
      w.begin(seed, 20);
      w.arrive("retryable", 0.5, 0.5, 1);
      w.pass(Duration.ofMillis(300));
      w.arrive("retryable", 0.5, 0.5, 1);
      w.acts.stream()
          .filter(a -> a.contains("probe"))
          .findFirst()
          .ifPresent(a -> first.add(a.split(" ")[2]));
    }
    assertThat(first.size()).isGreaterThan(4);
  }

  /**
   * The rule gives four times as long after a failed ask: a list out of reach for 25 s must not
   * stop placing.
   */
  @Example
  void aListOutOfReachIsTrustedForAsLongAsTheRuleAllows() {
    SchedulerFixture w = new SchedulerFixture(false, "all");
    w.begin(1, 2);
    w.scheduler.machineListFailed();
    w.pass(Duration.ofSeconds(30));
    assertThat(w.arrive("retryable", 1, 1, 1).attempts.size()).isEqualTo(1);
    w.pass(Duration.ofSeconds(11));
    assertThat(w.arrive("retryable", 1, 1, 1).attempts).isEmpty();
  }

  /**
   * Held in the order of arrival, an overload makes every start late; the late ones wait behind the
   * others.
   */
  @Example
  void aVmThatIsLateAnywayIsHeldBehindOthersOfItsRank() {
    SchedulerFixture w = calm(1);
    Machine m = w.machines.get(0);
    m.freeMemory = -16;
    report(w, m, 16, 20);
    Vm late = w.arrive("retryable", 1, 1, 1);
    w.pass(Duration.ofMillis(590));
    Vm fresh = w.arrive("retryable", 1, 1, 1);
    m.freeMemory = -15;
    w.list(m, Lifecycle.LIVE, null);
    w.pass(Duration.ofMillis(200));
    assertThat(fresh.attempts.size()).isEqualTo(1);
    assertThat(late.attempts).isEmpty();
    m.freeMemory = -14;
    w.list(m, Lifecycle.LIVE, null);
    w.pass(Duration.ofMillis(200));
    assertThat(late.attempts.size()).isEqualTo(1);
  }

  /**
   * All claims spent within milliseconds fall on the same late list; the last one waits for news.
   */
  @Example
  void theLastAttemptWaitsAfterARefusal() {
    SchedulerFixture w = calm(8);
    Vm vm = w.arrive("retryable", 1, 1, 1);
    w.end(vm.attempts.get(0), Outcome.FULL, OutcomeReason.INSUFFICIENT_MEMORY);
    w.end(vm.attempts.get(1), Outcome.FULL, OutcomeReason.INSUFFICIENT_MEMORY);
    assertThat(vm.attempts.size()).isEqualTo(2);
    assertThat(vm.isFinished).isFalse();
    w.pass(Duration.ofMillis(800));
    assertThat(vm.attempts.size()).isEqualTo(3);
    w.end(vm.attempts.get(2), Outcome.FULL, OutcomeReason.INSUFFICIENT_MEMORY);
    assertThat(w.denied).isEqualTo(1);
  }

  /**
   * A report without cores or memory would be told as an empty machine, one of long ago as one of
   * now.
   */
  @Example
  void onlyANewAndWholeReportIsTold() {
    SchedulerFixture w = noting(2);
    report(w, w.machines.get(0), Double.NaN, 8);
    assertThat(w.notes).isEmpty();
    report(w, w.machines.get(0), 4, 8);
    w.pass(Duration.ofSeconds(2));
    w.scheduler.loadReported(w.machines.get(0));
    assertThat(w.notes.size()).isEqualTo(1);
  }

  /** What is told of one customer must not keep the machine's next report from being told. */
  @Example
  void tellingWhoIsTurnedAwayKeepsNoReportBack() {
    SchedulerFixture w = noting(2);
    Vm vm = w.arrive("retryable", 1, 1, 1);
    Machine m = vm.attempts.get(0).machine;
    w.end(vm.attempts.get(0), Outcome.ERROR, OutcomeReason.UNSPECIFIED);
    report(w, m, 4, 8);
    assertThat(w.notes.size()).isEqualTo(2);
  }

  /** Three machines of one name in notes: none of them may be taken for another. */
  @Example
  void machinesOfOneNameInNotesAreNotSpokenOf() {
    SchedulerFixture w = noting(2);
    java.util.Map<String, List<Long>> ids = new java.util.HashMap<>();
    List<Long> alike = null;
    for (long id = 1000; alike == null; id++) {
      List<Long> same =
          ids.computeIfAbsent(GossipCodec.machineName(id), n -> new java.util.ArrayList<>());
      same.add(id);
      alike = same.size() == 3 ? same : null;
    }
    w.scheduler.machineListStarted(false, false);
    List<Machine> three = alike.stream().map(Machine::new).toList();
    three.forEach(m -> w.scheduler.machineListed(m, Lifecycle.LIVE, null));
    w.scheduler.machineListCompleted();
    w.scheduler.gossipReceived(
        GossipCodec.machineName(alike.get(0)) + GossipCodec.share(1) + GossipCodec.share(1));
    assertThat(three).allMatch(m -> m.reportedAt == null);
  }

  /**
   * Where owners may not be told when to come back, a denial says nothing of it, and comes no later
   * for that.
   */
  @Example
  void aDenialGivesAdviceOnlyWhereItMay() {
    SchedulerFixture with = calm(1);
    SchedulerFixture without = new SchedulerFixture(true, "cell");
    without.terms.put("caps.retryAfter", false);
    without.begin(1, 1);
    for (SchedulerFixture w : List.of(with, without)) {
      w.arrive("retryable", 99, 99, 1);
      w.pass(Duration.ofMillis(4900));
    }
    assertThat(with.advice).containsExactly(Duration.ofMillis(600));
    assertThat(without.advice).containsExactly(Duration.ZERO);
    assertThat(without.acts.get(without.acts.size() - 1))
        .isEqualTo(with.acts.get(with.acts.size() - 1));
  }
}
