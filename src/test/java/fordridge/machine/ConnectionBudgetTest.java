package fordridge.machine;

import static org.assertj.core.api.Assertions.assertThat;

import fordridge.model.PlacementAttempt;
import fordridge.model.PlacementAttempt.Outcome;
import fordridge.model.PlacementAttempt.OutcomeReason;
import fordridge.model.Vm;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.Example;

/** {@link ConnectionBudget} with more machines with VMs than connections. */
class ConnectionBudgetTest {
  private static final Duration TICK = Duration.ofMillis(50);
  private static final Duration TIME_LEFT = Duration.ofSeconds(1);
  private static final Duration MAX_TIME_UNCONNECTED = Duration.ofSeconds(7);
  private static final int MACHINES = 208;
  private static final int MAX_CONNECTIONS = 60;
  private static final int RUNNING_MACHINES = 50;
  private static final int HANGING_OFFERS_PER_TICK = 4;
  private static final int TICKS = 1200;
  private static final int TICKS_BEFORE_OFFERS = 20;

  private Duration now = Duration.ofSeconds(10);
  private int openCount;
  private int closingCount;
  private int notSentCount;
  private final List<PlacementAttempt> unanswered = new ArrayList<>();
  private final List<Runnable> nextTick = new ArrayList<>();
  private final OfferConnectionQuota sharedOffers = new OfferConnectionQuota();

  /** A machine that runs one VM, rejects all others, and answers in the next tick. */
  private class FullMachine extends MachinePoolStub {
    final Set<MachineConnection> established = new HashSet<>();
    Duration longestUnconnected = Duration.ZERO;
    Duration lastConnectedAt = now;

    FullMachine(int id) {
      super(id, sharedOffers);
      pool.adopt(new PlacementAttempt(new Vm("runs" + id), machine, 0, now), now);
    }

    void recordTimeUnconnected() {
      if (!established.isEmpty()) {
        lastConnectedAt = now;
      }
      Duration unconnected = now.minus(lastConnectedAt);
      longestUnconnected =
          unconnected.compareTo(longestUnconnected) > 0 ? unconnected : longestUnconnected;
    }

    @Override
    public boolean canOpen() {
      return openCount < MAX_CONNECTIONS;
    }

    @Override
    public void open(MachineConnection connection) {
      openCount++;
      nextTick.add(
          () -> {
            established.add(connection);
            pool.connectionEstablished(connection, now);
          });
    }

    @Override
    public void close(MachineConnection connection, MachineConnectionCloseReason reason) {
      established.remove(connection);
      closingCount++;
      nextTick.add(
          () -> {
            openCount--;
            closingCount--;
          });
    }

    @Override
    public boolean requestPlacement(
        MachineConnection connection, PlacementAttempt attempt, Duration timeLeft) {
      VmTermination rejection =
          new VmTermination(
              attempt.vm.id, Outcome.FULL, Optional.empty(), OutcomeReason.UNSPECIFIED);
      nextTick.add(() -> pool.vmTerminated(connection, rejection, now));
      return true;
    }

    @Override
    public void attemptEnded(PlacementAttempt attempt, Outcome outcome, OutcomeReason reason) {
      assertThat(attempt.vm.id).as("no running VM counts as lost").startsWith("new");
      notSentCount += outcome == Outcome.NOT_SENT ? 1 : 0;
    }
  }

  @Example
  void allMachinesAreMonitoredInTurnWhileOffersAreSent() {
    List<FullMachine> machines = new ArrayList<>();
    for (int i = 0; i < MACHINES; i++) {
      machines.add(new FullMachine(i));
    }
    List<MachineConnectionPool> pools = machines.stream().map(machine -> machine.pool).toList();
    Random random = new Random(5);
    int offered = 0;
    for (int tick = 0; tick < TICKS; tick++) {
      now = now.plus(TICK);
      runDueEvents();
      if (tick > TICKS_BEFORE_OFFERS && tick % 2 == 0) {
        FullMachine target = machines.get(random.nextInt(MACHINES));
        PlacementAttempt attempt = target.newAttempt("new" + offered++, now);
        target.pool.offer(attempt, TIME_LEFT, tick % 4 == 0, now);
      }
      pools.forEach(pool -> pool.tick(now));
      ConnectionBudget.rebalance(
          pools, openCount - closingCount, MAX_CONNECTIONS, sharedOffers, now);
      machines.forEach(FullMachine::recordTimeUnconnected);
      assertThat(openCount).isLessThanOrEqualTo(MAX_CONNECTIONS);
    }
    assertThat(machines)
        .allSatisfy(
            machine -> assertThat(machine.longestUnconnected).isLessThan(MAX_TIME_UNCONNECTED));
    assertThat(notSentCount).as("not sent of " + offered + " requests").isLessThan(offered / 50);
  }

  /** A machine that runs nothing and never answers. */
  private final class HangingMachine extends FullMachine {
    HangingMachine(int id) {
      super(id);
      pool.vmLost("runs" + id);
    }

    @Override
    public boolean requestPlacement(
        MachineConnection connection, PlacementAttempt attempt, Duration timeLeft) {
      unanswered.add(attempt);
      return true;
    }

    @Override
    public void attemptEnded(PlacementAttempt attempt, Outcome outcome, OutcomeReason reason) {}
  }

  @Example
  void machinesWithVmsAreMonitoredInTurnWhileOffersHangElsewhere() {
    List<FullMachine> running = new ArrayList<>();
    List<FullMachine> hanging = new ArrayList<>();
    for (int i = 0; i < RUNNING_MACHINES; i++) {
      running.add(new FullMachine(i));
      hanging.add(new HangingMachine(RUNNING_MACHINES + i));
    }
    List<MachineConnectionPool> pools = new ArrayList<>();
    running.forEach(machine -> pools.add(machine.pool));
    hanging.forEach(machine -> pools.add(machine.pool));
    int offered = 0;
    for (int tick = 0; tick < TICKS; tick++) {
      now = now.plus(TICK);
      runDueEvents();
      for (int i = 0; i < HANGING_OFFERS_PER_TICK; i++) {
        FullMachine target = hanging.get(offered % RUNNING_MACHINES);
        PlacementAttempt attempt = target.newAttempt("new" + offered++, now);
        target.pool.offer(attempt, TIME_LEFT, true, now);
      }
      while (unanswered.size() > MAX_CONNECTIONS * 2) {
        PlacementAttempt oldest = unanswered.remove(0);
        hanging
            .get((int) oldest.machine.id - RUNNING_MACHINES)
            .pool
            .cancel(oldest, Outcome.TIMEOUT, now);
      }
      pools.forEach(pool -> pool.tick(now));
      ConnectionBudget.rebalance(
          pools, openCount - closingCount, MAX_CONNECTIONS, sharedOffers, now);
      running.forEach(FullMachine::recordTimeUnconnected);
      assertThat(openCount).isLessThanOrEqualTo(MAX_CONNECTIONS);
    }
    assertThat(running)
        .allSatisfy(
            machine -> assertThat(machine.longestUnconnected).isLessThan(MAX_TIME_UNCONNECTED));
  }

  private void runDueEvents() {
    List<Runnable> due = List.copyOf(nextTick);
    nextTick.clear();
    due.forEach(Runnable::run);
  }
}
