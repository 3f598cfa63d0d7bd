package fordridge.scheduling;

import static org.assertj.core.api.Assertions.assertThat;

import fordridge.model.Machine;
import fordridge.model.PlacementAttempt.Outcome;
import fordridge.model.PlacementAttempt.OutcomeReason;
import fordridge.model.Vm;
import java.time.Duration;
import net.jqwik.api.Example;

/**
 * No decision is made while there is unread input; the waiting decisions are made once it is read.
 */
class UnreadInputTest {
  private final SchedulerFixture fixture = SchedulerFixture.started(4);

  @Example
  void requestWaitsUntilInputIsRead() {
    fixture.isAllInputRead = false;
    Vm vm = fixture.request("retryable", 1, 1, 1);
    assertThat(vm.attempts).isEmpty();

    fixture.isAllInputRead = true;
    fixture.scheduler.allInputRead();

    assertThat(vm.attempts).hasSize(1);
  }

  @Example
  void vmsAdoptedMeanwhileCountForTheSpreadLimit() {
    fixture.isAllInputRead = false;
    Vm vm = fixture.request("fragile", 1, 1, 1);
    for (Machine machine : fixture.machines) {
      adoptVm(machine);
      adoptVm(machine);
    }

    fixture.isAllInputRead = true;
    fixture.scheduler.allInputRead();

    assertThat(vm.attempts).isEmpty();
  }

  private void adoptVm(Machine machine) {
    Vm vm = new Vm("adopted" + machine.id + machine.hostedAttempts.size());
    vm.priorityClass = "fragile";
    vm.cores = 1;
    vm.memory = 1;
    vm.service = 1;
    fixture.scheduler.vmAdopted(vm, machine);
  }

  @Example
  void pendingVmIsNotTriedOnUnreadInput() {
    fixture.machines.forEach(machine -> machine.freeMemory = -100);
    Vm vm = fixture.request("retryable", 1, 1, 1);
    fixture.machines.forEach(machine -> machine.freeMemory = 30);
    fixture.isAllInputRead = false;
    fixture.advance(Duration.ofMillis(300));
    fixture.scheduler.loadReported(fixture.machines.get(0));
    assertThat(vm.attempts).isEmpty();

    fixture.isAllInputRead = true;
    fixture.scheduler.allInputRead();

    assertThat(vm.attempts).hasSize(1);
  }

  /**
   * Guards against excluding the machine of an attempt that was not sent: here it is the only
   * machine.
   */
  @Example
  void unsentAttemptDoesNotExcludeItsMachine() {
    SchedulerFixture single = SchedulerFixture.started(1);
    Vm vm = single.request("retryable", 1, 1, 1);
    int maxAttempts = 3;
    for (int i = 0; i < 2 * maxAttempts; i++) {
      int attempts = vm.attempts.size();
      single.end(vm.lastAttempt(), Outcome.NOT_SENT, OutcomeReason.UNSPECIFIED);
      assertThat(i > 0 || vm.attempts.size() == 1).as("not tried again at once").isTrue();
      single.advance(Duration.ofMillis(250));
      assertThat(vm.attempts).as("unsent attempts are not limited").hasSizeGreaterThan(attempts);
    }
    assertThat(vm.isFinished).isFalse();
  }
}
