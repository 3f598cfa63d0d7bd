package fordridge.session;

import static org.assertj.core.api.Assertions.assertThat;

import fordridge.runtime.EventLoopLag;
import fordridge.session.ClientResponse.Accepted;
import fordridge.session.ClientResponse.Failed;
import fordridge.session.ClientResponse.Rejected;
import fordridge.session.ClientSession.NumberedResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

class ClientSessionsTest {
  private static final Duration START = Duration.ZERO;
  private static final int MAX_PENDING = 50;
  private static final int MAX_PENDING_PER_CLIENT = 20;
  private static final int MAX_UNWRITTEN = 8;
  private static final int MAX_CLOSED = 30;
  private static final Duration RETENTION = Duration.ofSeconds(60);

  private final ClientSessions sessions = newSessions();

  private static ClientSessions newSessions() {
    return new ClientSessions(
        new ClientSessions.Limits(
            MAX_PENDING, MAX_PENDING_PER_CLIENT, MAX_UNWRITTEN, MAX_CLOSED, RETENTION),
        1);
  }

  private static Accepted accepted(String vm) {
    return new Accepted(vm, "m", 0, Duration.ZERO);
  }

  private static Rejected rejected(String vm) {
    return new Rejected(vm, Duration.ZERO, "");
  }

  /** Takes all responses that the session has to write. */
  private static List<ClientResponse> drain(ClientSession session) {
    List<ClientResponse> responses = new ArrayList<>();
    for (Optional<NumberedResponse> next = session.nextToWrite();
        next.isPresent();
        next = session.nextToWrite()) {
      responses.add(next.get().response());
    }
    return responses;
  }

  @Example
  void aResumedSessionWritesUnseenResponsesAgainAndNothingElse() {
    ClientSession session = sessions.clientConnected("a", "", 0);
    sessions.requestReceived(session, "1");
    sessions.requestReceived(session, "2");
    sessions.respond("a", accepted("1"), START);
    sessions.respond("a", rejected("2"), START);
    assertThat(drain(session).size()).isEqualTo(2);
    sessions.clientDisconnected(session, START);

    ClientSession resumed = sessions.clientConnected("a", session.resumeToken(), 1);

    assertThat(resumed).isSameAs(session);
    assertThat(drain(resumed)).extracting(ClientResponse::vm).containsExactly("2");
    assertThat(drain(resumed)).isEmpty();
  }

  @Example
  void aSecondFinalResponseIsNotSent() {
    ClientSession session = sessions.clientConnected("a", "", 0);
    sessions.requestReceived(session, "1");
    assertThat(sessions.respond("a", rejected("1"), START)).isTrue();

    assertThat(sessions.respond("a", new Failed("1", ""), START)).isFalse();
    assertThat(sessions.respond("a", accepted("1"), START)).isFalse();

    assertThat(drain(session).size()).isEqualTo(1);
  }

  @Example
  void aNewProcessUnderAKnownNameGetsResponsesOnlyForWhatItRequestsAgain() {
    ClientSession session = sessions.clientConnected("a", "", 0);
    sessions.requestReceived(session, "1");
    sessions.requestReceived(session, "2");

    ClientSession fresh = sessions.clientConnected("a", "", 0);
    sessions.respond("a", accepted("1"), START);
    sessions.respond("a", accepted("2"), START);

    assertThat(drain(fresh)).isEmpty();
    assertThat(sessions.requestReceived(fresh, "2")).isEqualTo(ClientSessions.Admission.DUPLICATE);
    assertThat(drain(fresh)).extracting(ClientResponse::vm).containsExactly("2");
  }

  @Example
  void aWithdrawnRequestDoesNotCountAsPendingWhenANewSessionRepeatsIt() {
    ClientSession session = sessions.clientConnected("a", "", 0);
    sessions.requestReceived(session, "1");
    sessions.requestWithdrawn(session, "1", START);

    ClientSession fresh = sessions.clientConnected("a", "", 0);
    sessions.requestReceived(fresh, "1");

    assertThat(sessions.pendingRequests()).isEqualTo(0);
    assertThat(fresh.pendingRequests()).isEqualTo(0);
    sessions.clientDisconnected(fresh, START);
    assertThat(sessions.expireSessions(RETENTION)).containsExactly("a");
  }

  @Example
  void limitsOfPendingUnwrittenAndClosedRequestsHold() {
    ClientSession session = sessions.clientConnected("a", "", 0);
    for (int i = 0; i < MAX_PENDING_PER_CLIENT - 1; i++) {
      sessions.requestReceived(session, "v" + i);
      assertThat(sessions.mayReadMore(session)).isTrue();
    }
    sessions.requestReceived(session, "v19");
    assertThat(sessions.requestReceived(session, "v20"))
        .as("pending requests of one client")
        .isEqualTo(ClientSessions.Admission.LIMIT_EXCEEDED);
    for (int i = 0; i < MAX_PENDING_PER_CLIENT; i++) {
      sessions.respond("a", rejected("v" + i), START);
    }
    assertThat(sessions.mayReadMore(session)).as("unwritten responses").isFalse();
    drain(session);
    assertThat(sessions.mayReadMore(session)).isTrue();

    ClientSession other = sessions.clientConnected("b", "", 0);
    int admitted = 0;
    for (int i = 0; i < 70; i++) {
      ClientSessions.Admission admission = sessions.requestReceived(other, "w" + i);
      admitted += admission == ClientSessions.Admission.ADMITTED ? 1 : 0;
    }
    assertThat(admitted).as("pending requests of one client").isEqualTo(MAX_PENDING_PER_CLIENT);
    for (int i = 0; i < MAX_PENDING_PER_CLIENT; i++) {
      sessions.respond("b", rejected("w" + i), START);
    }
    assertThat(sessions.closedRequests()).as("closed requests").isLessThanOrEqualTo(MAX_CLOSED);
  }

  @Example
  void eventLoopLagCountsForUpToTwoWindows() {
    EventLoopLag lag = new EventLoopLag(Duration.ofSeconds(2));
    lag.record(Duration.ofMillis(400), Duration.ofMillis(100));
    lag.record(Duration.ofMillis(5), Duration.ofMillis(2200));
    assertThat(lag.maxRecentLag(Duration.ofMillis(2300))).isEqualTo(Duration.ofMillis(400));
    lag.record(Duration.ofMillis(7), Duration.ofMillis(4300));
    assertThat(lag.maxRecentLag(Duration.ofMillis(4400))).isEqualTo(Duration.ofMillis(7));
    assertThat(lag.maxRecentLag(Duration.ofSeconds(60))).isEqualTo(Duration.ZERO);
  }

  @Example
  void aSequenceNumberThatWasNeverSentIsNeitherAcknowledgedNorResumedFrom() {
    ClientSession session = sessions.clientConnected("a", "", 0);

    assertThat(sessions.acknowledge(session, 3)).isFalse();
    assertThat(sessions.clientConnected("a", session.resumeToken(), 5)).isNotSameAs(session);
  }

  /**
   * A client that never acknowledges takes no more memory than the limit allows, and can repeat its
   * requests to get discarded responses again.
   */
  @Example
  void discardedResponsesAreSentAgainOnlyForRepeatedRequests() {
    ClientSession session = sessions.clientConnected("a", "", 0);
    for (int i = 0; i < 60; i++) {
      sessions.requestReceived(session, "v" + i);
      sessions.respond("a", rejected("v" + i), START);
    }
    assertThat(sessions.clientConnected("a", session.resumeToken(), 59)).isSameAs(session);

    ClientSession fresh = sessions.clientConnected("a", session.resumeToken(), 2);

    assertThat(fresh).isNotSameAs(session);
    assertThat(sessions.requestReceived(fresh, "v59"))
        .isEqualTo(ClientSessions.Admission.DUPLICATE);
    assertThat(drain(fresh)).extracting(ClientResponse::vm).containsExactly("v59");
  }

  @Example
  void aDisconnectedClientsSessionExpiresAfterItsRetention() {
    ClientSession session = sessions.clientConnected("a", "", 0);
    sessions.clientDisconnected(session, START);

    assertThat(sessions.expireSessions(Duration.ofSeconds(59))).isEmpty();
    assertThat(sessions.expireSessions(Duration.ofSeconds(61))).containsExactly("a");
    assertThat(sessions.sessionCount()).isEqualTo(0);
  }

  /**
   * Streams may break after any message: each response is still received exactly once and in order.
   */
  @Property(tries = 300, seed = "99")
  void eachResponseIsReceivedExactlyOnceOverBrokenStreams(@ForAll long seed) {
    ClientSessions all = newSessions();
    Random random = new Random(seed);
    ClientSession session = all.clientConnected("a", "", 0);
    String token = session.resumeToken();
    long seen = 0;
    Map<String, Integer> received = new HashMap<>();
    List<String> pending = new ArrayList<>();
    int requested = 0;
    for (int i = 0; i < 300; i++) {
      switch (random.nextInt(6)) {
        case 0, 1 -> {
          if (pending.size() < 15) {
            pending.add("v" + requested);
            all.requestReceived(session, "v" + requested++);
          }
        }
        case 2 -> {
          if (!pending.isEmpty()) {
            String vm = pending.remove(random.nextInt(pending.size()));
            all.respond("a", rejected(vm), START);
          }
        }
        case 3 -> all.acknowledge(session, seen);
        case 4 -> {
          all.clientDisconnected(session, START);
          session = all.clientConnected("a", token, seen);
          assertThat(session.resumeToken()).isEqualTo(token);
        }
        default -> {
          NumberedResponse next = session.nextToWrite().orElse(null);
          // A written response may be lost with the stream before the client reads it.
          if (next != null && random.nextInt(3) == 0) {
            session = all.clientConnected("a", token, seen);
          } else if (next != null) {
            assertThat(next.sequence()).isEqualTo(seen + 1);
            seen = next.sequence();
            received.merge(next.response().vm(), 1, Integer::sum);
          }
        }
      }
    }
    session = all.clientConnected("a", token, seen);
    drain(session).forEach(response -> received.merge(response.vm(), 1, Integer::sum));
    assertThat(received.size()).isEqualTo(requested - pending.size());
    assertThat(received.values()).allMatch(n -> n == 1);
  }
}
