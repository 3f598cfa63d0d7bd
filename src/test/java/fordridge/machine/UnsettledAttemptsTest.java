package fordridge.machine;

import static org.assertj.core.api.Assertions.assertThat;

import fordridge.model.Machine;
import fordridge.model.PlacementAttempt;
import fordridge.model.PlacementAttempt.Outcome;
import fordridge.model.PlacementAttempt.OutcomeReason;
import java.time.Duration;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import net.jqwik.api.Example;

/** When the VMs of attempts that were given up are released, and when these attempts settle. */
class UnsettledAttemptsTest {
  private final PoolFixture fixture = new PoolFixture();
  private final PlacementAttempt attempt = fixture.offerAndConnect();
  private final MachineConnection requestConnection = fixture.newestConnection();
  private final MachineConnection otherConnection = openOtherConnection();

  private MachineConnection openOtherConnection() {
    fixture.startVm();
    return fixture.newestConnection();
  }

  private long releaseCount(MachineConnection connection) {
    return fixture.sent.get(connection).stream().filter("terminate vm0"::equals).count();
  }

  private int unsettledCount() {
    Map<UnsettledReason, Integer> counts = new EnumMap<>(UnsettledReason.class);
    fixture.pool.unsettled().addCountsTo(counts);
    return counts.values().stream().mapToInt(Integer::intValue).sum();
  }

  private void terminateOnOtherConnection(Outcome ifRunning) {
    fixture.pool.vmTerminated(
        otherConnection,
        new VmTermination(
            attempt.vm.id, Outcome.RESET, Optional.of(ifRunning), OutcomeReason.UNSPECIFIED),
        fixture.now);
  }

  @Example
  void releaseIsSentOnAnotherConnectionAndSettledByTheNextHealthCheck() {
    fixture.pool.connectionLost(requestConnection, fixture.now);
    assertThat(fixture.sent.get(otherConnection)).endsWith("terminate vm0", "ping");
    assertThat(unsettledCount()).isEqualTo(1);
    fixture.pool.probeAnswered(otherConnection, true, false, fixture.now);
    assertThat(unsettledCount()).isZero();
    assertThat(fixture.settledReleases).containsExactly("vm0");
    assertThat(fixture.probeResults).as("probes of the scheduler").isEmpty();
  }

  @Example
  void answerToAnEarlierHealthCheckSettlesNothing() {
    fixture.pool.probe(fixture.now);
    assertThat(fixture.sent.get(otherConnection)).endsWith("probe");
    fixture.pool.connectionLost(requestConnection, fixture.now);
    fixture.pool.probeAnswered(otherConnection, true, true, fixture.now);
    assertThat(unsettledCount()).isEqualTo(1);
    assertThat(fixture.probeResults).containsExactly(true);
    fixture.pool.probeAnswered(otherConnection, true, false, fixture.now);
    assertThat(unsettledCount()).isZero();
  }

  @Example
  void withdrawalThatWasNotReadIsRepeated() {
    fixture.pool.cancel(attempt, Outcome.TIMEOUT, fixture.now);
    assertThat(releaseCount(otherConnection)).isZero();
    fixture.pool.connectionLost(requestConnection, fixture.now);
    assertThat(releaseCount(otherConnection)).isEqualTo(1);
  }

  @Example
  void withdrawalThatWasReadIsNotRepeated() {
    fixture.pool.cancel(attempt, Outcome.TIMEOUT, fixture.now);
    fixture.pool.probeAnswered(requestConnection, true, false, fixture.now);
    fixture.advance(2500);
    assertThat(unsettledCount()).isZero();
    assertThat(releaseCount(otherConnection)).isZero();
  }

  @Example
  void withdrawalToAHangingMachineIsRepeatedAfterTheHealthCheckTimesOut() {
    fixture.pool.cancel(attempt, Outcome.TIMEOUT, fixture.now);
    fixture.advance(250 + 1500 + 100);
    assertThat(releaseCount(otherConnection)).isEqualTo(1);
  }

  @Example
  void lateAcceptanceIsReleasedAtOnce() {
    fixture.pool.cancel(attempt, Outcome.TIMEOUT, fixture.now);
    fixture.pool.vmAccepted(requestConnection, attempt.vm.id, "d", fixture.now);
    assertThat(releaseCount(otherConnection)).isEqualTo(1);
  }

  @Example
  void terminationByTheReleaseIsNotKeptForAdoption() {
    fixture.pool.connectionLost(requestConnection, fixture.now);
    terminateOnOtherConnection(Outcome.CANCELLED);
    assertThat(unsettledCount()).isZero();
    assertThat(fixture.settledReleases).containsExactly("vm0");
    assertThat(fixture.pool.hasUnclaimedTermination("vm0", fixture.now)).isFalse();
  }

  @Example
  void completionAfterTheReleaseIsKeptForAdoption() {
    fixture.pool.connectionLost(requestConnection, fixture.now);
    terminateOnOtherConnection(Outcome.DONE);
    assertThat(unsettledCount()).isZero();
    assertThat(fixture.pool.hasUnclaimedTermination("vm0", fixture.now)).isTrue();
  }

  @Example
  void vmThatIsOfferedAgainToTheMachineIsNotReleased() {
    fixture.isWritable = false;
    fixture.pool.connectionLost(requestConnection, fixture.now);
    PlacementAttempt again = new PlacementAttempt(attempt.vm, attempt.machine, 1, fixture.now);
    fixture.isWritable = true;
    fixture.pool.offer(again, Duration.ofSeconds(1), true, fixture.now);
    assertThat(fixture.sent.get(otherConnection)).contains("new vm0");
    fixture.advance(100);
    assertThat(releaseCount(otherConnection)).as("while it is offered again").isZero();
    fixture.pool.vmAccepted(otherConnection, "vm0", "d", fixture.now);
    assertThat(unsettledCount()).isZero();
  }

  @Example
  void attemptIsSettledWhenTheMachineIsGoneButNotWhileItIsUnreachable() {
    fixture.pool.connectionLost(requestConnection, fixture.now);
    fixture.pool.connectionLost(otherConnection, fixture.now);
    for (int i = 0; i < 80; i++) {
      fixture.advance(100);
      for (MachineConnection opening : List.copyOf(fixture.connections)) {
        fixture.connections.remove(opening);
        fixture.pool.connectionFailed(opening, ConnectFailure.UNREACHABLE, fixture.now);
      }
    }
    assertThat(fixture.pool.runningVmCount()).as("reported as lost").isZero();
    assertThat(unsettledCount()).isEqualTo(2);
    fixture.pool.machineListed(Machine.Lifecycle.GONE, fixture.now);
    assertThat(unsettledCount()).isZero();
  }

  @Example
  void oldestAttemptIsDisplacedAtTheLimit() {
    for (int i = 0; i < UnsettledAttempts.MAX_ENTRIES + 10; i++) {
      fixture.isWritable = false;
      fixture.pool.vmAccepted(otherConnection, "asked" + i, "d", fixture.now);
    }
    assertThat(unsettledCount()).isEqualTo(UnsettledAttempts.MAX_ENTRIES);
    assertThat(fixture.pool.unsettled().displacedCount()).isEqualTo(10);
  }
}
