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

/** What is known of attempts that were given up, and when their VMs need no release any more. */
class UnsettledAttemptsTest {
  private final PoolFixture fixture = new PoolFixture();
  private final PlacementAttempt attempt = fixture.offerAndConnect();
  private final MachineConnection own = fixture.newestConnection();
  private final MachineConnection other = otherConnection();

  private MachineConnection otherConnection() {
    fixture.startVm();
    return fixture.newestConnection();
  }

  private long releases(MachineConnection connection) {
    return fixture.sent.get(connection).stream().filter("terminate vm0"::equals).count();
  }

  private int unsettledCount() {
    Map<UnsettledReason, Integer> counts = new EnumMap<>(UnsettledReason.class);
    fixture.pool.unsettled().countInto(counts);
    return counts.values().stream().mapToInt(Integer::intValue).sum();
  }

  private void end(Outcome ifRunning) {
    fixture.pool.vmTerminated(
        other,
        new VmTermination(
            attempt.vm.id, Outcome.RESET, Optional.of(ifRunning), OutcomeReason.UNSPECIFIED),
        fixture.now);
  }

  @Example
  void releasedOnAnotherConnectionAndSettledByTheCheckBehindIt() {
    fixture.pool.connectionLost(own, fixture.now);
    assertThat(fixture.sent.get(other)).endsWith("terminate vm0", "ping");
    assertThat(unsettledCount()).isEqualTo(1);
    fixture.pool.probeAnswered(other, true, false, fixture.now);
    assertThat(unsettledCount()).isZero();
    assertThat(fixture.settled).containsExactly("vm0");
    assertThat(fixture.probeResults).as("of the scheduler").isEmpty();
  }

  @Example
  void answerToAnEarlierCheckSettlesNothing() {
    fixture.pool.probe(fixture.now);
    assertThat(fixture.sent.get(other)).endsWith("probe");
    fixture.pool.connectionLost(own, fixture.now);
    fixture.pool.probeAnswered(other, true, true, fixture.now);
    assertThat(unsettledCount()).isEqualTo(1);
    assertThat(fixture.probeResults).containsExactly(true);
    fixture.pool.probeAnswered(other, true, false, fixture.now);
    assertThat(unsettledCount()).isZero();
  }

  @Example
  void withdrawalThatWasNotReadIsRepeated() {
    fixture.pool.cancel(attempt, Outcome.TIMEOUT, fixture.now);
    assertThat(releases(other)).isZero();
    fixture.pool.connectionLost(own, fixture.now);
    assertThat(releases(other)).isEqualTo(1);
  }

  @Example
  void withdrawalThatWasReadIsNotRepeated() {
    fixture.pool.cancel(attempt, Outcome.TIMEOUT, fixture.now);
    fixture.pool.probeAnswered(own, true, false, fixture.now);
    fixture.advance(2500);
    assertThat(unsettledCount()).isZero();
    assertThat(releases(other)).isZero();
  }

  @Example
  void withdrawalToAMachineThatHangsIsRepeatedAfterTheCheckTimesOut() {
    fixture.pool.cancel(attempt, Outcome.TIMEOUT, fixture.now);
    fixture.advance(250 + 1500 + 100);
    assertThat(releases(other)).isEqualTo(1);
  }

  @Example
  void lateAcceptanceIsReleasedAtOnce() {
    fixture.pool.cancel(attempt, Outcome.TIMEOUT, fixture.now);
    fixture.pool.vmAccepted(own, attempt.vm.id, "d", fixture.now);
    assertThat(releases(other)).isEqualTo(1);
  }

  @Example
  void endByTheReleaseIsNoEndOfTheVmItself() {
    fixture.pool.connectionLost(own, fixture.now);
    end(Outcome.CANCELLED);
    assertThat(unsettledCount()).isZero();
    assertThat(fixture.settled).containsExactly("vm0");
    assertThat(fixture.pool.isEndKept("vm0", fixture.now)).isFalse();
  }

  @Example
  void endOfItsOwnIsKeptForItsOwner() {
    fixture.pool.connectionLost(own, fixture.now);
    end(Outcome.DONE);
    assertThat(unsettledCount()).isZero();
    assertThat(fixture.pool.isEndKept("vm0", fixture.now)).isTrue();
  }

  @Example
  void ownedAgainByAHandoverOrByAnotherAttemptAtTheMachine() {
    fixture.isWritable = false;
    fixture.pool.connectionLost(own, fixture.now);
    PlacementAttempt again = new PlacementAttempt(attempt.vm, attempt.machine, 1, fixture.now);
    fixture.isWritable = true;
    fixture.pool.offer(again, Duration.ofSeconds(1), true, fixture.now);
    assertThat(fixture.sent.get(other)).contains("new vm0");
    fixture.advance(100);
    assertThat(releases(other)).as("while it is offered again").isZero();
    fixture.pool.vmAccepted(other, "vm0", "d", fixture.now);
    assertThat(unsettledCount()).isZero();
  }

  @Example
  void goneWithItsMachineAndNotWhileThatIsOnlyUnreachable() {
    fixture.pool.connectionLost(own, fixture.now);
    fixture.pool.connectionLost(other, fixture.now);
    for (int i = 0; i < 80; i++) {
      fixture.advance(100);
      for (MachineConnection opening : List.copyOf(fixture.connections)) {
        fixture.connections.remove(opening);
        fixture.pool.connectionFailed(opening, ConnectFailure.UNREACHABLE, fixture.now);
      }
    }
    assertThat(fixture.pool.runningVmCount()).as("told as lost").isZero();
    assertThat(unsettledCount()).isEqualTo(2);
    fixture.pool.machineListed(Machine.Lifecycle.GONE, fixture.now);
    assertThat(unsettledCount()).isZero();
  }

  @Example
  void boundedAndTheOldestGivesWay() {
    for (int i = 0; i < UnsettledAttempts.MAX_ENTRIES + 10; i++) {
      fixture.isWritable = false;
      fixture.pool.vmAccepted(other, "asked" + i, "d", fixture.now);
    }
    assertThat(unsettledCount()).isEqualTo(UnsettledAttempts.MAX_ENTRIES);
    assertThat(fixture.pool.unsettled().displacedCount()).isEqualTo(10);
  }
}
