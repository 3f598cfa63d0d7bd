package fordridge.machine;

import static org.assertj.core.api.Assertions.assertThat;

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
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.Example;

/**
 * More machines that hold VMs than connections: each is listened to in turns, and set-ups find a
 * way.
 */
class ConnectionBudgetTest {
  private static final Duration TICK = Duration.ofMillis(50);
  private static final int MACHINES = 208;
  private static final int MOST = 60;

  private Duration now = Duration.ofSeconds(10);
  private int open;
  private int closing;
  private int unsent;
  private final List<Runnable> nextTick = new ArrayList<>();

  private final class Place implements MachineTransport, MachineConnectionPool.Listener {
    final Machine machine;
    final MachineConnectionPool connectionPool;
    final Map<MachineConnection, Boolean> connections = new HashMap<>();
    Duration longestUnheard = Duration.ZERO;
    Duration heard = now;

    Place(int i) {
      machine = new Machine(i);
      connectionPool =
          new MachineConnectionPool(
              machine,
              new ConnectionTimeouts(Duration.ofMillis(250), Duration.ofSeconds(3)),
              this,
              this);
      connectionPool.adopt(new PlacementAttempt(new Vm("runs" + i), machine, 0, now), now);
    }

    void looks() {
      if (!connections.isEmpty()) {
        heard = now;
      }
      Duration unheard = now.minus(heard);
      longestUnheard = unheard.compareTo(longestUnheard) > 0 ? unheard : longestUnheard;
    }

    @Override
    public boolean canOpen() {
      return open < MOST;
    }

    @Override
    public void open(MachineConnection s) {
      open++;
      nextTick.add(
          () -> {
            connections.put(s, true);
            connectionPool.connectionEstablished(s, now);
          });
    }

    @Override
    public void close(MachineConnection s) {
      connections.remove(s);
      closing++;
      nextTick.add(
          () -> {
            open--;
            closing--;
          });
    }

    @Override
    public void requestPlacement(MachineConnection s, PlacementAttempt attempt, Duration within) {
      nextTick.add(
          () ->
              connectionPool.vmTerminated(
                  s,
                  new VmTermination(
                      attempt.vm.id, Outcome.FULL, Optional.empty(), OutcomeReason.UNSPECIFIED),
                  now));
    }

    @Override
    public void cancel(MachineConnection connection, String vm) {}

    @Override
    public void terminate(MachineConnection connection, String vm) {}

    @Override
    public void probe(MachineConnection connection) {}

    @Override
    public void attemptAccepted(PlacementAttempt attempt, String description) {}

    @Override
    public void attemptEnded(PlacementAttempt attempt, Outcome end, OutcomeReason why) {
      assertThat(attempt.vm.id).as("nothing that runs is taken for lost").startsWith("new");
      unsent += end == Outcome.NOT_SENT ? 1 : 0;
    }

    @Override
    public void attemptEndedUnanswered(
        PlacementAttempt attempt, Outcome outcome, OutcomeReason reason) {
      throw new AssertionError("no machine reports on a VM here");
    }

    @Override
    public void probeCompleted(
        Machine m, boolean healthy, boolean withLoadReport, Duration roundTrip) {}
  }

  @Example
  void everyMachineIsListenedToInTurnsAndSetUpsGoOut() {
    List<Place> places = new ArrayList<>();
    for (int i = 0; i < MACHINES; i++) {
      places.add(new Place(i));
    }
    List<MachineConnectionPool> connectionPools =
        places.stream().map(p -> p.connectionPool).toList();
    Random r = new Random(5);
    int offered = 0;
    for (int t = 0; t < 1200; t++) {
      now = now.plus(TICK);
      List<Runnable> due = List.copyOf(nextTick);
      nextTick.clear();
      due.forEach(Runnable::run);
      if (t > 20 && t % 2 == 0) {
        Place to = places.get(r.nextInt(MACHINES));
        PlacementAttempt c = new PlacementAttempt(new Vm("new" + offered++), to.machine, 0, now);
        c.vm.attempts.add(c);
        to.connectionPool.offer(c, Duration.ofSeconds(1), t % 4 == 0, now);
      }
      connectionPools.forEach(x -> x.tick(now));
      ConnectionBudget.rebalance(connectionPools, open - closing, MOST, now);
      places.forEach(Place::looks);
      assertThat(open).isLessThanOrEqualTo(MOST);
    }
    assertThat(places)
        .allSatisfy(p -> assertThat(p.longestUnheard).isLessThan(Duration.ofSeconds(7)));
    assertThat(unsent).as("of " + offered + " set-ups").isLessThan(offered / 50);
  }
}
