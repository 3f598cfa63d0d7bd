package fordridge.machine;

import static org.assertj.core.api.Assertions.assertThat;

import fordridge.model.PlacementAttempt;
import fordridge.model.PlacementAttempt.Outcome;
import fordridge.model.PlacementAttempt.OutcomeReason;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import net.jqwik.api.Example;

/** What each word of a machine means for a VM, by what is known of it and where the word comes. */
class VmExecutionsTest {
  private final PoolFixture fixture = new PoolFixture();
  private final PlacementAttempt attempt = fixture.offerAndConnect();
  private final MachineConnection own = fixture.newestConnection();
  private final MachineConnection other = otherConnection();

  private MachineConnection otherConnection() {
    fixture.offerAndConnect();
    return fixture.newestConnection();
  }

  private void terminate(MachineConnection heardOn, Outcome ifRunning, OutcomeReason reason) {
    fixture.pool.vmTerminated(
        heardOn,
        new VmTermination(attempt.vm.id, Outcome.RESET, Optional.of(ifRunning), reason),
        fixture.now);
  }

  private void accept(MachineConnection heardOn) {
    fixture.pool.vmAccepted(heardOn, attempt.vm.id, "d", fixture.now);
  }

  private void assertEndedUnanswered(Outcome outcome) {
    assertThat(fixture.unanswered).containsExactly(attempt);
    assertThat(fixture.outcomes).containsEntry(attempt, outcome);
    assertThat(fixture.pool.findRunningAttempt(attempt.vm.id)).isEmpty();
  }

  @Example
  void endOnAnotherConnectionEndsAnUnansweredRequest() {
    terminate(other, Outcome.DONE, OutcomeReason.UNSPECIFIED);
    assertEndedUnanswered(Outcome.DONE);
    accept(own);
    assertThat(fixture.accepted).as("the answer that was overtaken").isEmpty();
  }

  @Example
  void resetOnAnotherConnectionEndsAnUnansweredRequest() {
    terminate(other, Outcome.RESET, OutcomeReason.UNSPECIFIED);
    assertEndedUnanswered(Outcome.RESET);
  }

  @Example
  void endThatOnlyARunningVmHasEndsAnUnansweredRequest() {
    for (OutcomeReason reason :
        List.of(OutcomeReason.DRAINED, OutcomeReason.EVICTED, OutcomeReason.PREEMPTED)) {
      VmExecutionsTest each = new VmExecutionsTest();
      each.terminate(each.own, Outcome.RESET, reason);
      each.assertEndedUnanswered(Outcome.RESET);
    }
    terminate(own, Outcome.DONE, OutcomeReason.UNSPECIFIED);
    assertEndedUnanswered(Outcome.DONE);
  }

  @Example
  void bareResetOfAnUnansweredRequestProvesNothing() {
    terminate(own, Outcome.RESET, OutcomeReason.UNSPECIFIED);
    assertThat(fixture.unanswered).isEmpty();
    assertThat(fixture.outcomes).containsEntry(attempt, Outcome.RESET);
  }

  @Example
  void lostConnectionAfterAReportOnAnyConnectionEndsTheRequestUnanswered() {
    fixture.pool.vmReported(other, attempt.vm.id);
    fixture.pool.connectionLost(own, fixture.now);
    assertEndedUnanswered(Outcome.RESET);
    assertThat(attempt.mayStillRun).isTrue();
  }

  @Example
  void acceptanceOnAnotherConnectionIsTaken() {
    accept(other);
    assertThat(fixture.accepted).containsOnlyKeys(attempt);
    accept(own);
    assertThat(fixture.outcomes).as("the answer's second copy").isEmpty();
  }

  @Example
  void wordsOnTheConnectionOfAWithdrawnRequestAreNotOfTheNextOne() {
    fixture.pool.cancel(attempt, Outcome.TIMEOUT, fixture.now);
    PlacementAttempt next = new PlacementAttempt(attempt.vm, attempt.machine, 1, fixture.now);
    attempt.vm.attempts.add(next);
    fixture.pool.offer(next, Duration.ofSeconds(1), false, fixture.now);
    fixture.pool.connectionEstablished(fixture.newestConnection(), fixture.now);
    accept(own);
    terminate(own, Outcome.DONE, OutcomeReason.UNSPECIFIED);
    assertThat(fixture.accepted).isEmpty();
    assertThat(fixture.outcomes).containsOnlyKeys(attempt);
    accept(fixture.newestConnection());
    assertThat(fixture.accepted).containsOnlyKeys(next);
  }

  @Example
  void handoverTakesThePlaceOfATerminationAndOfItsDeadline() {
    accept(own);
    fixture.pool.terminate(attempt, fixture.now);
    fixture.pool.supersede(attempt.vm.id);
    assertThat(fixture.outcomes).containsEntry(attempt, Outcome.CANCELLED);
    PlacementAttempt adopted = new PlacementAttempt(attempt.vm, attempt.machine, 1, fixture.now);
    fixture.pool.adopt(adopted, fixture.now);
    for (int second = 0; second < 20; second++) {
      fixture.pool.messageReceived(fixture.now);
      fixture.advance(1000);
    }
    assertThat(fixture.outcomes).as("given up with the former attempt").doesNotContainKey(adopted);
  }

  @Example
  void acknowledgedTerminationIsOver() {
    accept(own);
    fixture.pool.terminationAcknowledged(attempt.vm.id);
    assertThat(fixture.outcomes).as("nobody has asked for it").isEmpty();
    fixture.pool.terminate(attempt, fixture.now);
    fixture.pool.terminationAcknowledged(attempt.vm.id);
    assertThat(fixture.outcomes).containsEntry(attempt, Outcome.CANCELLED);
    assertThat(attempt.mayStillRun).isFalse();
  }

  @Example
  void endOfAnUnknownVmIsKeptForItsOwnerAlsoAmongMany() {
    for (int i = 0; i < 700; i++) {
      fixture.pool.vmTerminated(
          other,
          new VmTermination(
              "earlier" + i, Outcome.RESET, Optional.of(Outcome.DONE), OutcomeReason.UNSPECIFIED),
          fixture.now);
    }
    PlacementAttempt first = fixture.newAttempt("earlier0", fixture.now);
    assertThat(fixture.pool.isEndKept("earlier0", fixture.now)).isTrue();
    fixture.pool.adopt(first, fixture.now);
    assertThat(fixture.outcomes).containsEntry(first, Outcome.DONE);
    assertThat(fixture.pool.displacedEndCount()).isZero();
  }
}
