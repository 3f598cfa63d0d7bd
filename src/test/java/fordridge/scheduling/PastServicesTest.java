package fordridge.scheduling;

import static org.assertj.core.api.Assertions.assertThat;

import fordridge.model.Machine;
import fordridge.model.PlacementAttempt.Outcome;
import fordridge.model.PlacementAttempt.OutcomeReason;
import fordridge.model.Vm;
import java.time.Duration;
import net.jqwik.api.Example;

/** A machine remembers the services of ended VMs for as long as a start there may be warm. */
class PastServicesTest {
  private static final int SERVICES = 20_000;

  private final SchedulerFixture fixture = SchedulerFixture.started(2);
  private final Machine machine = fixture.machines.get(1);

  private void runAndEnd(long service) {
    Vm vm = new Vm("vm" + service);
    vm.priorityClass = "fragile";
    vm.cores = 1;
    vm.memory = 1;
    vm.service = service;
    fixture.scheduler.vmAdopted(vm, machine);
    fixture.end(vm.acceptedAttempt, Outcome.DONE, OutcomeReason.UNSPECIFIED);
  }

  private void advance(Duration span) {
    fixture.now = fixture.now.plus(span);
    fixture.scheduler.advanceTo(fixture.now);
  }

  /** Guards against memory that grows with every service that a client has named. */
  @Example
  void pastServicesAreForgottenAfterTheDetectionTimeout() {
    Duration timeout = fixture.settings().detectionTimeout();
    for (int i = 0; i < SERVICES; i++) {
      runAndEnd(i);
      advance(timeout.dividedBy(100));
    }
    assertThat(machine.hostedServices).hasSizeLessThanOrEqualTo(101);
  }

  /** Guards against the same within the timeout, by services at full speed. */
  @Example
  void pastServicesOfOneMomentAreBounded() {
    for (int i = 0; i < SERVICES; i++) {
      runAndEnd(i);
    }
    assertThat(machine.hostedServices).hasSizeLessThan(10_000).containsKey(SERVICES - 1L);
  }

  @Example
  void serviceThatIsHostedAgainIsRemembered() {
    Duration timeout = fixture.settings().detectionTimeout();
    runAndEnd(1);
    advance(timeout.dividedBy(2));
    runAndEnd(1);
    advance(timeout.dividedBy(2));
    runAndEnd(2);
    assertThat(machine.hostedServices).containsKeys(1L, 2L);
    advance(timeout);
    runAndEnd(3);
    assertThat(machine.hostedServices).containsOnlyKeys(3L);
  }
}
