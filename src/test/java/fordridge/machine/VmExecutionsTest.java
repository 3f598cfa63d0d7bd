package fordridge.machine;

import static org.assertj.core.api.Assertions.assertThat;

import fordridge.model.PlacementAttempt;
import fordridge.model.PlacementAttempt.Outcome;
import fordridge.model.PlacementAttempt.OutcomeReason;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import net.jqwik.api.Example;

/**
 * The effect of each message of a machine on a VM, depending on the VM's state and on the
 * connection that receives the message.
 */
class VmExecutionsTest {
  private final PoolFixture fixture = new PoolFixture();
  private final PlacementAttempt attempt = fixture.offerAndConnect();
  private final MachineConnection requestConnection = fixture.newestConnection();
  private final MachineConnection otherConnection = openOtherConnection();

  private MachineConnection openOtherConnection() {
    fixture.offerAndConnect();
    return fixture.newestConnection();
  }

  private void terminate(MachineConnection receivedOn, Outcome ifRunning, OutcomeReason reason) {
    fixture.pool.vmTerminated(
        receivedOn,
        new VmTermination(attempt.vm.id, Outcome.RESET, Optional.of(ifRunning), reason),
        fixture.now);
  }

  private void accept(MachineConnection receivedOn) {
    fixture.pool.vmAccepted(receivedOn, attempt.vm.id, "d", fixture.now);
  }

  private void assertEndedUnanswered(Outcome outcome) {
    assertThat(fixture.unanswered).containsExactly(attempt);
    assertThat(fixture.outcomes).containsEntry(attempt, outcome);
    assertThat(fixture.pool.findRunningAttempt(attempt.vm.id)).isEmpty();
  }

  @Example
  void terminationOnAnotherConnectionEndsAnUnansweredRequest() {
    terminate(otherConnection, Outcome.DONE, OutcomeReason.UNSPECIFIED);
    assertEndedUnanswered(Outcome.DONE);
    accept(requestConnection);
    assertThat(fixture.accepted).as("accepted by the late answer").isEmpty();
  }

  @Example
  void resetOnAnotherConnectionEndsAnUnansweredRequest() {
    terminate(otherConnection, Outcome.RESET, OutcomeReason.UNSPECIFIED);
    assertEndedUnanswered(Outcome.RESET);
  }

  @Example
  void terminationThatProvesExecutionEndsAnUnansweredRequest() {
    for (OutcomeReason reason :
        List.of(OutcomeReason.DRAINED, OutcomeReason.EVICTED, OutcomeReason.PREEMPTED)) {
      VmExecutionsTest test = new VmExecutionsTest();
      test.terminate(test.requestConnection, Outcome.RESET, reason);
      test.assertEndedUnanswered(Outcome.RESET);
    }
    terminate(requestConnection, Outcome.DONE, OutcomeReason.UNSPECIFIED);
    assertEndedUnanswered(Outcome.DONE);
  }

  @Example
  void resetWithoutAReasonDoesNotProveExecution() {
    terminate(requestConnection, Outcome.RESET, OutcomeReason.UNSPECIFIED);
    assertThat(fixture.unanswered).isEmpty();
    assertThat(fixture.outcomes).containsEntry(attempt, Outcome.RESET);
  }

  @Example
  void lostConnectionAfterAReportOnAnyConnectionEndsTheRequestUnanswered() {
    fixture.pool.vmReported(otherConnection, attempt.vm.id);
    fixture.pool.connectionLost(requestConnection, fixture.now);
    assertEndedUnanswered(Outcome.RESET);
    assertThat(attempt.mayStillRun).isTrue();
  }

  @Example
  void acceptanceOnAnotherConnectionCounts() {
    accept(otherConnection);
    assertThat(fixture.accepted).containsOnlyKeys(attempt);
    accept(requestConnection);
    assertThat(fixture.outcomes).as("a duplicate answer has no effect").isEmpty();
  }

  @Example
  void messagesOnTheConnectionOfAWithdrawnRequestDoNotReferToTheNextRequest() {
    fixture.pool.cancel(attempt, Outcome.TIMEOUT, fixture.now);
    PlacementAttempt next = new PlacementAttempt(attempt.vm, attempt.machine, 1, fixture.now);
    attempt.vm.attempts.add(next);
    fixture.pool.offer(next, Duration.ofSeconds(1), false, fixture.now);
    fixture.pool.connectionEstablished(fixture.newestConnection(), fixture.now);
    accept(requestConnection);
    terminate(requestConnection, Outcome.DONE, OutcomeReason.UNSPECIFIED);
    assertThat(fixture.accepted).isEmpty();
    assertThat(fixture.outcomes).containsOnlyKeys(attempt);
    accept(fixture.newestConnection());
    assertThat(fixture.accepted).containsOnlyKeys(next);
  }

  @Example
  void handoverReplacesATerminationAndItsDeadline() {
    accept(requestConnection);
    fixture.pool.terminate(attempt, fixture.now);
    fixture.pool.supersede(attempt.vm.id);
    assertThat(fixture.outcomes).containsEntry(attempt, Outcome.CANCELLED);
    PlacementAttempt adopted = new PlacementAttempt(attempt.vm, attempt.machine, 1, fixture.now);
    fixture.pool.adopt(adopted, fixture.now);
    for (int second = 0; second < 20; second++) {
      fixture.pool.messageReceived(fixture.now);
      fixture.advance(1000);
    }
    assertThat(fixture.outcomes)
        .as("ended by the deadline of the former attempt")
        .doesNotContainKey(adopted);
  }

  @Example
  void acknowledgedTerminationEndsTheVm() {
    accept(requestConnection);
    fixture.pool.terminationAcknowledged(attempt.vm.id);
    assertThat(fixture.outcomes).as("no termination was requested").isEmpty();
    fixture.pool.terminate(attempt, fixture.now);
    fixture.pool.terminationAcknowledged(attempt.vm.id);
    assertThat(fixture.outcomes).containsEntry(attempt, Outcome.CANCELLED);
    assertThat(attempt.mayStillRun).isFalse();
  }

  @Example
  void terminationOfAnUnknownVmIsKeptForAdoptionAmongMany() {
    for (int i = 0; i < 700; i++) {
      fixture.pool.vmTerminated(
          otherConnection,
          new VmTermination(
              "earlier" + i, Outcome.RESET, Optional.of(Outcome.DONE), OutcomeReason.UNSPECIFIED),
          fixture.now);
    }
    PlacementAttempt first = fixture.newAttempt("earlier0", fixture.now);
    assertThat(fixture.pool.hasUnclaimedTermination("earlier0", fixture.now)).isTrue();
    fixture.pool.adopt(first, fixture.now);
    assertThat(fixture.outcomes).containsEntry(first, Outcome.DONE);
    assertThat(fixture.pool.displacedTerminationCount()).isZero();
  }
}
