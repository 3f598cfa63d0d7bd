package fordridge.faults;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterContainer;
import net.jqwik.api.lifecycle.BeforeContainer;
import org.awaitility.Awaitility;

/**
 * A real scheduler process receives the ends of its VMs and notifies their clients, though pending
 * offers could use up all connections to machines.
 */
class NoticeUnderConnectionLimitTest {
  /**
   * The protocol's limit where a machine had no connection to report on, and 400 ms of slack for a
   * busy test host.
   */
  private static final Duration NOTICE_WITHIN = Duration.ofMillis(8000 + 400);

  private static final int SLOW_MACHINES = 12;
  private static final long SLOW_ANSWER_MILLIS = 1200;

  /**
   * With the slow answers, some 200 offers are pending: more than the allowed connections to
   * machines.
   */
  private static final long REQUEST_INTERVAL_MILLIS = 6;

  private static final long BACKLOG_BUILDUP_MILLIS = 4000;
  private static final long TIME_LEFT_MILLIS = 2900;

  private static ScriptedHarness harness;
  private static int service = 1;

  @BeforeContainer
  static void startScheduler() throws Exception {
    harness = new ScriptedHarness();
  }

  @AfterContainer
  static void stopScheduler() throws Exception {
    harness.close();
  }

  private static void request(ScriptedClient client, String vm) {
    client.request(vm, HarnessConfiguration.LIMITED_CLASS, TIME_LEFT_MILLIS, service++);
  }

  @Example
  void endNoticeArrivesThoughOffersCouldUseAllConnections() throws Exception {
    ScriptedMachine draining = harness.addMachine();
    ScriptedClient client = harness.connect();
    String vm = harness.newVmId();
    request(client, vm);
    draining.accept(draining.awaitRequest(vm), vm);
    client.awaitAccepted(vm);
    for (int i = 0; i < SLOW_MACHINES; i++) {
      harness.addMachine().acceptAndEndEachAfter(SLOW_ANSWER_MILLIS);
    }
    harness.drain(draining);

    Thread requester =
        new Thread(() -> sendRequestsUntilInterrupted(harness.connectUnchecked()), "requester");
    requester.start();
    try {
      TimeUnit.MILLISECONDS.sleep(BACKLOG_BUILDUP_MILLIS);
      draining.sendOnAnyConnection(Message.ended(vm, Message.CAUSE_RESET, "dr"));
      Awaitility.await("notice of the end of " + vm)
          .atMost(NOTICE_WITHIN)
          .until(() -> client.hasEndNotice(vm));
    } finally {
      requester.interrupt();
      requester.join();
    }
  }

  private static void sendRequestsUntilInterrupted(ScriptedClient client) {
    try {
      while (true) {
        request(client, harness.newVmId());
        TimeUnit.MILLISECONDS.sleep(REQUEST_INTERVAL_MILLIS);
      }
    } catch (InterruptedException e) {
      // The test has ended.
    }
  }
}
