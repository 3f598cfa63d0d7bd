package fordridge.session;

import static org.assertj.core.api.Assertions.assertThat;

import fordridge.model.PlacementAttempt.Outcome;
import fordridge.session.PendingResponses.AddressedNotice;
import fordridge.session.PendingResponses.TerminationNotice;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import net.jqwik.api.Example;

class NoticeDeliveriesTest {
  private static final Duration LIFETIME = Duration.ofSeconds(8);

  private final List<TerminationNotice> displaced = new ArrayList<>();
  private final NoticeDeliveries<String> deliveries = new NoticeDeliveries<>(3, displaced::add);
  private Duration now = Duration.ofSeconds(10);

  private Optional<String> vmTerminated(String vmId, String own, String... former) {
    TerminationNotice notice = new TerminationNotice(vmId, Outcome.DONE, now.plus(LIFETIME));
    return deliveries.add(notice, Optional.ofNullable(own), List.of(former), now);
  }

  private void acknowledgeOne(String connection) {
    deliveries.connectionUsed(connection);
    vmTerminated("vm of " + connection, connection);
    deliveries.acknowledged("vm of " + connection, connection);
  }

  private List<String> overdueAfter(long millis) {
    now = now.plusMillis(millis);
    return deliveries.takeOverdue(now).stream().map(AddressedNotice::connection).toList();
  }

  @Example
  void acknowledgementOnAConnectionWithoutTheNoticeIsIgnored() {
    deliveries.connectionUsed("own");
    deliveries.connectionUsed("other");
    vmTerminated("vm", "own");
    deliveries.acknowledged("vm", "other");
    deliveries.acknowledged("unknown", "other");
    assertThat(deliveries.isUndelivered("vm")).isTrue();
    deliveries.acknowledged("vm", "own");
    assertThat(deliveries.isUndelivered("vm")).isFalse();
  }

  @Example
  void noticeWithoutOwnConnectionGoesToTheOneThatHasAcknowledgedMost() {
    acknowledgeOne("client");
    acknowledgeOne("client");
    acknowledgeOne("other");
    deliveries.connectionUsed("latest");
    assertThat(vmTerminated("vm", null)).contains("client");
    assertThat(overdueAfter(350)).containsExactly("other");
    assertThat(overdueAfter(350)).containsExactly("latest");
    assertThat(overdueAfter(350)).as("each once").isEmpty();
  }

  @Example
  void noticeOfAKnownClientIsResentOnlyOnConnectionsThatAcknowledge() {
    acknowledgeOne("client");
    deliveries.connectionUsed("own");
    deliveries.connectionUsed("never acknowledging");
    assertThat(vmTerminated("vm", "own")).contains("own");
    assertThat(overdueAfter(349)).isEmpty();
    assertThat(overdueAfter(1)).containsExactly("client");
    assertThat(overdueAfter(1000)).isEmpty();
  }

  @Example
  void formerConnectionsOfTheClientAreTriedFirst() {
    acknowledgeOne("other");
    deliveries.connectionUsed("former");
    deliveries.connectionUsed("own");
    assertThat(vmTerminated("vm", "own", "former")).contains("own");
    assertThat(overdueAfter(350)).containsExactly("former");
    assertThat(overdueAfter(350)).containsExactly("other");
  }

  @Example
  void noticeIsResentOnTheNextConnectionAfterItsOnlyOneClosed() {
    deliveries.connectionUsed("own");
    vmTerminated("vm", "own");
    deliveries.connectionClosed("own");
    assertThat(deliveries.takeDeferred(now)).isEmpty();
    deliveries.connectionUsed("next");
    assertThat(deliveries.takeDeferred(now))
        .extracting(AddressedNotice::connection)
        .containsExactly("next");
  }

  @Example
  void oldestNoticeIsDisplacedAtTheLimitAndExpiredOnesAreReturned() {
    for (String vmId : List.of("one", "two", "three", "four")) {
      vmTerminated(vmId, null);
    }
    assertThat(deliveries.isUndelivered("one")).isFalse();
    assertThat(deliveries.describe()).contains("without a connection 3", "displaced 1");
    assertThat(displaced).extracting(TerminationNotice::vmId).containsExactly("one");
    assertThat(deliveries.expire(now.plus(LIFETIME)))
        .extracting(TerminationNotice::vmId)
        .containsExactly("two", "three", "four");
    assertThat(deliveries.describe()).contains("without a connection 0", "expired 3");
  }
}
