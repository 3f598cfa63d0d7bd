package fordridge.machine;

import static org.assertj.core.api.Assertions.assertThat;

import fordridge.model.PlacementAttempt;
import fordridge.model.PlacementAttempt.Outcome;
import java.time.Duration;
import java.util.List;
import net.jqwik.api.Example;

/**
 * A queued offer, which waits for its connection or for earlier output, is confirmed immediately
 * before its first byte is written. One that must no longer be sent ends as NOT_SENT and leaves the
 * connection usable.
 */
class WaitingOfferTest {
  private final PoolFixture fixture = new PoolFixture();

  @Example
  void unconfirmedOfferIsNotSentWhenItsConnectionIsEstablished() {
    PlacementAttempt attempt = fixture.offer();
    fixture.unsendable.add(attempt);

    fixture.pool.connectionEstablished(fixture.newestConnection(), fixture.now);

    assertThat(fixture.outcomes).containsEntry(attempt, Outcome.NOT_SENT);
    assertThat(fixture.sent.get(fixture.newestConnection())).isEmpty();
    fixture.idempotent = true;
    PlacementAttempt next = fixture.offer();
    assertThat(fixture.sent.get(fixture.newestConnection())).containsExactly("new " + next.vm.id);
  }

  @Example
  void offerIsQueuedWhileEarlierOutputIsPending() {
    fixture.maxConnections = 1;
    PlacementAttempt first = fixture.offerAndConnect();
    fixture.isWritable = false;
    PlacementAttempt second = fixture.offer();
    PlacementAttempt third = fixture.offer();
    MachineConnection connection = fixture.newestConnection();
    assertThat(fixture.sent.get(connection)).containsExactly("new " + first.vm.id);

    fixture.unsendable.add(second);
    fixture.isWritable = true;
    fixture.pool.connectionWritable(connection, fixture.now);

    assertThat(fixture.outcomes).containsEntry(second, Outcome.NOT_SENT);
    assertThat(fixture.sent.get(connection))
        .containsExactly("new " + first.vm.id, "new " + third.vm.id);
  }

  @Example
  void queuedOfferHasNotRunWhenItsConnectionBreaks() {
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
  void queuedOfferIsCancelledWithoutAMessageToTheMachine() {
    fixture.maxConnections = 1;
    PlacementAttempt sent = fixture.offerAndConnect();
    fixture.isWritable = false;
    PlacementAttempt waiting = fixture.offer();

    fixture.pool.cancel(waiting, Outcome.TIMEOUT, fixture.now);

    assertThat(fixture.outcomes).containsEntry(waiting, Outcome.UNREACHABLE);
    assertThat(fixture.sent.get(fixture.newestConnection())).containsExactly("new " + sent.vm.id);
  }

  @Example
  void offerQueuedOnAStreamIsConfirmedAfterTheInventory() {
    StreamFixture stream = new StreamFixture();
    PlacementAttempt unsendable = stream.offer(false);
    PlacementAttempt sendable = stream.offer(false);
    stream.unsendable.add(unsendable);

    stream.receiveInventory(1);

    assertThat(stream.outcomes).containsEntry(unsendable, Outcome.NOT_SENT);
    assertThat(List.copyOf(stream.offered)).containsExactly(StreamFixture.idOf(sendable));
    assertThat(stream.now).isEqualTo(Duration.ZERO);
  }
}
