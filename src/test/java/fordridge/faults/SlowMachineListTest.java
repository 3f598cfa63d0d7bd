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
   * From the announcement of a drain to the last offer: the time after which an event of a slow
   * server counts as announced, the grace period, and the slack of the protocol page.
   */
  private static final Duration LAST_OFFER_AFTER_DRAIN = Duration.ofMillis(4000 + 500 + 50);

  /** The same for an event that has been sent to the scheduler. */
  private static final Duration LAST_OFFER_AFTER_EVENT = Duration.ofMillis(500 + 50);

  /** Longer than the time after which a silent watch is late. */
  private static final long STANDSTILL_MILLIS = 1900;

  private static final int STANDSTILLS = 5;

  private static final Duration OBSERVATION = LAST_OFFER_AFTER_DRAIN.plusMillis(1500);
  private static final long REQUEST_INTERVAL_MILLIS = 50;

  /** Enough for a request that has waited for the process to go on. */
  private static final long TIME_LEFT_MILLIS = 3000;

  private static final int MACHINES_OF_LONG_LIST = 400;

  private static ScriptedHarness harness;

  private final ScheduledExecutorService timers = Executors.newScheduledThreadPool(1);
  private ScriptedMachine drained;
  private ScriptedMachine remaining;
  private ScheduledFuture<?> load;
  private int service;

  /** What takes the machine list server or the scheduler out of its usual course. */
  private interface Trouble {
    void start() throws Exception;
  }

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
    harness.machineList().delayFirstLines(0);
    harness.machineList().sendFirstLinesOver(0);
    harness.machineList().resetConnections();
    harness.removeMachines();
  }

  /** Requests at a steady rate, with two machines that accept each of them. */
  private void startLoad() throws Exception {
    drained = harness.addMachine();
    remaining = harness.addMachine();
    drained.acceptAndEndEachAfter(1);
    remaining.acceptAndEndEachAfter(1);
    ScriptedClient client = harness.connect();
    load =
        timers.scheduleAtFixedRate(
            () ->
                client.request(
                    harness.newVmId(),
                    HarnessConfiguration.LIMITED_CLASS,
                    TIME_LEFT_MILLIS,
                    ++service),
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

  /**
   * Starts the trouble, drains a machine, and returns the time from the drain to its last offer.
   */
  private Duration lastOfferAfterDrain(Trouble trouble, Duration observation) throws Exception {
    startLoad();
    trouble.start();
    long drainedNanos = System.nanoTime();
    harness.drain(drained);
    awaitPassed(drainedNanos, observation);
    assertThat(load.isDone()).isFalse();
    assertThat(remaining.lastRequestNanos()).isGreaterThan(drained.lastRequestNanos());
    return Duration.ofNanos(drained.lastRequestNanos() - drainedNanos);
  }

  private static void awaitPassed(long sinceNanos, Duration time) {
    Awaitility.await()
        .atMost(time.plusSeconds(10))
        .until(() -> System.nanoTime() - sinceNanos > time.toNanos());
  }

  /** The wait for a first line was limited by the interval of positions on a running watch. */
  @Example
  void firstLineThatTakesLongerThanTheSilenceTimeoutIsAwaited() throws Exception {
    MachineListServer machineList = harness.machineList();

    Duration lastOffer =
        lastOfferAfterDrain(
            () -> {
              machineList.delayFirstLines(2500);
              machineList.resetConnections();
            },
            OBSERVATION);

    assertThat(lastOffer).isLessThanOrEqualTo(LAST_OFFER_AFTER_DRAIN);
  }

  /** As above, for the bytes of one long line. */
  @Example
  void firstLineWhoseBytesKeepComingIsAwaited() throws Exception {
    MachineListServer machineList = harness.machineList();
    machineList.addToCompleteList(MACHINES_OF_LONG_LIST);

    Duration lastOffer =
        lastOfferAfterDrain(
            () -> {
              machineList.sendFirstLinesOver(3000);
              machineList.resetConnections();
            },
            OBSERVATION);

    assertThat(lastOffer).isLessThanOrEqualTo(LAST_OFFER_AFTER_DRAIN);
  }

  /** A server that has hung has to be asked again while its answer may still be slow. */
  @Example
  void hungServerThatThenAnswersSlowlyIsAskedInTime() throws Exception {
    MachineListServer machineList = harness.machineList();

    Duration lastOffer =
        lastOfferAfterDrain(
            () -> {
              machineList.delayFirstLines(2000);
              machineList.hang();
            },
            OBSERVATION);

    assertThat(lastOffer).isLessThanOrEqualTo(LAST_OFFER_AFTER_DRAIN);
  }

  /** Each failed wait started again with the same short time, so that no watch made progress. */
  @Example
  void serverThatIsSlowerThanAllTimeoutsIsHeardAtLast() throws Exception {
    MachineListServer machineList = harness.machineList();
    int watchesBefore = machineList.watchCount();

    Duration lastOffer =
        lastOfferAfterDrain(
            () -> {
              machineList.delayFirstLines(6000);
              machineList.resetConnections();
            },
            Duration.ofSeconds(9));

    assertThat(lastOffer).isLessThan(Duration.ofSeconds(7));
    assertThat(machineList.watchCount() - watchesBefore).isLessThanOrEqualTo(4);
  }

  /** The first watch at an address that a new configuration names. */
  @Example
  void newAddressThatAnswersSlowlyIsAwaited() throws Exception {
    MachineListServer machineList = harness.machineList();

    Duration lastOffer =
        lastOfferAfterDrain(
            () -> {
              machineList.delayFirstLines(3300);
              harness.changeMachineListAddress();
            },
            OBSERVATION);

    assertThat(lastOffer).isLessThanOrEqualTo(LAST_OFFER_AFTER_DRAIN);
  }

  /**
   * The watch was judged silent before its socket was read, and was closed with a drain unread in
   * it, when the process went on after it had stood still.
   */
  @Example
  void drainThatArrivesWhileTheProcessStandsStillIsReadFirst() throws Exception {
    startLoad();

    for (int i = 0; i < STANDSTILLS; i++) {
      drainTheMachineInUse();
      Duration lastOffer = lastOfferAfterDrainInStandstill();

      assertThat(lastOffer).isLessThanOrEqualTo(LAST_OFFER_AFTER_EVENT);
      harness.endDrain(drained);
    }
  }

  /**
   * The next drain is of the machine with the last offer: the scheduler may avoid the other one, if
   * it had an offer in flight while the process stood still.
   */
  private void drainTheMachineInUse() {
    if (remaining.lastRequestNanos() > drained.lastRequestNanos()) {
      ScriptedMachine other = drained;
      drained = remaining;
      remaining = other;
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
