package fordridge.machine;

import static org.assertj.core.api.Assertions.assertThat;

import fordridge.model.PlacementAttempt;
import fordridge.model.PlacementAttempt.Outcome;
import java.time.Duration;
import java.util.List;
import net.jqwik.api.Example;

/**
 * An offer that waits, for its connection or behind other output, is confirmed at the instant of
 * its first byte; one that may not go any more ends as not sent and leaves the connection as it is.
 */
class WaitingOfferTest {
  private final PoolFixture fixture = new PoolFixture();

  @Example
  void offerThatMayNotGoWhenItsConnectionComesUpIsNotSent() {
    PlacementAttempt attempt = fixture.offer();
    fixture.forbidden.add(attempt);

    fixture.pool.connectionEstablished(fixture.newestConnection(), fixture.now);

    assertThat(fixture.outcomes).containsEntry(attempt, Outcome.NOT_SENT);
    assertThat(fixture.sent.get(fixture.newestConnection())).isEmpty();
    fixture.idempotent = true;
    PlacementAttempt next = fixture.offer();
    assertThat(fixture.sent.get(fixture.newestConnection())).containsExactly("new " + next.vm.id);
  }

  @Example
  void offerWaitsWhileEarlierOutputHasNotGoneOut() {
    fixture.maxConnections = 1;
    PlacementAttempt first = fixture.offerAndConnect();
    fixture.isWritable = false;
    PlacementAttempt second = fixture.offer();
    PlacementAttempt third = fixture.offer();
    MachineConnection connection = fixture.newestConnection();
    assertThat(fixture.sent.get(connection)).containsExactly("new " + first.vm.id);

    fixture.forbidden.add(second);
    fixture.isWritable = true;
    fixture.pool.connectionWritable(connection, fixture.now);

    assertThat(fixture.outcomes).containsEntry(second, Outcome.NOT_SENT);
    assertThat(fixture.sent.get(connection))
        .containsExactly("new " + first.vm.id, "new " + third.vm.id);
  }

  @Example
  void whatWaitsBehindOutputHasNotRunWhenItsConnectionBreaks() {
    fixture.maxConnections = 1;
    PlacementAttempt sent = fixture.offerAndConnect();
    fixture.isWritable = false;
    PlacementAttempt waiting = fixture.offer();

    fixture.pool.connectionLost(fixture.newestConnection(), fixture.now);

    assertThat(fixture.outcomes)
        .containsEntry(sent, Outcome.RESET)
        .containsEntry(waiting, Outcome.UNREACHABLE);
  }

  @Example
  void whatWaitsBehindOutputIsCancelledWithoutAWordToTheMachine() {
    fixture.maxConnections = 1;
    PlacementAttempt sent = fixture.offerAndConnect();
    fixture.isWritable = false;
    PlacementAttempt waiting = fixture.offer();

    fixture.pool.cancel(waiting, Outcome.TIMEOUT, fixture.now);

    assertThat(fixture.outcomes).containsEntry(waiting, Outcome.UNREACHABLE);
    assertThat(fixture.sent.get(fixture.newestConnection())).containsExactly("new " + sent.vm.id);
  }

  @Example
  void offerQueuedOnAStreamIsConfirmedWhenTheMachineHasSaidWhatItRuns() {
    StreamFixture stream = new StreamFixture();
    PlacementAttempt forbidden = stream.offer(false);
    PlacementAttempt allowed = stream.offer(false);
    stream.forbidden.add(forbidden);

    stream.receiveInventory(1);

    assertThat(stream.outcomes).containsEntry(forbidden, Outcome.NOT_SENT);
    assertThat(List.copyOf(stream.offered)).containsExactly(StreamFixture.idOf(allowed));
    assertThat(stream.now).isEqualTo(Duration.ZERO);
  }
}
