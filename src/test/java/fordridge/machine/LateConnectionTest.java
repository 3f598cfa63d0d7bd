package fordridge.machine;

import static org.assertj.core.api.Assertions.assertThat;

import fordridge.model.Machine;
import fordridge.model.PlacementAttempt;
import fordridge.model.PlacementAttempt.Outcome;
import java.util.List;
import java.util.Map;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import net.jqwik.api.lifecycle.BeforeTry;

/**
 * Guards against a machine that is taken for failed, or never reached, because its connections take
 * longer than the connect timeout: each attempt was closed, and the next began anew.
 */
class LateConnectionTest {
  private static final long CONNECT_TIMEOUT_MILLIS = 250;

  /** The protocol has connections that come up to a second late. */
  private static final long MAX_DELAY_MILLIS = 1000;

  private static final long STEP_MILLIS = 50;

  private PoolFixture fixture;
  private long lastDelayMillis;

  @BeforeTry
  void createPool() {
    fixture = new PoolFixture();
  }

  /** A running VM whose machine has lost its only connection. */
  private PlacementAttempt startVmAndLoseConnection() {
    PlacementAttempt attempt = fixture.startVm();
    MachineConnection connection = fixture.newestConnection();
    fixture.connections.remove(connection);
    fixture.pool.connectionLost(connection, fixture.now);
    return attempt;
  }

  /**
   * Lets time pass, establishes each connection this long after it was opened, and answers health
   * checks on it.
   */
  private void advance(long millis, long delayMillis) {
    for (long passed = 0; passed < millis; passed += STEP_MILLIS) {
      fixture.advance(STEP_MILLIS);
      List.copyOf(fixture.connections).forEach(this::answerHealthChecks);
      for (MachineConnection connection : List.copyOf(fixture.connections)) {
        long age = fixture.now.minus(connection.openedAt()).toMillis();
        if (connection.isOpening() && age >= delayMillis) {
          lastDelayMillis = age;
          fixture.pool.connectionEstablished(connection, fixture.now);
        }
      }
    }
  }

  private void answerHealthChecks(MachineConnection connection) {
    if (connection.isOpen() && connection.hasHealthCheck()) {
      fixture.pool.probeAnswered(connection, true, false, fixture.now);
    }
  }

  /** Lets time pass until a connection is late; returns it. */
  private MachineConnection awaitLateConnection() {
    for (long passed = 0; passed < 2000; passed += STEP_MILLIS) {
      advanceWithoutConnection(STEP_MILLIS);
      for (MachineConnection connection : fixture.connections) {
        if (isLate(connection)) {
          return connection;
        }
      }
    }
    throw new AssertionError("no late connection is kept");
  }

  private boolean isLate(MachineConnection connection) {
    return connection.isOpening() && ageMillis(connection) > CONNECT_TIMEOUT_MILLIS;
  }

  private void advanceWithoutConnection(long millis) {
    advance(millis, Long.MAX_VALUE);
  }

  private boolean isConnected() {
    return fixture.connections.stream().anyMatch(connection -> !connection.isOpening());
  }

  @Property(tries = 40)
  void machineWhoseConnectionsAreLateKeepsItsVms(
      @ForAll @LongRange(min = 0, max = MAX_DELAY_MILLIS) long delayMillis) {
    startVmAndLoseConnection();
    advance(MAX_DELAY_MILLIS + 2 * CONNECT_TIMEOUT_MILLIS, delayMillis);
    assertThat(isConnected()).isTrue();
    assertThat(lastDelayMillis).isGreaterThanOrEqualTo(delayMillis);
    advance(20_000, delayMillis);
    assertThat(fixture.outcomes).isEmpty();
  }

  /** The other connection is established, but silent: the machine is checked by a new one. */
  @Example
  void silentMachineWhoseConnectionsAreLateKeepsItsVms() {
    fixture.startVm();
    advance(20_000, MAX_DELAY_MILLIS);
    assertThat(fixture.outcomes).isEmpty();
  }

  @Example
  void offerDoesNotWaitForALateConnection() {
    startVmAndLoseConnection();
    PlacementAttempt offered = fixture.offer();
    advanceWithoutConnection(CONNECT_TIMEOUT_MILLIS + STEP_MILLIS);
    assertThat(fixture.outcomes).containsExactly(Map.entry(offered, Outcome.UNREACHABLE));
  }

  @Example
  void lateConnectionCarriesLaterOffers() {
    startVmAndLoseConnection();
    advance(1500, 600);
    MachineConnection late = fixture.connections.get(0);
    assertThat(late.isOpen()).isTrue();
    fixture.idempotent = true;
    PlacementAttempt offered = fixture.offer();
    assertThat(fixture.sent.get(late)).contains("new " + offered.vm.id);
  }

  /** One that came up late counts as opened after the loss, as the machine accepts it only then. */
  @Example
  void lateConnectionFetchesLostNotices() {
    startVmAndLoseConnection();
    advance(1500, 600);
    int opened = fixture.sent.size();
    for (int i = 0; i < 20; i++) {
      fixture.pool.messageReceived(fixture.now);
      advance(100, 600);
    }
    assertThat(fixture.sent).hasSize(opened);
  }

  @Example
  void machineThatAcceptsNothingFailsAsSoonAsBeforeAndKeepsNoConnection() {
    PlacementAttempt attempt = startVmAndLoseConnection();
    advanceWithoutConnection(4000);
    assertThat(fixture.outcomes).isEmpty();
    advanceWithoutConnection(1000);
    assertThat(fixture.outcomes).containsExactly(Map.entry(attempt, Outcome.RESET));
    advanceWithoutConnection(CONNECT_TIMEOUT_MILLIS + STEP_MILLIS);
    assertThat(fixture.connections).isEmpty();
  }

  @Example
  void atMostOneLateConnectionIsKeptAndNotForLong() {
    startVmAndLoseConnection();
    for (int i = 0; i < 80; i++) {
      advanceWithoutConnection(STEP_MILLIS);
      long late = fixture.connections.stream().filter(this::isLate).count();
      assertThat(late).isLessThanOrEqualTo(1);
      assertThat(fixture.connections).allMatch(connection -> ageMillis(connection) <= 2050);
    }
  }

  private long ageMillis(MachineConnection connection) {
    return fixture.now.minus(connection.openedAt()).toMillis();
  }

  @Example
  void lateConnectionIsGivenUpWhenConnectionsAreShort() {
    startVmAndLoseConnection();
    fixture.maxConnections = 4;
    MachineConnection late = awaitLateConnection();
    fixture.maxConnections = 1;
    advanceWithoutConnection(STEP_MILLIS);
    assertThat(fixture.connections).doesNotContain(late);
  }

  @Example
  void lateConnectionIsClosedWhenTheMachineIsGone() {
    startVmAndLoseConnection();
    awaitLateConnection();
    fixture.pool.machineListed(Machine.Lifecycle.GONE, fixture.now);
    advanceWithoutConnection(STEP_MILLIS);
    assertThat(fixture.connections).isEmpty();
    assertThat(fixture.pool.isRetired()).isTrue();
  }

  private void refuse(MachineConnection connection) {
    fixture.connections.remove(connection);
    fixture.pool.connectionFailed(connection, ConnectFailure.REFUSED, fixture.now);
  }

  @Example
  void refusalOfALateConnectionCounts() {
    PlacementAttempt attempt = startVmAndLoseConnection();
    refuse(awaitLateConnection());
    assertThat(fixture.outcomes).isEmpty();
    while (fixture.connections.isEmpty()) {
      advanceWithoutConnection(STEP_MILLIS);
    }
    refuse(fixture.newestConnection());
    assertThat(fixture.outcomes).containsExactly(Map.entry(attempt, Outcome.RESET));
  }
}
