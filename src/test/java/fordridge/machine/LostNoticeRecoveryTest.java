package fordridge.machine;

import static org.assertj.core.api.Assertions.assertThat;

import fordridge.model.PlacementAttempt;
import fordridge.model.PlacementAttempt.Outcome;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Example;

/**
 * Guards against a termination notice that is lost with one of several connections and never
 * fetched: a machine repeats it only on a connection that is opened after the loss.
 */
class LostNoticeRecoveryTest {
  /** Within 8 s of a VM's end its client has to be notified; the machine is asked well before. */
  private static final long NOTICE_LIMIT_MILLIS = 8000;

  private static final long SHORT_MILLIS = 300;

  private final PoolFixture fixture = new PoolFixture();

  /** Two VMs whose requests were sent on two connections, the second of which is returned. */
  private MachineConnection startTwoVms() {
    PlacementAttempt first = fixture.offerAndConnect();
    MachineConnection firstConnection = fixture.newestConnection();
    PlacementAttempt second = fixture.offerAndConnect();
    MachineConnection secondConnection = fixture.newestConnection();
    assertThat(secondConnection).isNotSameAs(firstConnection);
    fixture.pool.vmAccepted(firstConnection, first.vm.id, "d", fixture.now);
    fixture.pool.vmAccepted(secondConnection, second.vm.id, "d", fixture.now);
    return secondConnection;
  }

  private void lose(MachineConnection connection) {
    fixture.connections.remove(connection);
    fixture.pool.connectionLost(connection, fixture.now);
  }

  /** Lets time pass while the machine sends messages that concern none of the VMs. */
  private void advance(long millis) {
    for (long passed = 0; passed < millis; passed += 100) {
      fixture.pool.messageReceived(fixture.now);
      fixture.advance(100);
    }
  }

  /** As {@link #advance}, and establishes each connection; returns the number opened. */
  private int advanceEstablishing(long millis) {
    int before = fixture.sent.size();
    for (long passed = 0; passed < millis; passed += 100) {
      advance(100);
      establishAll();
    }
    return fixture.sent.size() - before;
  }

  private void establishAll() {
    for (MachineConnection connection : List.copyOf(fixture.connections)) {
      if (connection.isOpening()) {
        fixture.pool.connectionEstablished(connection, fixture.now);
      }
    }
  }

  @Example
  void lossOfOneOfTwoConnectionsOpensAnother() {
    lose(startTwoVms());
    assertThat(advanceEstablishing(1000)).isEqualTo(1);
  }

  @Example
  void oneConnectionMakesUpForManyLosses() {
    List<MachineConnection> opened = new ArrayList<>();
    for (int i = 0; i < 10; i++) {
      fixture.offerAndConnect();
      opened.add(fixture.newestConnection());
    }
    startTwoVms();
    opened.forEach(this::lose);
    assertThat(advanceEstablishing(2000)).isEqualTo(1);
  }

  /** The machine learns of the loss only when it writes the notice, after the first new one. */
  @Example
  void connectionsAreOpenedUntilTheMachineWritesAboutTheVm() {
    lose(startTwoVms());
    for (int i = 0; i < 5; i++) {
      assertThat(advanceEstablishing(NOTICE_LIMIT_MILLIS / 2)).isBetween(1, 2);
    }
    fixture.pool.vmReported(fixture.newestConnection(), "vm1");
    assertThat(advanceEstablishing(NOTICE_LIMIT_MILLIS)).isZero();
  }

  @Example
  void connectionOpenedBeforeTheLossDoesNotCount() {
    MachineConnection lost = startTwoVms();
    advance(1000);
    fixture.offer();
    MachineConnection openedBefore = fixture.newestConnection();
    lose(lost);
    fixture.pool.connectionEstablished(openedBefore, fixture.now);
    assertThat(advanceEstablishing(1000)).isEqualTo(1);
  }

  @Example
  void failedAttemptIsRepeatedAndDoesNotFailTheMachine() {
    lose(startTwoVms());
    for (int i = 0; i < 3; i++) {
      int before = fixture.sent.size();
      advance(2000);
      assertThat(fixture.sent).hasSizeGreaterThan(before);
      MachineConnection refused = fixture.newestConnection();
      if (refused.isOpening()) {
        fixture.connections.remove(refused);
        fixture.pool.connectionFailed(refused, ConnectFailure.REFUSED, fixture.now);
      }
    }
    assertThat(fixture.outcomes).as("a machine with an established connection runs").isEmpty();
    assertThat(fixture.pool.runningVmCount()).isEqualTo(2);
  }

  @Example
  void lossOfTheNewConnectionOpensAnotherAndBacksOff() {
    lose(startTwoVms());
    int opened = fixture.sent.size();
    for (int passed = 0; passed < 20_000; passed += 50) {
      fixture.pool.messageReceived(fixture.now);
      fixture.advance(50);
      MachineConnection newest = fixture.newestConnection();
      if (newest.isOpening()) {
        fixture.pool.connectionEstablished(newest, fixture.now);
        lose(newest);
      }
    }
    assertThat(fixture.sent.size() - opened).isBetween(5, 12);
  }

  @Example
  void shortageOfDescriptorsOnlyDelaysTheConnection() {
    MachineConnection lost = startTwoVms();
    fixture.maxConnections = 1;
    lose(lost);
    advance(SHORT_MILLIS);
    fixture.maxConnections = 2;
    assertThat(advanceEstablishing(1000)).isGreaterThanOrEqualTo(1);
  }

  /** A notice may cross the scheduler's own close of an unused connection. */
  @Example
  void ownCloseOfTheVmsConnectionIsMadeUpForOnce() {
    MachineConnection second = startTwoVms();
    advance(NOTICE_LIMIT_MILLIS / 2);
    assertThat(fixture.connections).as("closed as unused").doesNotContain(second);
    fixture.pool.connectionClosed(second, true, fixture.now);
    assertThat(advanceEstablishing(NOTICE_LIMIT_MILLIS / 2)).isEqualTo(1);
    assertThat(fixture.connections).hasSizeLessThanOrEqualTo(2);
    assertThat(advanceEstablishing(10 * NOTICE_LIMIT_MILLIS)).isZero();
  }

  @Example
  void ownCloseThatWasNotReadToItsEndCountsAsALoss() {
    MachineConnection second = startTwoVms();
    advance(NOTICE_LIMIT_MILLIS / 2);
    fixture.pool.connectionClosed(second, false, fixture.now);
    assertThat(advanceEstablishing(1000)).isEqualTo(1);
  }

  @Example
  void nothingIsOpenedWhenNoVmIsLeft() {
    MachineConnection lost = startTwoVms();
    fixture.pool.vmLost("vm0");
    fixture.pool.vmLost("vm1");
    assertThat(fixture.outcomes).containsEntry(attemptOf("vm1"), Outcome.RESET);
    lose(lost);
    assertThat(advanceEstablishing(NOTICE_LIMIT_MILLIS)).isZero();
  }

  private PlacementAttempt attemptOf(String vmId) {
    return fixture.accepted.keySet().stream()
        .filter(attempt -> attempt.vm.id.equals(vmId))
        .findFirst()
        .orElseThrow();
  }
}
