package fordridge.scheduling;

import static org.assertj.core.api.Assertions.assertThat;

import fordridge.model.Machine;
import fordridge.model.Machine.Lifecycle;
import fordridge.model.PlacementAttempt.Outcome;
import fordridge.model.PlacementAttempt.OutcomeReason;
import fordridge.model.Vm;
import java.time.Duration;
import java.util.List;
import net.jqwik.api.Example;

/** VMs that wait for capacity. */
class PendingVmTest {
  @Example
  void vmWithoutCapacityIsPendingThenRejectedInTime() {
    SchedulerFixture fixture = SchedulerFixture.started(1);
    fixture.machines.get(0).freeMemory = -16;
    Vm vm = fixture.request("retryable", 2, 2, 1);
    assertThat(vm.attempts.isEmpty()).isTrue();
    fixture.advance(Duration.ofSeconds(3));
    assertThat(vm.isFinished).isFalse();
    fixture.advance(Duration.ofMillis(1900));
    assertThat(fixture.rejectedCount).isEqualTo(1);
  }

  /**
   * Guards against reservations that are kept until the next list: between two lists, more VMs run
   * and end than fit on the machine at once.
   */
  @Example
  void endedVmsReleaseTheirReservationsBeforeTheNextList() {
    SchedulerFixture fixture = SchedulerFixture.started(1);
    for (int i = 0; i < 60; i++) {
      Vm vm = fixture.request("retryable", 1, 1, 1);
      assertThat(vm.attempts).as("VM %s", i).hasSize(1);
      fixture.accept(vm.lastAttempt());
      fixture.end(vm.lastAttempt(), Outcome.DONE, OutcomeReason.UNSPECIFIED);
    }
  }

  @Example
  void pendingVmIsPlacedAsSoonAsTheListShowsCapacity() {
    SchedulerFixture fixture = SchedulerFixture.started(1);
    fixture.machines.get(0).freeMemory = -16;
    Vm vm = fixture.request("retryable", 2, 2, 1);
    fixture.advance(Duration.ofSeconds(1));
    fixture.machines.get(0).freeMemory = 20;
    fixture.listMachine(fixture.machines.get(0), Lifecycle.LIVE, null);
    fixture.advance(Duration.ofMillis(50));
    assertThat(vm.attempts.size()).isEqualTo(1);
  }

  /**
   * Guards against placing in order of arrival, which would make every start late in overload: late
   * VMs wait behind the others.
   */
  @Example
  void lateVmWaitsBehindOthersOfItsRank() {
    SchedulerFixture fixture = SchedulerFixture.started(1);
    Machine m = fixture.machines.get(0);
    m.freeMemory = -16;
    fixture.reportLoad(m, 16, 20);
    Vm late = fixture.request("retryable", 1, 1, 1);
    fixture.advance(Duration.ofMillis(590));
    Vm fresh = fixture.request("retryable", 1, 1, 1);
    m.freeMemory = -15;
    fixture.listMachine(m, Lifecycle.LIVE, null);
    fixture.advance(Duration.ofMillis(200));
    assertThat(fresh.attempts.size()).isEqualTo(1);
    assertThat(late.attempts).isEmpty();
    m.freeMemory = -14;
    fixture.listMachine(m, Lifecycle.LIVE, null);
    fixture.advance(Duration.ofMillis(200));
    assertThat(late.attempts.size()).isEqualTo(1);
  }

  /**
   * If retry-after is not allowed, a rejection comes at the same time, without advice when to
   * request again.
   */
  @Example
  void rejectionHasRetryAfterOnlyWhereAllowed() {
    SchedulerFixture with = SchedulerFixture.started(1);
    SchedulerFixture without = new SchedulerFixture(true, "cell");
    without.values.put("caps.retryAfter", false);
    without.start(1, 1);
    for (SchedulerFixture fixture : List.of(with, without)) {
      fixture.request("retryable", 99, 99, 1);
      fixture.advance(Duration.ofMillis(4900));
    }
    assertThat(with.retryAfters).containsExactly(Duration.ofMillis(600));
    assertThat(without.retryAfters).containsExactly(Duration.ZERO);
    assertThat(without.actions.get(without.actions.size() - 1))
        .isEqualTo(with.actions.get(with.actions.size() - 1));
  }
}
