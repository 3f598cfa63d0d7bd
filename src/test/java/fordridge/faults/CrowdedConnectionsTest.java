package fordridge.faults;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterContainer;
import net.jqwik.api.lifecycle.BeforeContainer;
import org.awaitility.Awaitility;

/** A real scheduler process hears of its VMs though its offers could use up every connection. */
class CrowdedConnectionsTest {
  /** The protocol's time where a machine had no connection to say it on, and the test machine's. */
  private static final Duration TOLD_WITHIN = Duration.ofMillis(8000 + 400);

  private static final int SLOW_MACHINES = 12;
  private static final long SLOW_ANSWER_MILLIS = 1200;

  /** With the slow answers, some 200 offers are pending: more than connections to machines. */
  private static final long REQUEST_INTERVAL_MILLIS = 6;

  private static final long CROWDED_AFTER_MILLIS = 4000;
  private static final long LEFT_MILLIS = 2900;

  private static ScriptedRig rig;
  private static int service = 1;

  @BeforeContainer
  static void startScheduler() throws Exception {
    rig = new ScriptedRig();
  }

  @AfterContainer
  static void stopScheduler() throws Exception {
    rig.close();
  }

  private static void request(ScriptedClient client, String vm) {
    client.request(vm, RigConfiguration.LIMITED_CLASS, LEFT_MILLIS, service++);
  }

  @Example
  void endOfAVmIsToldThoughOffersCouldUseAllConnections() throws Exception {
    ScriptedMachine draining = rig.addMachine();
    ScriptedClient client = rig.connect();
    String vm = rig.newVmId();
    request(client, vm);
    draining.accept(draining.awaitRequest(vm), vm);
    client.awaitAccepted(vm);
    for (int i = 0; i < SLOW_MACHINES; i++) {
      rig.addMachine().runEachToItsEndAfter(SLOW_ANSWER_MILLIS);
    }
    rig.drain(draining);

    Thread crowd = new Thread(() -> requestForever(rig.connectUnchecked()), "crowd");
    crowd.start();
    try {
      TimeUnit.MILLISECONDS.sleep(CROWDED_AFTER_MILLIS);
      draining.sendOnAnyConnection(Message.ended(vm, Message.CAUSE_RESET, "dr"));
      Awaitility.await("the end of " + vm + " is told")
          .atMost(TOLD_WITHIN)
          .until(() -> client.isTold(vm));
    } finally {
      crowd.interrupt();
      crowd.join();
    }
  }

  private static void requestForever(ScriptedClient client) {
    try {
      while (true) {
        request(client, rig.newVmId());
        TimeUnit.MILLISECONDS.sleep(REQUEST_INTERVAL_MILLIS);
      }
    } catch (InterruptedException e) {
      // The test ends.
    }
  }
}
