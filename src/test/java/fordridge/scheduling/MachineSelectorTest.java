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
   * The kind that some class requires is spared by others, but not until the other machines are
   * fuller.
   */
  @Example
  void requiredKindsAreSparedWhileTheOthersAreNoFuller() {
    SchedulerFixture fixture = SchedulerFixture.started(2);
    fixture.reportLoad(fixture.machines.get(0), 12, 24);
    fixture.reportLoad(fixture.machines.get(1), 12, 24);
    assertThat(fixture.request("retryable", 0.5, 0.5, 1).attempts.get(0).machine)
        .isSameAs(fixture.machines.get(0));
    fixture.reportLoad(fixture.machines.get(0), 3, 24);
    fixture.reportLoad(fixture.machines.get(1), 24, 48);
    Set<Machine> taken = new HashSet<>();
    for (int service = 2; service < 10; service++) {
      taken.add(fixture.request("retryable", 0.5, 0.5, service).attempts.get(0).machine);
    }
    assertThat(taken).contains(fixture.machines.get(1));
  }

  /**
   * With many schedulers, machines that came up together must not all be one scheduler's turn at
   * once.
   */
  @Example
  void turnsInSlowStartDifferBetweenMachines() {
    SchedulerFixture fixture = new SchedulerFixture(true, "cell");
    fixture.values.put("nInstances", 20L);
    fixture.begin(1, 40);
    fixture.machines.forEach(m -> fixture.listMachine(m, Lifecycle.LIVE, fixture.now));
    for (int i = 0; i < 90; i++) {
      fixture.request("retryable", 0.5, 0.5, i);
      fixture.advance(Duration.ofMillis(100));
    }
    long seconds = fixture.attempts.stream().map(c -> c.sentAt.toSeconds()).distinct().count();
    assertThat(seconds).isGreaterThan(4);
  }

  /** Many schedulers see few VMs of a service each: they meet by a hash, whatever their seeds. */
  @Example
  void serviceGoesToTheSameMachinesFromEveryScheduler() {
    SchedulerFixture a = new SchedulerFixture(true, "cell");
    a.begin(1, 40);
    SchedulerFixture b = new SchedulerFixture(true, "cell");
    b.values.put("position", 0L);
    b.begin(99, 40);
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
   * A preferred machine without regular capacity comes before another that has it: a cold start is
   * late.
   */
  @Example
  void preferredMachinesComeBeforeRegularCapacityElsewhere() {
    SchedulerFixture fixture = SchedulerFixture.started(9);
    Machine home = fixture.request("retryable", 0.5, 0.5, 1).attempts.get(0).machine;
    fixture.accept(fixture.attempts.get(0));
    fixture.end(fixture.attempts.get(0), Outcome.DONE, OutcomeReason.UNSPECIFIED);
    fixture.advance(Duration.ofSeconds(9));
    home.freeCores = 0;
    fixture.reportLoad(home, home.cores / 2, home.memory / 2);
    Set<Machine> taken = new HashSet<>();
    for (int i = 0; i < 6; i++) {
      taken.add(fixture.request("retryable", 0.5, 0.5, 1).attempts.get(0).machine);
    }
    assertThat(taken.size()).isLessThanOrEqualTo(3);
  }
}
