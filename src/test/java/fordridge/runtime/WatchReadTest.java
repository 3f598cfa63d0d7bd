package fordridge.runtime;

import static org.assertj.core.api.Assertions.assertThat;

import fordridge.machine.ConnectionTimeouts;
import fordridge.machine.MachineConnection;
import fordridge.machine.MachineConnectionCloseReason;
import fordridge.machine.MachineConnectionListener;
import fordridge.machine.MachineConnectionPool;
import fordridge.machine.MachineFailure;
import fordridge.machine.MachineTransport;
import fordridge.machine.OfferConnectionQuota;
import fordridge.machine.RetainedEntries;
import fordridge.machine.VmTermination;
import fordridge.model.Machine;
import fordridge.model.PlacementAttempt;
import fordridge.model.PlacementAttempt.Outcome;
import fordridge.model.PlacementAttempt.OutcomeReason;
import fordridge.model.Vm;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import net.jqwik.api.Example;

/**
 * An event loop has many more inputs in one turn than it can run in time, and a machine is drained
 * meanwhile: offers must stop soon after the drain although the turn goes on. Every input advances
 * the clock.
 */
class WatchReadTest {
  private static final Duration INPUT_COST = Duration.ofMillis(5);
  private static final Duration DRAINED_AT = Duration.ofMillis(300);
  private static final Duration READ_INTERVAL = Duration.ofMillis(50);
  private static final Duration MAX_OFFER_DELAY = Duration.ofMillis(100);
  private static final int OFFERS = 400;

  /** Records the connections that are being opened, and when each placement request was written. */
  private final class FakeTransport implements MachineTransport {
    final List<MachineConnection> opening = new ArrayList<>();
    final List<Duration> writtenAt = new ArrayList<>();

    @Override
    public boolean canOpen() {
      return true;
    }

    @Override
    public void open(MachineConnection connection) {
      opening.add(connection);
    }

    @Override
    public void close(MachineConnection connection, MachineConnectionCloseReason reason) {}

    @Override
    public boolean isConnected(MachineConnection connection) {
      return false;
    }

    @Override
    public boolean isWritable(MachineConnection connection) {
      return true;
    }

    @Override
    public boolean failedLocally(MachineConnection connection) {
      return false;
    }

    @Override
    public boolean requestPlacement(
        MachineConnection connection, PlacementAttempt attempt, Duration within) {
      writtenAt.add(time);
      return true;
    }

    @Override
    public void cancel(MachineConnection connection, String vm) {}

    @Override
    public void terminate(MachineConnection connection, String vm) {}

    @Override
    public void probe(MachineConnection connection) {}

    @Override
    public void ping(MachineConnection connection) {}
  }

  /** Records the outcome of each attempt. */
  private static final class OutcomeRecorder implements MachineConnectionListener {
    final Map<PlacementAttempt, Outcome> byAttempt = new HashMap<>();

    @Override
    public boolean confirmSend(PlacementAttempt attempt) {
      return true;
    }

    @Override
    public void attemptAccepted(PlacementAttempt attempt, String description) {}

    @Override
    public void attemptEnded(PlacementAttempt attempt, Outcome outcome, OutcomeReason reason) {
      byAttempt.put(attempt, outcome);
    }

    @Override
    public void unknownVmTerminated(VmTermination termination, Machine ended) {}

    @Override
    public void unknownVmAccepted(String vmId, Machine accepting) {}

    @Override
    public void attemptEndedUnanswered(
        PlacementAttempt attempt, Outcome outcome, OutcomeReason reason) {
      byAttempt.put(attempt, outcome);
    }

    @Override
    public void attemptWithdrawn(PlacementAttempt attempt, boolean wasSent) {}

    @Override
    public void releaseSent(String vmId, Machine asked) {}

    @Override
    public void releaseSettled(String vmId, Machine asked) {}

    @Override
    public void machineFailed(Machine failed, MachineFailure failure, int runningVms) {}

    @Override
    public void probeCompleted(
        Machine machine, boolean healthy, boolean withLoadReport, Duration roundTrip) {}
  }

  private final FakeTransport transport = new FakeTransport();
  private final OutcomeRecorder outcomes = new OutcomeRecorder();
  private final Machine machine = new Machine(7);
  private final MachineConnectionPool connectionPool =
      new MachineConnectionPool(
          machine,
          new ConnectionTimeouts(Duration.ofMillis(250), Duration.ofSeconds(3)),
          new OfferConnectionQuota(),
          new RetainedEntries(),
          transport,
          outcomes);
  private Duration time = Duration.ZERO;
  private final EventSequencer sequencer =
      new EventSequencer(
          () -> time.toNanos(),
          at -> {},
          e -> {
            throw new AssertionError(e);
          });
  private boolean isDrainRead;

  private void enterCostly(Runnable input) {
    sequencer.submit(
        () -> {
          time = time.plus(INPUT_COST);
          input.run();
        });
  }

  private void readWatch() {
    if (time.compareTo(DRAINED_AT) >= 0 && !isDrainRead) {
      isDrainRead = true;
      sequencer.submit(() -> connectionPool.machineListed(Machine.Lifecycle.DRAINING, time));
    }
  }

  /**
   * All connections are established in one turn of the loop, and the drain is reported in the
   * middle of it.
   */
  @Example
  void noOfferIsWrittenLongAfterADrainInALongLoopTurn() {
    sequencer.setWatchReader(this::readWatch, READ_INTERVAL);
    for (int i = 0; i < OFFERS; i++) {
      connectionPool.offer(
          new PlacementAttempt(new Vm("vm" + i), machine, 0, time),
          Duration.ofSeconds(4),
          false,
          time);
    }
    for (MachineConnection connection : List.copyOf(transport.opening)) {
      enterCostly(() -> connectionPool.connectionEstablished(connection, time));
    }
    Duration latest = transport.writtenAt.get(transport.writtenAt.size() - 1);
    assertThat(latest)
        .isGreaterThan(DRAINED_AT.minus(INPUT_COST))
        .isLessThanOrEqualTo(DRAINED_AT.plus(MAX_OFFER_DELAY));
    assertThat(outcomes.byAttempt)
        .hasSize(OFFERS - transport.writtenAt.size())
        .containsValue(Outcome.NOT_SENT);
  }

  /**
   * Guards the measured delay of the latest offer after a drain. It counts from the last read that
   * did not show the drain, so an event that the loop itself read must not count as a read of the
   * watch.
   */
  @Example
  void eventEnteredFromTheWatchDoesNotCountAsAWatchRead() {
    List<Duration> known = new ArrayList<>();
    sequencer.setWatchReader(() -> {}, READ_INTERVAL);
    time = READ_INTERVAL;
    sequencer.submit(() -> {});
    time = time.plus(READ_INTERVAL.multipliedBy(2));
    sequencer.submitFromWatch(() -> known.add(sequencer.watchReadAt()));
    assertThat(known).containsExactly(READ_INTERVAL);
  }

  @Example
  void watchIsReadOnlyWhenDueAndNeverReentrantly() {
    List<Duration> reads = new ArrayList<>();
    sequencer.setWatchReader(
        () -> {
          reads.add(time);
          sequencer.submit(() -> {});
        },
        READ_INTERVAL);
    for (int i = 0; i < OFFERS; i++) {
      enterCostly(() -> sequencer.submit(() -> {}));
    }
    assertThat(reads)
        .hasSize((int) (OFFERS * INPUT_COST.toMillis() / READ_INTERVAL.toMillis()) - 1);
    assertThat(sequencer.watchReadAt()).isEqualTo(reads.get(reads.size() - 1));
  }
}
