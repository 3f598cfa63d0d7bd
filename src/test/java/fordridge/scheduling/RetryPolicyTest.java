package fordridge.scheduling;

import static org.assertj.core.api.Assertions.assertThat;

import fordridge.model.PlacementAttempt.Outcome;
import fordridge.model.PlacementAttempt.OutcomeReason;
import fordridge.model.Vm;
import java.time.Duration;
import net.jqwik.api.Example;

/** Attempts after the first one and their limits. */
class RetryPolicyTest {
  /** Changed settings apply to the next decision. */
  @Example
  void changedSettingsApplyAtOnce() {
    SchedulerFixture fixture = SchedulerFixture.started(3);
    fixture.changeSetting("caps.mostTries", 1L);
    Vm first = fixture.request("retryable", 1, 1, 1);
    fixture.end(first.attempts.get(0), Outcome.FULL, OutcomeReason.INSUFFICIENT_CORES);
    assertThat(fixture.rejectedCount).isEqualTo(1);
    fixture.changeSetting("caps.mostTries", 3L);
    Vm second = fixture.request("retryable", 1, 1, 1);
    fixture.end(second.attempts.get(0), Outcome.FULL, OutcomeReason.INSUFFICIENT_CORES);
    assertThat(second.attempts.size()).isEqualTo(2);
  }

  @Example
  void nonIdempotentVmThatMayHaveRunFailsAtOnce() {
    SchedulerFixture fixture = SchedulerFixture.started(4);
    Vm vm = fixture.request("fragile", 1, 1, 1);
    fixture.end(vm.attempts.get(0), Outcome.ERROR, OutcomeReason.UNSPECIFIED);
    assertThat(fixture.failedCount).isEqualTo(1);
    assertThat(vm.attempts.size()).isEqualTo(1);
  }

  @Example
  void rejectedVmGoesToAnotherMachine() {
    SchedulerFixture fixture = SchedulerFixture.started(4);
    Vm vm = fixture.request("retryable", 1, 1, 1);
    fixture.end(vm.attempts.get(0), Outcome.FULL, OutcomeReason.INSUFFICIENT_MEMORY);
    assertThat(vm.attempts.size()).isEqualTo(2);
    assertThat(vm.attempts.get(1).machine).isNotSameAs(vm.attempts.get(0).machine);
  }

  /**
   * Guards against deciding all attempts, within milliseconds, by the same outdated list: the last
   * one waits for a new list.
   */
  @Example
  void lastAttemptWaitsAfterARejection() {
    SchedulerFixture fixture = SchedulerFixture.started(8);
    Vm vm = fixture.request("retryable", 1, 1, 1);
    fixture.end(vm.attempts.get(0), Outcome.FULL, OutcomeReason.INSUFFICIENT_MEMORY);
    fixture.end(vm.attempts.get(1), Outcome.FULL, OutcomeReason.INSUFFICIENT_MEMORY);
    assertThat(vm.attempts.size()).isEqualTo(2);
    assertThat(vm.isFinished).isFalse();
    fixture.advance(Duration.ofMillis(800));
    assertThat(vm.attempts.size()).isEqualTo(3);
    fixture.end(vm.attempts.get(2), Outcome.FULL, OutcomeReason.INSUFFICIENT_MEMORY);
    assertThat(fixture.rejectedCount).isEqualTo(1);
  }
}
