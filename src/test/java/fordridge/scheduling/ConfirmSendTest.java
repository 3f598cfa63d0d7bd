package fordridge.scheduling;

import static org.assertj.core.api.Assertions.assertThat;

import fordridge.model.Machine;
import fordridge.model.Machine.Lifecycle;
import fordridge.model.PlacementAttempt;
import fordridge.model.PlacementAttempt.Outcome;
import fordridge.model.PlacementAttempt.OutcomeReason;
import fordridge.model.Vm;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import net.jqwik.api.Example;

/**
 * Tests, one per reason, that an attempt that was decided earlier is not sent if its sending has
 * become forbidden since. The VM's priority class is limited to two VMs of a service per machine,
 * and to one kind of machine, of which there is one machine.
 */
class ConfirmSendTest {
  private static final long SERVICE = 7;

  private final SchedulerFixture fixture = SchedulerFixture.started(2);
  private final Machine machine = fixture.machines.get(1);
  private Duration ejectedUntil = Duration.ZERO;
  private final PlacementAttempt unsentAttempt = requestVm("fragile");

  private PlacementAttempt requestVm(String priorityClass) {
    Vm vm = fixture.request(priorityClass, 1, 1, SERVICE);
    assertThat(vm.attempts).hasSize(1);
    return vm.lastAttempt();
  }

  private Vm adoptVm(long service) {
    Vm vm = new Vm("adopted" + fixture.vms.size() + service);
    vm.priorityClass = "fragile";
    vm.cores = 1;
    vm.memory = 1;
    vm.service = service;
    fixture.scheduler.vmAdopted(vm, machine);
    return vm;
  }

  private Optional<NotSentReason> confirmSend() {
    machine.ejectedUntil = ejectedUntil;
    fixture.scheduler.advanceTo(fixture.now);
    return fixture.scheduler.confirmSend(unsentAttempt);
  }

  @Example
  void attemptIsSentIfNothingForbidsIt() {
    adoptVm(SERVICE + 1);
    adoptVm(SERVICE);
    fixture.now = fixture.now.plusMillis(500);
    assertThat(unsentAttempt.machine).isSameAs(machine);
    assertThat(confirmSend()).isEmpty();
  }

  @Example
  void adoptedVmsReachTheSpreadLimit() {
    adoptVm(SERVICE);
    adoptVm(SERVICE);
    assertThat(confirmSend()).contains(NotSentReason.SPREAD_LIMIT);
  }

  @Example
  void endedVmNoLongerCountsForTheSpreadLimit() {
    Vm ended = adoptVm(SERVICE);
    adoptVm(SERVICE);
    fixture.end(ended.acceptedAttempt, Outcome.DONE, OutcomeReason.UNSPECIFIED);
    assertThat(confirmSend()).isEmpty();
  }

  @Example
  void adoptedVmAndAttemptInFlightReachTheSpreadLimit() {
    requestVm("fragile");
    adoptVm(SERVICE);
    assertThat(confirmSend()).contains(NotSentReason.SPREAD_LIMIT);
  }

  @Example
  void attemptWithBrokenConnectionCountsForTheSpreadLimit() {
    adoptVm(SERVICE);
    PlacementAttempt broken = adoptSecondVmOfService();
    broken.mayStillRun = true;
    fixture.end(broken, Outcome.RESET, OutcomeReason.UNSPECIFIED);
    assertThat(confirmSend())
        .as("an attempt whose connection broke may still run")
        .contains(NotSentReason.SPREAD_LIMIT);

    fixture.scheduler.vmEndConfirmed(broken.vm.id, machine);
    assertThat(confirmSend()).as("its machine has confirmed that the VM does not run").isEmpty();
  }

  /** Adopts another VM of the service on the same machine, where its limit is two. */
  private PlacementAttempt adoptSecondVmOfService() {
    Vm vm = new Vm("broken");
    vm.priorityClass = "fragile";
    vm.cores = 1;
    vm.memory = 1;
    vm.service = SERVICE;
    fixture.scheduler.vmAdopted(vm, machine);
    return vm.acceptedAttempt;
  }

  @Example
  void lostVmDoesNotCountAfterARestartOfItsMachine() {
    PlacementAttempt lost = adoptSecondVmOfService();
    lost.mayStillRun = true;
    fixture.end(lost, Outcome.RESET, OutcomeReason.UNSPECIFIED);
    fixture.now = fixture.now.plusSeconds(30);
    fixture.scheduler.advanceTo(fixture.now);
    fixture.listMachine(machine, Lifecycle.LIVE, fixture.now.minusSeconds(20));
    assertThat(fixture.request("fragile", 1, 1, SERVICE).attempts).hasSize(1);
  }

  @Example
  void clientHasLeft() {
    fixture.finished.add(unsentAttempt.vm);
    fixture.scheduler.requestAbandoned(unsentAttempt.vm);
    assertThat(confirmSend()).contains(NotSentReason.CLIENT_LEFT);
  }

  @Example
  void deadlineHasPassed() {
    fixture.now = unsentAttempt.vm.deadline;
    assertThat(confirmSend()).contains(NotSentReason.DEADLINE_PASSED);
  }

  @Example
  void machineIsDrainingOrGone() {
    fixture.listMachine(machine, Lifecycle.DRAINING, null);
    assertThat(confirmSend()).contains(NotSentReason.MACHINE_NOT_LIVE);
    fixture.listMachine(machine, Lifecycle.GONE, null);
    assertThat(confirmSend()).contains(NotSentReason.MACHINE_NOT_LIVE);
  }

  @Example
  void machineIsOfAnotherKind() {
    machine.kind = "small";
    fixture.listMachine(machine, Lifecycle.LIVE, null);
    assertThat(confirmSend()).contains(NotSentReason.KIND_NOT_ALLOWED);
  }

  @Example
  void machineWasEjected() {
    ejectedUntil = fixture.now.plusSeconds(1);
    assertThat(confirmSend()).contains(NotSentReason.MACHINE_EJECTED);
  }

  @Example
  void spreadLimitWasLoweredByAReload() {
    adoptVm(SERVICE);
    assertThat(confirmSend()).isEmpty();
    fixture.changeSetting("extra.classMost", List.of(9L, 3L, 1L));
    assertThat(confirmSend()).contains(NotSentReason.SPREAD_LIMIT);
  }

  @Example
  void theShutdownHasBegun() {
    fixture.scheduler.shutdownStarted();
    assertThat(confirmSend()).contains(NotSentReason.SHUTDOWN);
  }

  @Example
  void slowStartQuotaOfRestartedMachineIsUsedUp() {
    fixture.now = fixture.now.plusSeconds(2);
    fixture.scheduler.advanceTo(fixture.now);
    fixture.listMachine(machine, Lifecycle.LIVE, fixture.now.minusMillis(10));
    int sent = 0;
    while (sent < 20 && fixture.request("fragile", 1, 1, 100 + sent).attempts.size() == 1) {
      sent++;
    }
    assertThat(sent).as("attempts within the quota").isBetween(1, 19);
    assertThat(confirmSend()).contains(NotSentReason.SLOW_START);
  }

  @Example
  void inventoryOfTheMachineIsAwaited() {
    fixture.scheduler.inventoryAwaited(machine);
    assertThat(confirmSend()).contains(NotSentReason.SPREAD_LIMIT);
    fixture.scheduler.inventoryReceived(machine);
    assertThat(confirmSend()).isEmpty();
  }

  @Example
  void deduplicationWindowOfAnEarlierAttemptHasPassed() {
    Vm vm = fixture.request("dedup", 1, 1, 50);
    fixture.end(vm.lastAttempt(), Outcome.RESET, OutcomeReason.UNSPECIFIED);
    PlacementAttempt second = vm.lastAttempt();
    assertThat(second.number).as("tried again in the scope of the first").isEqualTo(1);
    assertThat(fixture.scheduler.confirmSend(second)).isEmpty();
    fixture.now = fixture.now.plus(Duration.ofSeconds(3));
    fixture.scheduler.advanceTo(fixture.now);
    assertThat(fixture.scheduler.confirmSend(second)).contains(NotSentReason.WINDOW_CLOSED);
  }
}
