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
  void reportIsGossipedOncePerIntervalUnlessGossipCostsTooMuch() {
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
    SchedulerFixture manySchedulers = SchedulerFixture.gossiping(270);
    manySchedulers.reportLoad(manySchedulers.machines.get(0), 4, 8);
    assertThat(manySchedulers.gossip).isEmpty();
  }

  /**
   * Reports gossiped by other schedulers are used; those about machines that are not in the list,
   * and malformed ones, are ignored.
   */
  @Example
  void gossipedReportIsUsedLikeAReceivedOne() {
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
  void machineGossipedAsUnreachableIsEjectedTemporarily() {
    SchedulerFixture fixture = SchedulerFixture.gossiping(2);
    fixture.scheduler.gossipReceived(GossipCodec.machineName(100));
    fixture.scheduler.gossipReceived(GossipCodec.machineName(101));
    Vm vm = fixture.request("retryable", 2, 2, 1);
    assertThat(vm.attempts).isEmpty();
    fixture.advance(Duration.ofMillis(1200));
    assertThat(vm.attempts.size()).isEqualTo(1);
  }

  /**
   * Without tenants, tenant classes are numbered by the name of the class; "retryable" is the
   * third.
   */
  @Example
  void gossipedRejectionStartsABackoff() {
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
   * Guards against all schedulers probing the first machines of the list, so that only these
   * report.
   */
  @Example
  void schedulersProbeFromDifferentMachines() {
    Set<String> first = new HashSet<>();
    for (int seed = 0; seed < 20; seed++) {
      SchedulerFixture fixture = new SchedulerFixture(true, "cell");
      fixture.start(seed, 20);
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

  /**
   * Guards against gossiping an incomplete report, which would show an empty machine, or an old
   * report as a new one.
   */
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

  /**
   * Guards against gossip of a rejection counting as a gossiped report, which would suppress the
   * machine's next report.
   */
  @Example
  void gossipOfARejectionDoesNotSuppressTheNextReport() {
    SchedulerFixture fixture = SchedulerFixture.gossiping(2);
    Vm vm = fixture.request("retryable", 1, 1, 1);
    Machine m = vm.attempts.get(0).machine;
    fixture.end(vm.attempts.get(0), Outcome.ERROR, OutcomeReason.UNSPECIFIED);
    fixture.reportLoad(m, 4, 8);
    assertThat(fixture.gossip.size()).isEqualTo(2);
  }

  /**
   * Guards against confusing machines: the short name is a hash, and three machines share one here.
   */
  @Example
  void gossipOnMachinesThatShareAShortNameIsIgnored() {
    SchedulerFixture fixture = SchedulerFixture.gossiping(2);
    Map<String, List<Long>> ids = new HashMap<>();
    List<Long> idsOfOneName = null;
    for (long id = 1000; idsOfOneName == null; id++) {
      List<Long> same = ids.computeIfAbsent(GossipCodec.machineName(id), n -> new ArrayList<>());
      same.add(id);
      idsOfOneName = same.size() == 3 ? same : null;
    }
    fixture.scheduler.machineListStarted(false, false);
    List<Machine> machinesOfOneName = idsOfOneName.stream().map(Machine::new).toList();
    machinesOfOneName.forEach(m -> fixture.scheduler.machineListed(m, Lifecycle.LIVE, null));
    fixture.scheduler.machineListCompleted();
    fixture.scheduler.gossipReceived(
        GossipCodec.machineName(idsOfOneName.get(0)) + GossipCodec.share(1) + GossipCodec.share(1));
    assertThat(machinesOfOneName).allMatch(m -> m.reportedAt == null);
  }
}
