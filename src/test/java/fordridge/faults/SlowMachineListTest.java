package fordridge.faults;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterContainer;
import net.jqwik.api.lifecycle.AfterTry;
import net.jqwik.api.lifecycle.BeforeContainer;
import org.awaitility.Awaitility;

/**
 * Guards against offers to a drained machine while the server of the machine list is slow: its
 * drain has to be known four seconds after it was announced. A real scheduler process on real
 * sockets.
 */
class SlowMachineListTest {
  /**
   * From the announcement of a drain to the last offer: the grace period and the slack of the
   * protocol page.
   */
  private static final Duration LAST_OFFER_AFTER_EVENT = Duration.ofMillis(500 + 50);

  /** Longer than the time after which a silent watch is late. */
  private static final long STANDSTILL_MILLIS = 1900;

  private static final int STANDSTILLS = 5;

  private static final long REQUEST_INTERVAL_MILLIS = 50;

  /** Enough for a request that has waited for the process to go on. */
  private static final long TIME_LEFT_MILLIS = 3000;

  private static ScriptedHarness harness;

  private final ScheduledExecutorService timers = Executors.newScheduledThreadPool(1);
  private ScriptedMachine drained;
  private ScriptedMachine remaining;
  private int service;

  @BeforeContainer
  static void startScheduler() throws Exception {
    harness = new ScriptedHarness();
  }

  @AfterContainer
  static void stopScheduler() throws Exception {
    harness.close();
  }

  @AfterTry
  void stopLoad() throws Exception {
    timers.shutdownNow();
    timers.awaitTermination(1, TimeUnit.SECONDS);
    harness.removeMachines();
  }

  /** Requests at a steady rate, with two machines that accept each of them. */
  @SuppressWarnings("FutureReturnValueIgnored") // Stopped with the timers.
  private void startLoad() throws Exception {
    drained = harness.addMachine();
    remaining = harness.addMachine();
    drained.acceptAndEndEachAfter(1);
    remaining.acceptAndEndEachAfter(1);
    ScriptedClient client = harness.connect();
    timers.scheduleAtFixedRate(
        () ->
            client.request(
                harness.newVmId(), HarnessConfiguration.LIMITED_CLASS, TIME_LEFT_MILLIS, ++service),
        0,
        REQUEST_INTERVAL_MILLIS,
        TimeUnit.MILLISECONDS);
    awaitOfferTo(drained);
    awaitOfferTo(remaining);
  }

  private static void awaitOfferTo(ScriptedMachine machine) {
    long sinceNanos = System.nanoTime();
    Awaitility.await("offer to " + machine.id())
        .until(() -> machine.lastRequestNanos() > sinceNanos);
  }

  private static void awaitPassed(long sinceNanos, Duration time) {
    Awaitility.await()
        .atMost(time.plusSeconds(10))
        .until(() -> System.nanoTime() - sinceNanos > time.toNanos());
  }

  /**
   * The watch was judged silent before its socket was read, and was closed with a drain unread in
   * it, when the process went on after it had stood still.
   */
  @Example
  void drainThatArrivesWhileTheProcessStandsStillIsReadFirst() throws Exception {
    startLoad();

    for (int i = 0; i < STANDSTILLS; i++) {
      Duration lastOffer = lastOfferAfterDrainInStandstill();

      assertThat(lastOffer).isLessThanOrEqualTo(LAST_OFFER_AFTER_EVENT);
      harness.endDrain(drained);
      awaitOfferTo(drained);
    }
  }

  private Duration lastOfferAfterDrainInStandstill() throws Exception {
    harness.stopProcess();
    long drainedNanos = System.nanoTime();
    harness.drain(drained);
    ScheduledFuture<?> resumed =
        timers.schedule(this::continueProcess, STANDSTILL_MILLIS, TimeUnit.MILLISECONDS);
    awaitPassed(drainedNanos, Duration.ofMillis(STANDSTILL_MILLIS).plus(LAST_OFFER_AFTER_EVENT));
    assertThat(resumed.isDone()).isTrue();
    awaitOfferTo(remaining);
    return Duration.ofNanos(drained.lastRequestNanos() - drainedNanos);
  }

  private Void continueProcess() throws Exception {
    harness.continueProcess();
    return null;
  }
}
