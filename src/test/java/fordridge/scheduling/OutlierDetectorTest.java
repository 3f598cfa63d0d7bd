package fordridge.scheduling;

import static org.assertj.core.api.Assertions.assertThat;

import fordridge.model.Machine;
import fordridge.model.PlacementAttempt;
import fordridge.model.PlacementAttempt.Outcome;
import fordridge.model.PlacementAttempt.OutcomeReason;
import fordridge.model.Vm;
import java.time.Duration;
import java.util.List;
import net.jqwik.api.Example;

/** Fault scores, ejection and rejection backoff. */
class OutlierDetectorTest {
  /**
   * After a rejection without a reason VMs of that tenant avoid the machine, at first for 6 s; VMs
   * of other tenants are still placed there.
   */
  @Example
  void rejectionWithoutReasonBacksOffForThatTenantOnly() {
    SchedulerFixture fixture = SchedulerFixture.started(1);
    Vm vm = fixture.request("retryable", 0.5, 0.5, 1);
    fixture.end(vm.attempts.get(0), Outcome.FULL, OutcomeReason.UNSPECIFIED);
    fixture.tenant = "other";
    assertThat(fixture.request("retryable", 0.5, 0.5, 1).attempts.size()).isEqualTo(1);
    fixture.tenant = "";
    fixture.advance(Duration.ofSeconds(5));
    assertThat(fixture.request("retryable", 0.5, 0.5, 1).attempts.isEmpty()).isTrue();
    fixture.advance(Duration.ofSeconds(2));
    assertThat(fixture.request("retryable", 0.5, 0.5, 1).attempts.size()).isEqualTo(1);
  }

  /**
   * Guards against machines that reject VMs, and so stay empty, getting every attempt because of
   * their free capacity.
   */
  @Example
  void vmsRejectedWithoutReasonGoToAMachineThatAcceptedOne() {
    SchedulerFixture fixture = SchedulerFixture.started(9);
    fixture.request("retryable", 0.5, 0.5, 1);
    Machine acceptingMachine = fixture.attempts.get(0).machine;
    fixture.accept(fixture.attempts.get(0));
    acceptingMachine.freeCores = 0;
    fixture.reportLoad(acceptingMachine, 8, 16);
    fixture.advance(Duration.ofSeconds(1));
    fixture.end(
        fixture.request("retryable", 0.5, 0.5, 2).attempts.get(0),
        Outcome.FULL,
        OutcomeReason.UNSPECIFIED);
    assertThat(fixture.vms.get(1).attempts.get(1).machine).isSameAs(acceptingMachine);
    assertThat(fixture.request("retryable", 0.5, 0.5, 3).attempts.get(0).machine)
        .isSameAs(acceptingMachine);
  }

  /** Guards against an outage of most of the fleet using up the attempts of every VM. */
  @Example
  void massOutageUsesUpFewAttempts() {
    SchedulerFixture fixture = SchedulerFixture.started(8);
    for (int i = 0; i < 40; i++) {
      fixture.request("retryable", 0.5, 1, i);
      for (PlacementAttempt attempt : List.copyOf(fixture.attempts)) {
        if (attempt.isInFlight() && attempt.machine != fixture.machines.get(7)) {
          fixture.end(attempt, Outcome.UNREACHABLE, OutcomeReason.UNSPECIFIED);
        }
      }
      fixture.advance(Duration.ofMillis(20));
    }
    long unreachableAttempts =
        fixture.attempts.stream().filter(attempt -> attempt.outcome == Outcome.UNREACHABLE).count();
    assertThat(unreachableAttempts < 40)
        .as(unreachableAttempts + " attempts at unreachable machines")
        .isTrue();
  }

  /**
   * A running VM that is lost without a reason ejects its machine before another attempt fails
   * there.
   */
  @Example
  void lostVmEjectsItsMachine() {
    SchedulerFixture fixture = SchedulerFixture.started(2);
    Vm vm = fixture.request("retryable", 1, 1, 1);
    fixture.accept(vm.attempts.get(0));
    fixture.end(vm.attempts.get(0), Outcome.RESET, OutcomeReason.UNSPECIFIED);
    Vm next = fixture.request("retryable", 1, 1, 1);
    assertThat(next.attempts.get(0).machine).isNotSameAs(vm.attempts.get(0).machine);
  }

  /** A machine that does not respond gets only single attempts while the others respond. */
  @Example
  void unresponsiveMachineGetsFewAttempts() {
    SchedulerFixture fixture = SchedulerFixture.started(6);
    Machine unresponsiveMachine = fixture.machines.get(2);
    for (int i = 0; i < 300; i++) {
      fixture.request("retryable", 0.5, 0.5, i);
      for (PlacementAttempt attempt : List.copyOf(fixture.attempts)) {
        if (attempt.isInFlight() && attempt.machine != unresponsiveMachine) {
          if (attempt.acceptedAt == null) {
            fixture.accept(attempt);
          }
          fixture.end(attempt, Outcome.DONE, OutcomeReason.UNSPECIFIED);
        }
      }
      fixture.advance(Duration.ofMillis(20));
    }
    long lateAttempts =
        fixture.attempts.stream()
            .filter(
                attempt ->
                    attempt.machine == unresponsiveMachine
                        && attempt.sentAt.compareTo(Duration.ofSeconds(7)) > 0)
            .count();
    assertThat(lateAttempts <= 5)
        .as(lateAttempts + " attempts at the unresponsive machine")
        .isTrue();
  }

  /**
   * After an error before acceptance, VMs of that tenant class avoid the machine; others are still
   * placed there.
   */
  @Example
  void errorBeforeAcceptanceBacksOffForThatTenantClassOnly() {
    SchedulerFixture fixture = SchedulerFixture.started(1);
    fixture.end(
        fixture.request("retryable", 0.5, 0.5, 1).attempts.get(0),
        Outcome.ERROR,
        OutcomeReason.UNSPECIFIED);
    assertThat(fixture.request("dedup", 0.5, 0.5, 1).attempts.size()).isEqualTo(1);
    fixture.advance(Duration.ofSeconds(5));
    assertThat(fixture.request("retryable", 0.5, 0.5, 1).attempts).isEmpty();
    fixture.advance(Duration.ofSeconds(2));
    assertThat(fixture.vms.get(2).attempts.size()).isEqualTo(1);
  }
}
