package fordridge.machine;

import static org.assertj.core.api.Assertions.assertThat;

import fordridge.model.Machine;
import fordridge.model.PlacementAttempt;
import fordridge.model.PlacementAttempt.Outcome;
import fordridge.model.PlacementAttempt.OutcomeReason;
import fordridge.model.SeededRandom;
import fordridge.model.Vm;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * A stream whose transport and listener record all calls and fail on calls that must not happen.
 */
final class StreamFixture implements MachineStreamTransport, MachineStream.Listener {
  static final int MAX_QUEUED_OFFERS = 3;
  private static final Duration TIME_LEFT = ms(1000);

  final Machine machine = new Machine(7);
  final MachineStream stream =
      new MachineStream(
          machine,
          new MachineStreamSettings(
              ms(250), ms(5000), ms(100), ms(2000), ms(400), ms(250), MAX_QUEUED_OFFERS, false),
          this,
          this,
          new SeededRandom(1));
  final List<String> actions = new ArrayList<>();
  final Map<PlacementAttempt, Outcome> outcomes = new HashMap<>();
  final Set<PlacementAttempt> accepted = new HashSet<>();
  final Set<AttemptId> offered = new HashSet<>();
  final List<ReportedVm> unknownVms = new ArrayList<>();

  /** Attempts that must no longer be sent, as {@link #confirmSend} tells the stream. */
  final Set<PlacementAttempt> unsendable = new HashSet<>();

  boolean isOpen;
  boolean isReady = true;
  Duration now = Duration.ZERO;
  private int vmCount;

  private static Duration ms(long millis) {
    return Duration.ofMillis(millis);
  }

  static AttemptId idOf(PlacementAttempt attempt) {
    return new AttemptId(attempt.vm.id, 0);
  }

  static ReportedVm reported(AttemptId id, ReportedVm.State state) {
    return new ReportedVm(id, state, "f", 1, "", 1, 1, "client");
  }

  PlacementAttempt offer(boolean idempotent) {
    Vm vm = new Vm("vm" + vmCount++);
    PlacementAttempt attempt = new PlacementAttempt(vm, machine, 0, now);
    vm.attempts.add(attempt);
    stream.offer(attempt, idOf(attempt), idempotent, TIME_LEFT, now);
    return attempt;
  }

  void receiveInventory(long incarnation, ReportedVm... inventory) {
    stream.inventoryReceived(incarnation, List.of(inventory), now);
  }

  void breakStream() {
    isOpen = false;
    stream.connectionLost("test", now);
  }

  void advance(long millis) {
    Duration end = now.plus(ms(millis));
    for (Duration due = stream.nextDeadline().orElse(null);
        due != null && due.compareTo(end) <= 0;
        due = stream.nextDeadline().orElse(null)) {
      now = due.compareTo(now) > 0 ? due : now;
      stream.tick(now);
    }
    now = end;
  }

  @Override
  public boolean confirmSend(PlacementAttempt attempt) {
    return !unsendable.contains(attempt);
  }

  @Override
  public void connect() {
    assertThat(isOpen).as("one stream at a time").isFalse();
    isOpen = true;
    actions.add("connect");
  }

  @Override
  public void close(String reason) {
    isOpen = false;
    actions.add("close");
  }

  @Override
  public boolean isReady() {
    return isReady;
  }

  @Override
  public void offer(PlacementAttempt attempt, AttemptId attemptId, Duration timeLeft) {
    assertThat(attempt.outcome).as("offered after its outcome").isNull();
    assertThat(offered.add(attemptId)).as("offered twice").isTrue();
  }

  @Override
  public void cancel(AttemptId attemptId) {
    actions.add("cancel " + attemptId.vmId());
  }

  @Override
  public void terminate(AttemptId attemptId) {
    actions.add("terminate " + attemptId.vmId());
  }

  @Override
  public void probe() {
    actions.add("probe");
  }

  @Override
  public void attemptAccepted(PlacementAttempt attempt, boolean running) {
    assertThat(attempt.outcome).as("accepted after its outcome").isNull();
    accepted.add(attempt);
  }

  @Override
  public void attemptEnded(PlacementAttempt attempt, Outcome outcome, OutcomeReason reason) {
    assertThat(attempt.outcome).as("second outcome").isNull();
    attempt.outcome = outcome;
    outcomes.put(attempt, outcome);
  }

  @Override
  public void unknownVmReported(ReportedVm reportedVm, Machine reporting) {
    unknownVms.add(reportedVm);
  }

  @Override
  public void probeCompleted(
      Machine probed, boolean healthy, boolean withLoadReport, Duration roundTrip) {
    actions.add("probe completed " + healthy);
  }

  @Override
  public void attemptReleased(PlacementAttempt attempt) {
    assertThat(attempt.outcome).as("released before its outcome").isNotNull();
  }

  @Override
  public void connectionLost(Machine lost, String reason) {}
}
