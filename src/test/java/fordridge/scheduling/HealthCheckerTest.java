package fordridge.scheduling;

import static org.assertj.core.api.Assertions.assertThat;

import fordridge.model.GossipCodec;
import fordridge.model.Machine;
import fordridge.model.Machine.Lifecycle;
import fordridge.model.PlacementAttempt.Outcome;
import fordridge.model.PlacementAttempt.OutcomeReason;
import fordridge.model.Vm;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import net.jqwik.api.Example;

/** Probes and gossip. */
class HealthCheckerTest {
  @Example
  void reportIsGossipedOnceAnIntervalAndNeverWhereGossipIsDear() {
    SchedulerFixture fixture = SchedulerFixture.gossiping(2);
    fixture.reportLoad(fixture.machines.get(0), 4, 8);
    fixture.advance(Duration.ofMillis(100));
    fixture.reportLoad(fixture.machines.get(0), 4, 8);
    assertThat(fixture.gossip)
        .containsExactly(
            GossipCodec.machineName(100) + GossipCodec.share(0.75) + GossipCodec.share(0.75));
    fixture.advance(Duration.ofMillis(500));
    fixture.reportLoad(fixture.machines.get(0), 4, 8);
    assertThat(fixture.gossip.size()).isEqualTo(2);
    SchedulerFixture many = SchedulerFixture.gossiping(270);
    many.reportLoad(many.machines.get(0), 4, 8);
    assertThat(many.gossip).isEmpty();
  }

  /** A report of another scheduler counts like our own, on machines that our list names only. */
  @Example
  void gossipedReportCountsLikeOurOwn() {
    SchedulerFixture fixture = SchedulerFixture.gossiping(2);
    fixture.machines.forEach(m -> m.freeCores = 0);
    fixture.scheduler.gossipReceived(
        GossipCodec.machineName(100) + GossipCodec.share(1) + GossipCodec.share(0.1));
    fixture.scheduler.gossipReceived(
        GossipCodec.machineName(101) + GossipCodec.share(0.1) + GossipCodec.share(0.1));
    fixture.scheduler.gossipReceived(
        GossipCodec.machineName(555) + GossipCodec.share(0) + GossipCodec.share(0));
    fixture.scheduler.gossipReceived("?");
    fixture.scheduler.gossipReceived(GossipCodec.machineName(100) + " ");
    fixture.scheduler.gossipReceived(GossipCodec.machineName(100) + "\u2022");
    fixture.scheduler.gossipReceived(GossipCodec.machineName(100) + "\u2022\u2022");
    assertThat(fixture.request("retryable", 2, 2, 1).attempts.get(0).machine)
        .isSameAs(fixture.machines.get(1));
    assertThat(fixture.gossip).isEmpty();
  }

  @Example
  void machineGossipedAsUnreachableIsEjectedForAWhile() {
    SchedulerFixture fixture = SchedulerFixture.gossiping(2);
    fixture.scheduler.gossipReceived(GossipCodec.machineName(100));
    fixture.scheduler.gossipReceived(GossipCodec.machineName(101));
    Vm vm = fixture.request("retryable", 2, 2, 1);
    assertThat(vm.attempts).isEmpty();
    fixture.advance(Duration.ofMillis(1200));
    assertThat(vm.attempts.size()).isEqualTo(1);
  }

  /** The third of the classes by name is "retryable"; without tenants they are numbered by name. */
  @Example
  void gossipedRejectionBacksOffHere() {
    SchedulerFixture fixture = SchedulerFixture.gossiping(2);
    fixture.scheduler.gossipReceived(GossipCodec.machineName(100) + GossipCodec.digit(2));
    fixture.scheduler.gossipReceived(GossipCodec.machineName(101) + GossipCodec.digit(2));
    assertThat(fixture.request("retryable", 1, 1, 1).attempts).isEmpty();
    assertThat(fixture.request("dedup", 1, 1, 1).attempts.size()).isEqualTo(1);
    fixture.end(fixture.attempts.get(0), Outcome.FULL, OutcomeReason.UNSPECIFIED);
    assertThat(fixture.gossip)
        .contains(
            GossipCodec.machineName(fixture.attempts.get(0).machine.id) + GossipCodec.digit(0));
  }

  /**
   * Were all schedulers to probe from the first of the list on, the same few machines would report.
   */
  @Example
  void schedulersProbeFromDifferentMachines() {
    Set<String> first = new HashSet<>();
    for (int seed = 0; seed < 20; seed++) {
      SchedulerFixture fixture = new SchedulerFixture(true, "cell");
      fixture.begin(seed, 20);
      fixture.request("retryable", 0.5, 0.5, 1);
      fixture.advance(Duration.ofMillis(300));
      fixture.request("retryable", 0.5, 0.5, 1);
      fixture.actions.stream()
          .filter(a -> a.contains("probe"))
          .findFirst()
          .ifPresent(a -> first.add(a.substring(a.lastIndexOf(' '))));
    }
    assertThat(first.size()).isGreaterThan(4);
  }

  /** A report without cores or memory would be gossiped as an empty machine, an old one as new. */
  @Example
  void onlyNewAndCompleteReportsAreGossiped() {
    SchedulerFixture fixture = SchedulerFixture.gossiping(2);
    fixture.reportLoad(fixture.machines.get(0), Double.NaN, 8);
    assertThat(fixture.gossip).isEmpty();
    fixture.reportLoad(fixture.machines.get(0), 4, 8);
    fixture.advance(Duration.ofSeconds(2));
    fixture.scheduler.loadReported(fixture.machines.get(0));
    assertThat(fixture.gossip.size()).isEqualTo(1);
  }

  /** Gossip of a rejection must not keep the machine's next report from being gossiped. */
  @Example
  void gossipOfARejectionKeepsNoReportBack() {
    SchedulerFixture fixture = SchedulerFixture.gossiping(2);
    Vm vm = fixture.request("retryable", 1, 1, 1);
    Machine m = vm.attempts.get(0).machine;
    fixture.end(vm.attempts.get(0), Outcome.ERROR, OutcomeReason.UNSPECIFIED);
    fixture.reportLoad(m, 4, 8);
    assertThat(fixture.gossip.size()).isEqualTo(2);
  }

  /** Three machines with one short name: none of them may be taken for another. */
  @Example
  void gossipOnMachinesThatShareAShortNameIsIgnored() {
    SchedulerFixture fixture = SchedulerFixture.gossiping(2);
    Map<String, List<Long>> ids = new HashMap<>();
    List<Long> alike = null;
    for (long id = 1000; alike == null; id++) {
      List<Long> same = ids.computeIfAbsent(GossipCodec.machineName(id), n -> new ArrayList<>());
      same.add(id);
      alike = same.size() == 3 ? same : null;
    }
    fixture.scheduler.machineListStarted(false, false);
    List<Machine> three = alike.stream().map(Machine::new).toList();
    three.forEach(m -> fixture.scheduler.machineListed(m, Lifecycle.LIVE, null));
    fixture.scheduler.machineListCompleted();
    fixture.scheduler.gossipReceived(
        GossipCodec.machineName(alike.get(0)) + GossipCodec.share(1) + GossipCodec.share(1));
    assertThat(three).allMatch(m -> m.reportedAt == null);
  }
}
