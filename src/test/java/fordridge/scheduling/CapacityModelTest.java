package fordridge.scheduling;

import static org.assertj.core.api.Assertions.assertThat;

import fordridge.model.PlacementAttempt.Outcome;
import fordridge.model.PlacementAttempt.OutcomeReason;
import fordridge.model.Vm;
import java.time.Duration;
import net.jqwik.api.Example;

/** Regular and opportunistic capacity. */
class CapacityModelTest {
  @Example
  void regularCapacityComesFirst() {
    SchedulerFixture fixture = new SchedulerFixture(true, "cell");
    fixture.values.put("nInstances", 1L);
    fixture.start(1, 3);
    fixture.machines.get(0).freeCores = 0;
    fixture.machines.get(1).freeCores = 0;
    fixture.reportLoad(fixture.machines.get(0), 16, 32);
    Vm vm = fixture.request("retryable", 2, 2, 1);
    assertThat(vm.attempts.get(0).machine).isSameAs(fixture.machines.get(2));
  }

  /**
   * Guards against many schedulers that see the same regular capacity and all place VMs on it,
   * which would overfill it many times.
   */
  @Example
  void schedulersTogetherDoNotOverfillRegularCapacity() {
    SchedulerFixture fixture = new SchedulerFixture(true, "cell");
    fixture.values.put("nInstances", 200L);
    fixture.values.put("caps.mostTries", 1L);
    fixture.start(1, 8);
    fixture.machines.forEach(m -> m.freeCores = -1);
    fixture.machines.get(0).freeCores = 2;
    fixture.machines.forEach(m -> fixture.reportLoad(m, m.cores * 0.7, m.memory * 0.7));
    for (int i = 0; i < 80; i++) {
      Vm vm = fixture.request("retryable", 0.5, 0.5, i);
      fixture.end(vm.attempts.get(0), Outcome.FULL, OutcomeReason.QUEUE_FULL);
      fixture.machines.forEach(m -> m.ejectedUntil = Duration.ZERO);
      fixture.machines.forEach(m -> m.faultScore.clear());
      fixture.advance(Duration.ofMillis(10));
    }
    long vmsOnRegularCapacity =
        fixture.vms.stream()
            .filter(v -> v.attempts.get(0).machine == fixture.machines.get(0))
            .count();
    assertThat(vmsOnRegularCapacity).isBetween(2L, 40L);
  }

  /**
   * Guards against a machine without a load report that looks empty although much of it is
   * requested.
   */
  @Example
  void useWithoutLoadReportsIsEstimatedFromRequests() {
    SchedulerFixture fixture = SchedulerFixture.started(2);
    Vm first = fixture.request("retryable", 2, 2, 1);
    fixture.accept(first.attempts.get(0));
    fixture.machines.get(0).freeCores = -16;
    fixture.machines.get(1).freeCores = -4;
    fixture.machines.forEach(m -> m.freeMemory = 1);
    fixture.scheduler.coreUsageReported(first.attempts.get(0), 2);
    fixture.scheduler.memoryUsageReported(first.attempts.get(0), 2);
    fixture.advance(Duration.ofMillis(10));
    assertThat(fixture.request("retryable", 2, 2, 2).attempts.isEmpty()).isTrue();
    for (int i = 0; i < 9; i++) {
      fixture.scheduler.coreUsageReported(first.attempts.get(0), 1.1);
      fixture.scheduler.memoryUsageReported(first.attempts.get(0), 1);
    }
    fixture.advance(Duration.ofMillis(10));
    assertThat(fixture.request("retryable", 2, 2, 3).attempts.get(0).machine)
        .isSameAs(fixture.machines.get(1));
  }

  @Example
  void opportunisticCapacityFollowsReportedUse() {
    SchedulerFixture fixture = SchedulerFixture.started(2);
    fixture.machines.forEach(m -> m.freeCores = 0);
    fixture.reportLoad(fixture.machines.get(0), 1, 32);
    fixture.reportLoad(fixture.machines.get(1), 20, 64);
    Vm vm = fixture.request("retryable", 2, 2, 1);
    assertThat(vm.attempts.get(0).machine).isSameAs(fixture.machines.get(1));
  }

  /**
   * Guards against lower classes that fill the memory up to the utilization limit, so that VMs of
   * the top rank find no capacity in time.
   */
  @Example
  void lowerPriorityClassesLeaveMemoryToTheTopRank() {
    SchedulerFixture fixture = SchedulerFixture.started(2);
    fixture.machines.forEach(m -> m.freeMemory = 0);
    fixture.reportLoad(fixture.machines.get(0), 16, 0.18 * 32);
    fixture.reportLoad(fixture.machines.get(1), 32, 0.18 * 64);
    assertThat(fixture.request("retryable", 0.5, 0.5, 1).attempts).isEmpty();
    assertThat(fixture.request("fragile", 0.5, 0.5, 1).attempts.get(0).machine)
        .isSameAs(fixture.machines.get(1));
  }

  /**
   * Guards against a few large VMs of a lower class that never start because of its lower memory
   * limit, although they are too few to fill the memory.
   */
  @Example
  void rareLowerPriorityClassHasTheFullMemoryLimit() {
    SchedulerFixture fixture = SchedulerFixture.started(2);
    fixture.machines.forEach(m -> m.freeMemory = 0);
    fixture.reportLoad(fixture.machines.get(0), 16, 0.18 * 32);
    fixture.reportLoad(fixture.machines.get(1), 32, 0.18 * 64);
    for (int i = 0; i < 40; i++) {
      fixture.request("fragile", 99, 99, i);
    }
    assertThat(fixture.request("retryable", 0.5, 0.5, 1).attempts.size()).isEqualTo(1);
  }
}
