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
  /** A machine that is full without a reason rejects one tenant's VMs; others still go there. */
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

  /** Machines that reject stay empty; by capacity alone they would draw every attempt. */
  @Example
  void whileRejectedWithoutReasonVmsGoWhereOneWasAccepted() {
    SchedulerFixture fixture = SchedulerFixture.started(9);
    fixture.request("retryable", 0.5, 0.5, 1);
    Machine good = fixture.attempts.get(0).machine;
    fixture.accept(fixture.attempts.get(0));
    good.freeCores = 0;
    fixture.reportLoad(good, 8, 16);
    fixture.advance(Duration.ofSeconds(1));
    fixture.end(
        fixture.request("retryable", 0.5, 0.5, 2).attempts.get(0),
        Outcome.FULL,
        OutcomeReason.UNSPECIFIED);
    assertThat(fixture.vms.get(1).attempts.get(1).machine).isSameAs(good);
    assertThat(fixture.request("retryable", 0.5, 0.5, 3).attempts.get(0).machine).isSameAs(good);
  }

  /** Most of a fleet failing at once must not use up the attempts of every VM. */
  @Example
  void massOutageUsesUpFewAttempts() {
    SchedulerFixture fixture = SchedulerFixture.started(8);
    for (int i = 0; i < 40; i++) {
      fixture.request("retryable", 0.5, 1, i);
      for (PlacementAttempt c : List.copyOf(fixture.attempts)) {
        if (c.isInFlight() && c.machine != fixture.machines.get(7)) {
          fixture.end(c, Outcome.UNREACHABLE, OutcomeReason.UNSPECIFIED);
        }
      }
      fixture.advance(Duration.ofMillis(20));
    }
    long dead = fixture.attempts.stream().filter(c -> c.outcome == Outcome.UNREACHABLE).count();
    assertThat(dead < 40).as(dead + " attempts used up").isTrue();
  }

  /** VMs lost without a reason show that their machine is down, before any attempt there. */
  @Example
  void lostVmEjectsItsMachine() {
    SchedulerFixture fixture = SchedulerFixture.started(2);
    Vm vm = fixture.request("retryable", 1, 1, 1);
    fixture.accept(vm.attempts.get(0));
    fixture.end(vm.attempts.get(0), Outcome.RESET, OutcomeReason.UNSPECIFIED);
    Vm next = fixture.request("retryable", 1, 1, 1);
    assertThat(next.attempts.get(0).machine).isNotSameAs(vm.attempts.get(0).machine);
  }

  /** A machine that does not respond gets single attempts while others respond. */
  @Example
  void silentMachineGetsFewAttempts() {
    SchedulerFixture fixture = SchedulerFixture.started(6);
    Machine silent = fixture.machines.get(2);
    for (int i = 0; i < 300; i++) {
      fixture.request("retryable", 0.5, 0.5, i);
      for (PlacementAttempt c : List.copyOf(fixture.attempts)) {
        if (c.isInFlight() && c.machine != silent) {
          if (c.acceptedAt == null) {
            fixture.accept(c);
          }
          fixture.end(c, Outcome.DONE, OutcomeReason.UNSPECIFIED);
        }
      }
      fixture.advance(Duration.ofMillis(20));
    }
    long late =
        fixture.attempts.stream()
            .filter(c -> c.machine == silent && c.sentAt.compareTo(Duration.ofSeconds(7)) > 0)
            .count();
    assertThat(late <= 5).as(late + " attempts at the silent machine").isTrue();
  }

  /**
   * An error before acceptance backs off for that tenant class; others are placed there as usual.
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
