package fordridge.scheduling;

import static org.assertj.core.api.Assertions.assertThat;

import fordridge.model.Machine;
import fordridge.model.Machine.Lifecycle;
import fordridge.model.PlacementAttempt.Outcome;
import fordridge.model.PlacementAttempt.OutcomeReason;
import java.time.Duration;
import java.util.HashSet;
import java.util.Set;
import net.jqwik.api.Example;

/** Preferences among machines with capacity. */
class MachineSelectorTest {
  /**
   * Classes that do not require a kind leave its machines to those that do, unless the other
   * machines are fuller.
   */
  @Example
  void requiredKindsAreAvoidedUnlessOtherMachinesAreFuller() {
    SchedulerFixture fixture = SchedulerFixture.started(2);
    fixture.reportLoad(fixture.machines.get(0), 12, 24);
    fixture.reportLoad(fixture.machines.get(1), 12, 24);
    assertThat(fixture.request("retryable", 0.5, 0.5, 1).attempts.get(0).machine)
        .isSameAs(fixture.machines.get(0));
    fixture.reportLoad(fixture.machines.get(0), 3, 24);
    fixture.reportLoad(fixture.machines.get(1), 24, 48);
    Set<Machine> chosen = new HashSet<>();
    for (int service = 2; service < 10; service++) {
      chosen.add(fixture.request("retryable", 0.5, 0.5, service).attempts.get(0).machine);
    }
    assertThat(chosen).contains(fixture.machines.get(1));
  }

  /**
   * Guards against a scheduler's turn coming at the same time at all machines that started
   * together.
   */
  @Example
  void turnsInSlowStartDifferBetweenMachines() {
    SchedulerFixture fixture = new SchedulerFixture(true, "cell");
    fixture.values.put("nInstances", 20L);
    fixture.start(1, 40);
    fixture.machines.forEach(m -> fixture.listMachine(m, Lifecycle.LIVE, fixture.now));
    for (int i = 0; i < 90; i++) {
      fixture.request("retryable", 0.5, 0.5, i);
      fixture.advance(Duration.ofMillis(100));
    }
    long seconds =
        fixture.attempts.stream().map(attempt -> attempt.sentAt.toSeconds()).distinct().count();
    assertThat(seconds).isGreaterThan(4);
  }

  /**
   * Each of many schedulers sees few VMs of a service; a hash leads all of them to the same
   * machines, whatever their seeds.
   */
  @Example
  void serviceGoesToTheSameMachinesFromEveryScheduler() {
    SchedulerFixture a = new SchedulerFixture(true, "cell");
    a.start(1, 40);
    SchedulerFixture b = new SchedulerFixture(true, "cell");
    b.values.put("position", 0L);
    b.start(99, 40);
    Set<Long> used = new HashSet<>();
    for (int service = 0; service < 30; service++) {
      long id = a.request("retryable", 0.5, 0.5, service).attempts.get(0).machine.id;
      assertThat(b.request("retryable", 0.5, 0.5, service).attempts.get(0).machine.id)
          .isEqualTo(id);
      used.add(id);
    }
    assertThat(used.size()).isGreaterThan(10);
  }

  /**
   * A preferred machine without regular capacity comes before other machines that have it, as a
   * cold start elsewhere would be late.
   */
  @Example
  void preferredMachinesComeBeforeRegularCapacityElsewhere() {
    SchedulerFixture fixture = SchedulerFixture.started(9);
    Machine warmMachine = fixture.request("retryable", 0.5, 0.5, 1).attempts.get(0).machine;
    fixture.accept(fixture.attempts.get(0));
    fixture.end(fixture.attempts.get(0), Outcome.DONE, OutcomeReason.UNSPECIFIED);
    fixture.advance(Duration.ofSeconds(9));
    warmMachine.freeCores = 0;
    fixture.reportLoad(warmMachine, warmMachine.cores / 2, warmMachine.memory / 2);
    Set<Machine> chosen = new HashSet<>();
    for (int i = 0; i < 6; i++) {
      chosen.add(fixture.request("retryable", 0.5, 0.5, 1).attempts.get(0).machine);
    }
    assertThat(chosen.size()).isLessThanOrEqualTo(3);
  }
}
