package fordridge.runtime;

import static org.assertj.core.api.Assertions.assertThat;

import fordridge.machine.ConnectionTimeouts;
import fordridge.machine.MachineCloseReason;
import fordridge.machine.MachineConnection;
import fordridge.machine.MachineConnectionListener;
import fordridge.machine.MachineConnectionPool;
import fordridge.machine.MachineFailure;
import fordridge.machine.MachineTransport;
import fordridge.machine.OfferAllowance;
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
 * A loop with far more to do in one round than it bears is told of a drain in the middle; every
 * input costs it time.
 */
class WatchReadTest {
  private static final Duration INPUT_COST = Duration.ofMillis(5);
  private static final Duration DRAINED_AT = Duration.ofMillis(300);
  private static final Duration READ_EVERY = Duration.ofMillis(50);
  private static final Duration LATEST_OFFER = Duration.ofMillis(100);
  private static final int OFFERS = 400;

  /** The machine's connections, and when a set-up was written on one. */
  private final class Line implements MachineTransport {
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
    public void close(MachineConnection connection, MachineCloseReason reason) {}

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
    public void requestPlacement(
        MachineConnection connection, PlacementAttempt attempt, Duration within) {
      writtenAt.add(time);
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

  /** How each claim ended. */
  private static final class Ends implements MachineConnectionListener {
    final Map<PlacementAttempt, Outcome> ends = new HashMap<>();

    @Override
    public boolean confirmSend(PlacementAttempt attempt) {
      return true;
    }

    @Override
    public void attemptAccepted(PlacementAttempt attempt, String description) {}

    @Override
    public void attemptEnded(PlacementAttempt attempt, Outcome end, OutcomeReason why) {
      ends.put(attempt, end);
    }

    @Override
    public void unknownVmEnded(VmTermination termination, Machine ended) {}

    @Override
    public void unknownVmAccepted(String vmId, Machine accepting) {}

    @Override
    public void attemptEndedUnanswered(PlacementAttempt attempt, Outcome end, OutcomeReason why) {
      ends.put(attempt, end);
    }

    @Override
    public void attemptWithdrawn(PlacementAttempt attempt, boolean hasGoneOut) {}

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

  private final Line line = new Line();
  private final Ends ends = new Ends();
  private final Machine machine = new Machine(7);
  private final MachineConnectionPool connectionPool =
      new MachineConnectionPool(
          machine,
          new ConnectionTimeouts(Duration.ofMillis(250), Duration.ofSeconds(3)),
          new OfferAllowance(),
          line,
          ends);
  private Duration time = Duration.ZERO;
  private final EventSequencer sequencer =
      new EventSequencer(
          () -> time.toNanos(),
          at -> {},
          e -> {
            throw new AssertionError(e);
          });
  private boolean drainRead;

  private void costly(Runnable input) {
    sequencer.enter(
        () -> {
          time = time.plus(INPUT_COST);
          input.run();
        });
  }

  private void readWatch() {
    if (time.compareTo(DRAINED_AT) >= 0 && !drainRead) {
      drainRead = true;
      sequencer.enter(() -> connectionPool.machineListed(Machine.Lifecycle.DRAINING, time));
    }
  }

  /**
   * All connections come up in one round of the loop, and the drain is told in the middle of it.
   */
  @Example
  void nothingIsOfferedLongAfterADrainHoweverLongTheRound() {
    sequencer.watch(this::readWatch, READ_EVERY);
    for (int i = 0; i < OFFERS; i++) {
      connectionPool.offer(
          new PlacementAttempt(new Vm("vm" + i), machine, 0, time),
          Duration.ofSeconds(4),
          false,
          time);
    }
    for (MachineConnection connection : List.copyOf(line.opening)) {
      costly(() -> connectionPool.connectionEstablished(connection, time));
    }
    Duration latest = line.writtenAt.get(line.writtenAt.size() - 1);
    assertThat(latest)
        .isGreaterThan(DRAINED_AT.minus(INPUT_COST))
        .isLessThanOrEqualTo(DRAINED_AT.plus(LATEST_OFFER));
    assertThat(ends.ends).hasSize(OFFERS - line.writtenAt.size()).containsValue(Outcome.NOT_SENT);
  }

  /**
   * Guards the figure of the latest offer, counted from the last read that did not know of a drain.
   */
  @Example
  void whatTheLoopReadFromTheWatchIsNoReadOfItsOwn() {
    List<Duration> known = new ArrayList<>();
    sequencer.watch(() -> {}, READ_EVERY);
    time = READ_EVERY;
    sequencer.enter(() -> {});
    time = time.plus(READ_EVERY.multipliedBy(2));
    sequencer.enterFromWatch(() -> known.add(sequencer.watchReadAt()));
    assertThat(known).containsExactly(READ_EVERY);
  }

  @Example
  void theWatchIsReadNoMoreOftenThanItIsDueAndNeverFromWithin() {
    List<Duration> reads = new ArrayList<>();
    sequencer.watch(
        () -> {
          reads.add(time);
          sequencer.enter(() -> {});
        },
        READ_EVERY);
    for (int i = 0; i < OFFERS; i++) {
      costly(() -> sequencer.enter(() -> {}));
    }
    assertThat(reads).hasSize((int) (OFFERS * INPUT_COST.toMillis() / READ_EVERY.toMillis()) - 1);
    assertThat(sequencer.watchReadAt()).isEqualTo(reads.get(reads.size() - 1));
  }
}
