package fordridge.machine;

import static org.assertj.core.api.Assertions.assertThat;

import fordridge.model.Machine;
import fordridge.model.PlacementAttempt;
import fordridge.model.PlacementAttempt.Outcome;
import fordridge.model.PlacementAttempt.OutcomeReason;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** A pool whose transport and listener record all calls and fail on calls that must not happen. */
final class PoolFixture extends MachinePoolStub {
  private static final Duration TICK = ms(50);
  private static final Duration TIME_LEFT = ms(1000);

  final List<MachineConnection> connections = new ArrayList<>();
  final Map<MachineConnection, List<String>> sent = new LinkedHashMap<>();
  final Map<PlacementAttempt, Outcome> outcomes = new HashMap<>();
  final Map<PlacementAttempt, String> accepted = new HashMap<>();
  final List<PlacementAttempt> unanswered = new ArrayList<>();
  final List<String> settledReleases = new ArrayList<>();
  final List<Boolean> probeResults = new ArrayList<>();

  /** Attempts that must no longer be sent, as {@link #confirmSend} tells the pool. */
  final Set<PlacementAttempt> unsendable = new HashSet<>();

  boolean isWritable = true;

  /** Whether requests are not passed to the network, as their connection has failed. */
  boolean writesFail;

  Duration now = ms(10_000);
  int maxConnections = 100;
  boolean idempotent;
  private int vmCount;

  PoolFixture() {
    super(7);
  }

  private static Duration ms(long millis) {
    return Duration.ofMillis(millis);
  }

  PlacementAttempt offer() {
    PlacementAttempt attempt = newAttempt("vm" + vmCount++, now);
    pool.offer(attempt, TIME_LEFT, idempotent, now);
    return attempt;
  }

  /** Offers an attempt and establishes all connections, so that it is sent. */
  PlacementAttempt offerAndConnect() {
    PlacementAttempt attempt = offer();
    for (MachineConnection connection : List.copyOf(connections)) {
      pool.connectionEstablished(connection, now);
    }
    return attempt;
  }

  PlacementAttempt startVm() {
    PlacementAttempt attempt = offerAndConnect();
    pool.vmAccepted(newestConnection(), attempt.vm.id, "d", now);
    return attempt;
  }

  MachineConnection newestConnection() {
    return connections.get(connections.size() - 1);
  }

  void advance(long millis) {
    Duration until = now.plus(ms(millis));
    while (now.compareTo(until) < 0) {
      now = now.plus(TICK);
      pool.tick(now);
      ConnectionBudget.rebalance(List.of(pool), connections.size(), maxConnections, offers, now);
    }
  }

  @Override
  public boolean confirmSend(PlacementAttempt attempt) {
    return !unsendable.contains(attempt);
  }

  @Override
  public boolean isWritable(MachineConnection connection) {
    return isWritable;
  }

  @Override
  public boolean canOpen() {
    return connections.size() < maxConnections;
  }

  @Override
  public void open(MachineConnection connection) {
    connections.add(connection);
    sent.put(connection, new ArrayList<>());
  }

  @Override
  public void close(MachineConnection connection, MachineConnectionCloseReason reason) {
    connections.remove(connection);
  }

  @Override
  public boolean requestPlacement(
      MachineConnection connection, PlacementAttempt attempt, Duration timeLeft) {
    assertThat(outcomes).doesNotContainKey(attempt);
    sent.get(connection).add("new " + attempt.vm.id);
    return !writesFail;
  }

  @Override
  public void cancel(MachineConnection connection, String vmId) {
    sent.get(connection).add("cancel " + vmId);
  }

  @Override
  public void terminate(MachineConnection connection, String vmId) {
    sent.get(connection).add("terminate " + vmId);
  }

  @Override
  public void ping(MachineConnection connection) {
    sent.get(connection).add("ping");
  }

  @Override
  public void releaseSettled(String vmId, Machine asked) {
    settledReleases.add(vmId);
  }

  @Override
  public void probe(MachineConnection connection) {
    sent.get(connection).add("probe");
  }

  @Override
  public void attemptAccepted(PlacementAttempt attempt, String description) {
    assertThat(outcomes).doesNotContainKey(attempt);
    assertThat(accepted.put(attempt, description)).isNull();
    attempt.acceptedAt = now;
  }

  @Override
  public void attemptEnded(PlacementAttempt attempt, Outcome outcome, OutcomeReason reason) {
    assertThat(outcomes.put(attempt, outcome)).as("second outcome of " + attempt.vm.id).isNull();
    attempt.outcome = outcome;
  }

  @Override
  public void attemptEndedUnanswered(
      PlacementAttempt attempt, Outcome outcome, OutcomeReason reason) {
    unanswered.add(attempt);
    attemptEnded(attempt, outcome, reason);
  }

  @Override
  public void probeCompleted(
      Machine probed, boolean healthy, boolean withLoadReport, Duration roundTrip) {
    probeResults.add(healthy);
  }
}
