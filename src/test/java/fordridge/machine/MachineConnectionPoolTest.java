package fordridge.machine;

import static org.assertj.core.api.Assertions.assertThat;

import fordridge.model.Machine;
import fordridge.model.PlacementAttempt;
import fordridge.model.PlacementAttempt.Outcome;
import fordridge.model.PlacementAttempt.OutcomeReason;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

class MachineConnectionPoolTest {
  private static VmTermination termination(
      PlacementAttempt attempt, Outcome ifPending, Outcome ifRunning) {
    return new VmTermination(
        attempt.vm.id, ifPending, Optional.ofNullable(ifRunning), OutcomeReason.UNSPECIFIED);
  }

  @Example
  void unsentRequestsEndAsUnreachable() {
    PoolFixture fixture = new PoolFixture();
    PlacementAttempt refused = fixture.offer();
    fixture.pool.connectionFailed(fixture.newestConnection(), ConnectFailure.REFUSED, fixture.now);
    assertThat(fixture.outcomes.get(refused)).isEqualTo(Outcome.UNREACHABLE);
    PlacementAttempt slow = fixture.offer();
    fixture.advance(300);
    assertThat(fixture.outcomes.get(slow)).isEqualTo(Outcome.UNREACHABLE);
    PlacementAttempt cancelled = fixture.offer();
    fixture.pool.cancel(cancelled, Outcome.TIMEOUT, fixture.now);
    assertThat(fixture.outcomes.get(cancelled)).isEqualTo(Outcome.UNREACHABLE);
  }

  @Example
  void requestThatTheNetworkDidNotTakeEndsAsUnreachable() {
    PoolFixture fixture = new PoolFixture();
    fixture.writesFail = true;
    PlacementAttempt attempt = fixture.offerAndConnect();
    MachineConnection connection = fixture.newestConnection();
    fixture.pool.connectionLost(connection, fixture.now);
    assertThat(fixture.sent.get(connection)).containsExactly("new " + attempt.vm.id);
    assertThat(fixture.outcomes)
        .containsOnlyKeys(attempt)
        .containsEntry(attempt, Outcome.UNREACHABLE);
    assertThat(attempt.mayStillRun).isFalse();
  }

  @Example
  void brokenConnectionEndsOnlyTheRequestItCarries() {
    PoolFixture fixture = new PoolFixture();
    PlacementAttempt running = fixture.startVm();
    PlacementAttempt one = fixture.offerAndConnect();
    MachineConnection broken = fixture.newestConnection();
    PlacementAttempt other = fixture.offerAndConnect();
    assertThat(fixture.newestConnection()).isNotSameAs(broken);
    fixture.pool.connectionLost(broken, fixture.now);
    assertThat(fixture.outcomes).containsOnlyKeys(one).containsEntry(one, Outcome.RESET);
    fixture.pool.vmAccepted(fixture.newestConnection(), other.vm.id, "d", fixture.now);
    assertThat(fixture.accepted).containsOnlyKeys(running, other);
  }

  @Example
  void lateRepeatedAndUnknownMessagesAreIgnored() {
    PoolFixture fixture = new PoolFixture();
    PlacementAttempt attempt = fixture.offerAndConnect();
    MachineConnection connection = fixture.newestConnection();
    fixture.pool.vmAccepted(connection, "of somebody else", "x", fixture.now);
    fixture.pool.vmAccepted(connection, attempt.vm.id, "d", fixture.now);
    fixture.pool.vmAccepted(connection, attempt.vm.id, "d again", fixture.now);
    assertThat(fixture.accepted).containsExactly(Map.entry(attempt, "d"));
    fixture.pool.vmTerminated(connection, termination(attempt, Outcome.FULL, null), fixture.now);
    assertThat(fixture.outcomes).isEmpty();
    fixture.pool.vmTerminated(
        connection, termination(attempt, Outcome.RESET, Outcome.DONE), fixture.now);
    fixture.pool.vmTerminated(
        connection, termination(attempt, Outcome.RESET, Outcome.DONE), fixture.now);
    assertThat(fixture.outcomes).containsExactly(Map.entry(attempt, Outcome.DONE));
  }

  /**
   * Guards against placing a VM twice: it ran and was terminated before the late answer to its
   * request arrived, and was then placed again elsewhere.
   */
  @Example
  void terminationOfAReportedVmEndsItUnanswered() {
    for (Outcome after : List.of(Outcome.DONE, Outcome.RESET)) {
      PoolFixture fixture = new PoolFixture();
      PlacementAttempt reported = fixture.offerAndConnect();
      fixture.pool.vmReported(fixture.newestConnection(), reported.vm.id);
      fixture.pool.vmTerminated(
          fixture.newestConnection(),
          new VmTermination(
              reported.vm.id, Outcome.RESET, Optional.of(after), OutcomeReason.DRAINED),
          fixture.now);
      assertThat(fixture.outcomes.get(reported)).isEqualTo(after);
      assertThat(fixture.unanswered).containsExactly(reported);
      fixture.pool.vmAccepted(fixture.newestConnection(), reported.vm.id, "late", fixture.now);
      assertThat(fixture.accepted).isEmpty();
      assertThat(fixture.pool.runningVmCount()).isZero();
    }
  }

  @Example
  void terminationOfAnUnreportedOrRejectedVmEndsTheRequest() {
    PoolFixture fixture = new PoolFixture();
    PlacementAttempt unreported = fixture.offerAndConnect();
    fixture.pool.vmReported(fixture.newestConnection(), "another");
    fixture.pool.vmTerminated(
        fixture.newestConnection(),
        termination(unreported, Outcome.RESET, Outcome.RESET),
        fixture.now);
    PlacementAttempt rejected = fixture.offerAndConnect();
    fixture.pool.vmReported(fixture.newestConnection(), rejected.vm.id);
    fixture.pool.vmTerminated(
        fixture.newestConnection(), termination(rejected, Outcome.FULL, null), fixture.now);
    assertThat(fixture.outcomes)
        .containsEntry(unreported, Outcome.RESET)
        .containsEntry(rejected, Outcome.FULL);
    assertThat(fixture.unanswered).isEmpty();
  }

  @Example
  void connectionIsClosedOnceTheMachineHasReadTheCancellation() {
    PoolFixture fixture = new PoolFixture();
    PlacementAttempt attempt = fixture.offerAndConnect();
    MachineConnection connection = fixture.newestConnection();
    fixture.pool.cancel(attempt, Outcome.TIMEOUT, fixture.now);
    assertThat(fixture.sent.get(connection)).containsExactly("new vm0", "cancel vm0", "ping");
    fixture.offerAndConnect();
    assertThat(fixture.sent.get(connection)).as("takes no other request").hasSize(3);
    fixture.pool.vmAccepted(connection, attempt.vm.id, "late", fixture.now);
    assertThat(fixture.accepted).isEmpty();
    assertThat(fixture.outcomes).containsExactly(Map.entry(attempt, Outcome.TIMEOUT));
    fixture.pool.probeAnswered(connection, true, false, fixture.now);
    assertThat(fixture.connections).doesNotContain(connection);
    assertThat(fixture.probeResults).as("probes of the scheduler").isEmpty();
  }

  @Example
  void drainingWithdrawsUnsentRequestsAndKeepsSentOnes() {
    PoolFixture fixture = new PoolFixture();
    PlacementAttempt sent = fixture.offerAndConnect();
    PlacementAttempt unsent = fixture.offer();
    fixture.pool.machineListed(Machine.Lifecycle.DRAINING, fixture.now);
    assertThat(fixture.outcomes).containsExactly(Map.entry(unsent, Outcome.NOT_SENT));
    PlacementAttempt late = fixture.offer();
    assertThat(fixture.outcomes.get(late))
        .as("decided before the drain was received")
        .isEqualTo(Outcome.NOT_SENT);
    fixture.pool.vmAccepted(fixture.connections.get(0), sent.vm.id, "d", fixture.now);
    assertThat(fixture.accepted).containsOnlyKeys(sent);
  }

  @Example
  void endOfTheOnlyProcessLosesItsVmsAndRequestsAtOnce() {
    PoolFixture fixture = new PoolFixture();
    PlacementAttempt running = fixture.startVm();
    PlacementAttempt sent = fixture.offerAndConnect();
    fixture.pool.machineListed(Machine.Lifecycle.GONE, fixture.now);
    assertThat(fixture.outcomes).containsOnlyKeys(running, sent);
    assertThat(fixture.pool.isRetired()).isTrue();
  }

  /** Guards against reporting VMs as lost that a later process at the address has accepted. */
  @Example
  void endOfTheFirstProcessKeepsTheVmsOfTheOneThatIsConnected() {
    PoolFixture fixture = new PoolFixture();
    PlacementAttempt earlier = fixture.startVm();
    fixture.connections.remove(fixture.newestConnection());
    fixture.pool.connectionLost(fixture.sent.keySet().iterator().next(), fixture.now);
    PlacementAttempt later = fixture.startVm();
    fixture.pool.machineListed(Machine.Lifecycle.GONE, fixture.now);
    assertThat(fixture.outcomes).containsOnlyKeys(earlier);
    fixture.pool.addressReassigned(fixture.now);
    assertThat(fixture.pool.processEnd().isSuccessorConfirmed()).isFalse();
    fixture.pool.probeAnswered(fixture.newestConnection(), true, false, fixture.now);
    assertThat(fixture.pool.processEnd().isSuccessorConfirmed()).isTrue();
    assertThat(fixture.pool.processEnd().successorVms()).containsExactly(later);
    MachineConnection last = fixture.newestConnection();
    fixture.connections.remove(last);
    fixture.pool.connectionLost(last, fixture.now);
    fixture.advance(50);
    assertThat(fixture.outcomes).as("that process has ended too").containsOnlyKeys(earlier, later);
  }

  /** A reset of all connections by the network does not end the VMs that the machine runs. */
  @Example
  void vmReportedAfterALossOfAllConnectionsBelongsToTheProcessThatIsConnected() {
    PoolFixture fixture = new PoolFixture();
    PlacementAttempt earlier = fixture.startVm();
    fixture.connections.remove(fixture.newestConnection());
    fixture.pool.connectionLost(fixture.sent.keySet().iterator().next(), fixture.now);
    fixture.startVm();
    fixture.pool.vmReported(fixture.newestConnection(), earlier.vm.id);
    fixture.pool.machineListed(Machine.Lifecycle.GONE, fixture.now);
    assertThat(fixture.outcomes).isEmpty();
  }

  /** A VM is kept waiting for the successor only while the process answers. */
  @Example
  void silentProcessAtTheAddressOfAGoneMachineLosesItsVms() {
    PoolFixture fixture = new PoolFixture();
    fixture.startVm();
    fixture.connections.remove(fixture.newestConnection());
    fixture.pool.connectionLost(fixture.sent.keySet().iterator().next(), fixture.now);
    PlacementAttempt later = fixture.startVm();
    fixture.pool.machineListed(Machine.Lifecycle.GONE, fixture.now);
    fixture.advance(4500);
    assertThat(fixture.outcomes).containsKey(later);
  }

  @Example
  void twoRefusedConnectionsLoseRunningVms() {
    PoolFixture fixture = new PoolFixture();
    PlacementAttempt attempt = fixture.startVm();
    fixture.pool.connectionLost(fixture.newestConnection(), fixture.now);
    fixture.connections.clear();
    fixture.advance(300);
    fixture.pool.connectionFailed(fixture.newestConnection(), ConnectFailure.REFUSED, fixture.now);
    assertThat(fixture.outcomes).as("one refusal proves nothing").isEmpty();
    fixture.advance(300);
    fixture.pool.connectionFailed(fixture.newestConnection(), ConnectFailure.REFUSED, fixture.now);
    assertThat(fixture.outcomes).containsExactly(Map.entry(attempt, Outcome.RESET));
  }

  @Example
  void silenceAndTimedOutConnectionsLoseRunningVms() {
    PoolFixture fixture = new PoolFixture();
    PlacementAttempt attempt = fixture.startVm();
    fixture.advance(4000);
    assertThat(fixture.outcomes).isEmpty();
    fixture.advance(1500);
    assertThat(fixture.outcomes).containsExactly(Map.entry(attempt, Outcome.RESET));
    assertThat(fixture.connections).isEmpty();
  }

  @Example
  void silentMachineThatAcceptsConnectionsKeepsItsVms() {
    PoolFixture fixture = new PoolFixture();
    fixture.startVm();
    for (int i = 0; i < 100; i++) {
      fixture.advance(100);
      for (MachineConnection connection : List.copyOf(fixture.connections)) {
        fixture.pool.connectionEstablished(connection, fixture.now);
      }
    }
    assertThat(fixture.outcomes).isEmpty();
    assertThat(fixture.connections.size()).isLessThanOrEqualTo(4);
  }

  @Example
  void restartLosesTheVmsAcceptedBefore() {
    PoolFixture fixture = new PoolFixture();
    PlacementAttempt before = fixture.startVm();
    fixture.now = fixture.now.plusMillis(100);
    PlacementAttempt after = fixture.startVm();
    fixture.pool.machineRestarted(fixture.now.minusMillis(50));
    assertThat(fixture.outcomes).containsExactly(Map.entry(before, Outcome.RESET));
    assertThat(fixture.pool.findRunningAttempt(after.vm.id)).containsSame(after);
  }

  @Example
  void terminationIsSentOnceAndEndsTheVmWithoutConfirmation() {
    PoolFixture fixture = new PoolFixture();
    PlacementAttempt attempt = fixture.startVm();
    fixture.pool.terminate(attempt, fixture.now);
    fixture.pool.terminate(attempt, fixture.now);
    assertThat(fixture.sent.get(fixture.newestConnection()))
        .containsExactly("new vm0", "terminate vm0");
    fixture.advance(1600);
    assertThat(fixture.outcomes).containsExactly(Map.entry(attempt, Outcome.CANCELLED));
  }

  /**
   * Guards against a termination that is never sent because there was no connection: the machine
   * kept running a VM without a client.
   */
  @Example
  void terminationWithoutAConnectionIsSentOnTheNext() {
    PoolFixture fixture = new PoolFixture();
    PlacementAttempt attempt = fixture.startVm();
    fixture.pool.connectionLost(fixture.newestConnection(), fixture.now);
    fixture.connections.clear();
    fixture.pool.terminate(attempt, fixture.now);
    fixture.advance(300);
    fixture.pool.connectionEstablished(fixture.newestConnection(), fixture.now);
    assertThat(fixture.sent.get(fixture.newestConnection())).containsExactly("terminate vm0");
    fixture.pool.vmTerminated(
        fixture.newestConnection(),
        termination(attempt, Outcome.RESET, Outcome.CANCELLED),
        fixture.now);
    assertThat(fixture.outcomes).containsExactly(Map.entry(attempt, Outcome.CANCELLED));
  }

  /**
   * Guards against considering a machine failed because two connections in a row were reset just
   * after they were established.
   */
  @Example
  void connectionsLostWhileOpeningDoNotFailTheMachine() {
    PoolFixture fixture = new PoolFixture();
    fixture.startVm();
    fixture.pool.connectionLost(fixture.newestConnection(), fixture.now);
    fixture.connections.clear();
    for (int i = 0; i < 3; i++) {
      PlacementAttempt attempt = fixture.offer();
      fixture.pool.connectionLost(fixture.newestConnection(), fixture.now);
      assertThat(fixture.outcomes.get(attempt))
          .as("it was never sent")
          .isEqualTo(Outcome.UNREACHABLE);
    }
    assertThat(fixture.pool.runningVmCount()).isEqualTo(1);
  }

  @Example
  void requestsShareAConnectionWhenNoneCanBeOpened() {
    PoolFixture fixture = new PoolFixture();
    fixture.maxConnections = 1;
    PlacementAttempt one = fixture.offerAndConnect();
    PlacementAttempt two = fixture.offer();
    assertThat(fixture.sent.get(fixture.newestConnection())).containsExactly("new vm0", "new vm1");
    fixture.pool.connectionLost(fixture.newestConnection(), fixture.now);
    fixture.connections.clear();
    assertThat(fixture.outcomes).containsOnlyKeys(one, two);
    fixture.maxConnections = 0;
    assertThat(fixture.outcomes.get(fixture.offer())).isEqualTo(Outcome.NOT_SENT);
  }

  @Example
  void idleConnectionIsReusedForIdempotentRequestsOnly() {
    PoolFixture fixture = new PoolFixture();
    fixture.startVm();
    fixture.advance(500);
    fixture.pool.messageReceived(fixture.now);
    fixture.advance(500);
    fixture.offer();
    assertThat(fixture.connections)
        .as("500 ms after its last use a connection is not known to work")
        .hasSize(2);
    fixture.idempotent = true;
    fixture.offer();
    assertThat(fixture.connections).as("the machine was heard from recently").hasSize(2);
    assertThat(fixture.sent.get(fixture.connections.get(0))).containsExactly("new vm0", "new vm2");
  }

  @Example
  void unansweredProbeFails() {
    PoolFixture fixture = new PoolFixture();
    fixture.pool.probe(fixture.now);
    fixture.pool.connectionEstablished(fixture.newestConnection(), fixture.now);
    assertThat(fixture.sent.get(fixture.newestConnection())).containsExactly("probe");
    fixture.advance(300);
    assertThat(fixture.probeResults).containsExactly(false);
  }

  /**
   * For random sequences of events: each attempt ends exactly once and is accepted at most once.
   */
  @Property(tries = 300, seed = "1313")
  void everyAttemptEndsExactlyOnce(@ForAll long seed) {
    PoolFixture fixture = new PoolFixture();
    Random random = new Random(seed);
    List<PlacementAttempt> attempts = new ArrayList<>();
    for (int i = 0; i < 200; i++) {
      MachineConnection connection = randomElement(fixture.sent.keySet(), random);
      PlacementAttempt attempt = randomElement(attempts, random);
      switch (random.nextInt(11)) {
        case 0, 1 -> attempts.add(fixture.offer());
        case 2 -> fixture.advance(random.nextInt(400));
        case 3 -> fixture.pool.machineListed(randomLifecycle(random), fixture.now);
        default -> {
          if (connection != null && attempt != null) {
            applyRandomEvent(fixture, connection, attempt, random);
          }
        }
      }
    }
    fixture.pool.machineListed(Machine.Lifecycle.GONE, fixture.now);
    // A process that was connected to later may belong to another machine: it ends as well.
    for (MachineConnection connection : List.copyOf(fixture.connections)) {
      fixture.connections.remove(connection);
      fixture.pool.connectionLost(connection, fixture.now);
    }
    fixture.advance(50);
    assertThat(fixture.outcomes.keySet()).containsExactlyInAnyOrderElementsOf(attempts);
    assertThat(fixture.pool.isRetired()).isTrue();
  }

  private static void applyRandomEvent(
      PoolFixture fixture, MachineConnection connection, PlacementAttempt attempt, Random random) {
    MachineConnectionPool pool = fixture.pool;
    switch (random.nextInt(9)) {
      case 0, 1 -> pool.connectionEstablished(connection, fixture.now);
      case 2 ->
          pool.connectionFailed(
              connection,
              random.nextBoolean() ? ConnectFailure.REFUSED : ConnectFailure.UNREACHABLE,
              fixture.now);
      case 3 -> pool.connectionLost(connection, fixture.now);
      case 4, 5 -> pool.vmAccepted(connection, attempt.vm.id, "d", fixture.now);
      case 6 -> {
        Outcome ifRunning = random.nextBoolean() ? Outcome.DONE : null;
        pool.vmTerminated(connection, termination(attempt, Outcome.FULL, ifRunning), fixture.now);
      }
      case 7 -> pool.terminate(attempt, fixture.now);
      default -> {
        if (attempt.isInFlight() && attempt.acceptedAt == null) {
          pool.cancel(attempt, Outcome.TIMEOUT, fixture.now);
        }
      }
    }
  }

  private static Machine.Lifecycle randomLifecycle(Random random) {
    return random.nextInt(3) == 0 ? Machine.Lifecycle.DRAINING : Machine.Lifecycle.LIVE;
  }

  private static <T> T randomElement(Collection<T> items, Random random) {
    return items.isEmpty() ? null : new ArrayList<>(items).get(random.nextInt(items.size()));
  }
}
