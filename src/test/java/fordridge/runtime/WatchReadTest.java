package fordridge.runtime;

import static org.assertj.core.api.Assertions.assertThat;

import fordridge.machine.MachineConnectionPool;
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
  private final class Line implements MachineConnectionPool.Transport {
    final List<MachineConnectionPool.Connection> opening = new ArrayList<>();
    final List<Duration> writtenAt = new ArrayList<>();

    @Override
    public boolean mayOpen() {
      return true;
    }

    @Override
    public void open(MachineConnectionPool.Connection connection) {
      opening.add(connection);
    }

    @Override
    public void close(MachineConnectionPool.Connection connection) {}

    @Override
    public void setUp(
        MachineConnectionPool.Connection connection, PlacementAttempt attempt, Duration within) {
      writtenAt.add(time);
    }

    @Override
    public void giveUp(MachineConnectionPool.Connection connection, String vm) {}

    @Override
    public void cut(MachineConnectionPool.Connection connection, String vm) {}

    @Override
    public void probe(MachineConnectionPool.Connection connection) {}
  }

  /** How each claim ended. */
  private static final class Ends implements MachineConnectionPool.AttemptListener {
    final Map<PlacementAttempt, Outcome> ends = new HashMap<>();

    @Override
    public void bound(PlacementAttempt attempt, String description) {}

    @Override
    public void ended(PlacementAttempt attempt, Outcome end, OutcomeReason why) {
      ends.put(attempt, end);
    }

    @Override
    public void endedUnanswered(PlacementAttempt attempt, Outcome end, OutcomeReason why) {
      ends.put(attempt, end);
    }

    @Override
    public void probed(Machine machine, boolean ok, boolean told, Duration took) {}
  }

  private final Line line = new Line();
  private final Ends ends = new Ends();
  private final Machine machine = new Machine(7);
  private final MachineConnectionPool connectionPool =
      new MachineConnectionPool(
          machine,
          new MachineConnectionPool.ConnectionTimeouts(
              Duration.ofMillis(250), Duration.ofSeconds(3)),
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
      sequencer.enter(() -> connectionPool.listed(Machine.Lifecycle.DRAINING, time));
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
    for (MachineConnectionPool.Connection connection : List.copyOf(line.opening)) {
      costly(() -> connectionPool.connected(connection, time));
    }
    Duration latest = line.writtenAt.get(line.writtenAt.size() - 1);
    assertThat(latest)
        .isGreaterThan(DRAINED_AT.minus(INPUT_COST))
        .isLessThanOrEqualTo(DRAINED_AT.plus(LATEST_OFFER));
    assertThat(ends.ends).hasSize(OFFERS - line.writtenAt.size()).containsValue(Outcome.NOT_SENT);
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
