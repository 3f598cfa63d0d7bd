package fordridge.session;

import static org.assertj.core.api.Assertions.assertThat;

import fordridge.model.PlacementAttempt.Outcome;
import fordridge.session.PendingResponses.AddressedNotice;
import fordridge.session.PendingResponses.Admission;
import fordridge.session.PendingResponses.Adoption;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

class PendingResponsesTest {
  private static final Duration NOW = Duration.ofSeconds(10);
  private static final Duration NOTICE_LIFETIME = Duration.ofSeconds(8);
  private static final int MAX_PENDING = 3;
  private static final long REQUEST_BYTES = 100;
  private static final PendingRequestLimits LIMITS =
      new PendingRequestLimits(MAX_PENDING, 1_000_000);

  private final PendingResponses<String> responses =
      new PendingResponses<>(LIMITS, MAX_PENDING, NOTICE_LIFETIME, displaced -> {});

  private static String describe(AddressedNotice<String> addressed) {
    return addressed.connection() + " " + addressed.notice().vmId();
  }

  @Example
  void requestGetsOneResponseAndRunningVmOneTerminationNotice() {
    assertThat(responses.requestReceived("a", "connection", REQUEST_BYTES))
        .isEqualTo(Admission.ADMITTED);
    assertThat(responses.requestReceived("a", "other", REQUEST_BYTES))
        .isEqualTo(Admission.DUPLICATE);
    assertThat(responses.vmTerminated("a", Outcome.DONE, NOW)).isEmpty();
    assertThat(responses.takeAccepted("a")).contains("connection");
    assertThat(responses.takeUnaccepted("a")).isEmpty();
    assertThat(responses.vmTerminated("a", Outcome.DONE, NOW)).contains("connection");
    assertThat(responses.vmTerminated("a", Outcome.DONE, NOW)).isEmpty();
    assertThat(responses.runningVms()).isZero();
  }

  @Example
  void unacknowledgedNoticeIsResentOnceToAClientThatAcknowledges() {
    responses.requestReceived("a", "silent", REQUEST_BYTES);
    responses.takeAccepted("a");
    responses.requestReceived("b", "acknowledging", REQUEST_BYTES);
    responses.takeAccepted("b");
    responses.vmTerminated("a", Outcome.DONE, NOW);
    Duration later = NOW.plusMillis(600);
    assertThat(responses.takeOverdueNotices(later)).isEmpty();

    responses.vmTerminated("b", Outcome.DONE, NOW);
    responses.noticeAcknowledged("b", "acknowledging");
    assertThat(responses.takeOverdueNotices(NOW.plusMillis(300))).isEmpty();
    assertThat(responses.takeOverdueNotices(NOW.plusMillis(400)))
        .extracting(PendingResponsesTest::describe)
        .containsExactly("acknowledging a");
    assertThat(responses.takeOverdueNotices(later.plusSeconds(2))).isEmpty();
    assertThat(responses.undeliveredNotices()).isEqualTo(1);
  }

  @Example
  void requestsOverTheLimitAreNotAdmitted() {
    for (String vmId : List.of("a", "b", "c")) {
      assertThat(responses.requestReceived(vmId, "connection", REQUEST_BYTES))
          .isEqualTo(Admission.ADMITTED);
    }
    assertThat(responses.requestReceived("d", "connection", REQUEST_BYTES))
        .isEqualTo(Admission.OVER_CAPACITY);
    responses.takeUnaccepted("a");
    assertThat(responses.requestReceived("d", "connection", REQUEST_BYTES))
        .isEqualTo(Admission.ADMITTED);
  }

  @Example
  void closedConnectionAbandonsItsRequestsAndNoticesOfItsVmsGoToAnother() {
    responses.requestReceived("pending", "connection", REQUEST_BYTES);
    responses.requestReceived("running", "connection", REQUEST_BYTES);
    responses.takeAccepted("running");
    responses.requestReceived("other", "second", REQUEST_BYTES);
    assertThat(responses.connectionClosed("connection")).containsExactly("pending");
    assertThat(responses.takeAccepted("pending")).isEmpty();
    assertThat(responses.vmTerminated("running", Outcome.DONE, NOW)).contains("second");
  }

  @Example
  void noticeWithoutAnyConnectionIsDeferredUntilItExpires() {
    responses.adoptRunning("one", "connection");
    responses.adoptRunning("two", "connection");
    responses.connectionClosed("connection");
    assertThat(responses.vmTerminated("one", Outcome.RESET, NOW)).isEmpty();
    assertThat(responses.vmTerminated("two", Outcome.DONE, NOW.plusSeconds(5))).isEmpty();
    assertThat(responses.takeDeferredNotices(NOW.plusSeconds(9)))
        .as("no connection is open")
        .isEmpty();
    responses.requestReceived("new", "another", REQUEST_BYTES);
    assertThat(responses.takeDeferredNotices(NOW.plusSeconds(9)))
        .extracting(PendingResponsesTest::describe)
        .containsExactly("another two");
    assertThat(responses.takeDeferredNotices(NOW.plusSeconds(9))).isEmpty();
  }

  /**
   * Guards against notices that are sent on the connection with the last request, whose client may
   * never read them, although another client has acknowledged notices before.
   */
  @Example
  void noticeOfAClosedConnectionGoesToOneThatHasAcknowledgedBefore() {
    responses.requestReceived("one", "connection", REQUEST_BYTES);
    responses.takeAccepted("one");
    responses.requestReceived("two", "acknowledging", REQUEST_BYTES);
    responses.takeAccepted("two");
    assertThat(responses.vmTerminated("two", Outcome.DONE, NOW)).contains("acknowledging");
    responses.noticeAcknowledged("two", "acknowledging");
    responses.requestReceived("three", "never acknowledging", REQUEST_BYTES);
    responses.connectionClosed("connection");
    assertThat(responses.vmTerminated("one", Outcome.DONE, NOW)).contains("acknowledging");
    responses.connectionClosed("acknowledging");
    assertThat(responses.takeDeferredNotices(NOW))
        .extracting(PendingResponsesTest::describe)
        .containsExactly("never acknowledging one");
  }

  @Example
  void noticeOfAVmHandedOverAgainGoesToTheNewConnection() {
    responses.requestReceived("running", "first", REQUEST_BYTES);
    responses.takeAccepted("running");
    responses.requestReceived("pending", "first", REQUEST_BYTES);
    assertThat(responses.adoptRunning("running", "second")).isEqualTo(Adoption.REBOUND);
    assertThat(responses.adoptRunning("pending", "first")).isEqualTo(Adoption.PENDING_HERE);
    assertThat(responses.adoptRunning("pending", "second")).isEqualTo(Adoption.PENDING_ELSEWHERE);
    assertThat(responses.connectionClosed("first")).containsExactly("pending");
    assertThat(responses.vmTerminated("running", Outcome.DONE, NOW)).contains("second");
    assertThat(responses.isInUse("second")).isFalse();
  }

  @Example
  void vmEndedByItsClientGetsNoNotice() {
    responses.requestReceived("a", "connection", REQUEST_BYTES);
    responses.takeAccepted("a");
    assertThat(responses.terminatedByClient("a")).isTrue();
    assertThat(responses.terminatedByClient("a")).isFalse();
    assertThat(responses.vmTerminated("a", Outcome.CANCELLED, NOW)).isEmpty();
    assertThat(responses.takeDeferredNotices(NOW)).isEmpty();
  }

  /**
   * Each request gets at most one response while its connection is open, the counts stay
   * consistent, and no state is left at the end.
   */
  @Property(tries = 200, seed = "1212")
  void noResponseIsSentTwiceAndNoStateIsLeft(@ForAll long seed) {
    Random random = new Random(seed);
    PendingResponses<Integer> registry =
        new PendingResponses<>(
            new PendingRequestLimits(20, 1_000_000), 20, NOTICE_LIFETIME, displaced -> {});
    Map<String, Integer> requested = new HashMap<>();
    Set<String> responded = new HashSet<>();
    List<String> vmIds = new ArrayList<>();
    for (int i = 0; i < 300; i++) {
      int connection = random.nextInt(5);
      String vmId =
          vmIds.isEmpty() || random.nextInt(3) == 0
              ? "vm" + i
              : vmIds.get(random.nextInt(vmIds.size()));
      switch (random.nextInt(5)) {
        case 0 -> {
          if (registry.requestReceived(vmId, connection, REQUEST_BYTES) == Admission.ADMITTED) {
            vmIds.add(vmId);
            requested.put(vmId, connection);
            responded.remove(vmId);
          }
        }
        case 1 -> {
          boolean accepted = random.nextBoolean();
          (accepted ? registry.takeAccepted(vmId) : registry.takeUnaccepted(vmId))
              .ifPresent(
                  recipient -> {
                    assertThat(recipient).isEqualTo(requested.get(vmId));
                    assertThat(responded.add(vmId)).isTrue();
                  });
        }
        case 2 -> registry.vmTerminated(vmId, Outcome.DONE, NOW);
        case 3 -> registry.terminatedByClient(vmId);
        default ->
            registry
                .connectionClosed(connection)
                .forEach(abandoned -> assertThat(responded).doesNotContain(abandoned));
      }
      assertThat(registry.pendingRequests()).isBetween(0, 20);
    }
    for (String vmId : vmIds) {
      registry.terminatedByClient(vmId);
    }
    registry.expireNotices(NOW.plusSeconds(9));
    assertThat(registry.pendingRequests() + registry.runningVms()).isZero();
    assertThat(registry.takeDeferredNotices(NOW)).isEmpty();
    for (int connection = 0; connection < 5; connection++) {
      assertThat(registry.isInUse(connection)).isFalse();
    }
  }

  /**
   * Connections open, close and sometimes acknowledge: no notice is lost, and none is sent again
   * after its acknowledgement.
   */
  @Property(tries = 200, seed = "1414")
  void everyNoticeIsSentUntilItIsAcknowledged(@ForAll long seed) {
    Random random = new Random(seed);
    PendingResponses<Integer> registry =
        new PendingResponses<>(
            new PendingRequestLimits(500, 1_000_000), 500, NOTICE_LIFETIME, displaced -> {});
    Set<String> running = new HashSet<>();
    Map<String, Integer> sentTo = new HashMap<>();
    Set<Integer> open = new HashSet<>();
    for (int i = 0; i < 300; i++) {
      int connection = random.nextInt(5);
      switch (random.nextInt(5)) {
        case 0, 1 -> {
          registry.requestReceived("vm" + i, connection, REQUEST_BYTES);
          open.add(connection);
          registry.takeAccepted("vm" + i);
          running.add("vm" + i);
        }
        case 2 ->
            running.stream()
                .findAny()
                .ifPresent(
                    vmId -> {
                      running.remove(vmId);
                      sentTo.put(vmId, registry.vmTerminated(vmId, Outcome.DONE, NOW).orElse(null));
                    });
        case 3 ->
            sentTo.keySet().stream()
                .filter(vmId -> sentTo.get(vmId) != null)
                .findAny()
                .ifPresent(vmId -> registry.noticeAcknowledged(vmId, sentTo.remove(vmId)));
        default -> {
          registry.connectionClosed(connection);
          open.remove(connection);
          sentTo.replaceAll((vmId, to) -> to != null && to == connection ? null : to);
        }
      }
      for (AddressedNotice<Integer> due : registry.takeDeferredNotices(NOW)) {
        assertThat(open).contains(due.connection());
        assertThat(sentTo).as("deferred").containsEntry(due.notice().vmId(), null);
        sentTo.put(due.notice().vmId(), due.connection());
      }
      if (!open.isEmpty()) {
        assertThat(sentTo.values()).as("sent while a connection is open").doesNotContainNull();
      }
      assertThat(registry.undeliveredNotices()).isEqualTo(sentTo.size());
    }
    registry.expireNotices(NOW.plus(NOTICE_LIFETIME));
    assertThat(registry.undeliveredNotices()).isZero();
  }
}
