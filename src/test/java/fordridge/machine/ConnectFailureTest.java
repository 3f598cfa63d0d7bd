package fordridge.machine;

import static org.assertj.core.api.Assertions.assertThat;

import fordridge.model.PlacementAttempt;
import fordridge.model.PlacementAttempt.Outcome;
import fordridge.model.PlacementAttempt.OutcomeReason;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import net.jqwik.api.Example;

/** What a failed connection attempt proves, and termination notices that precede an adoption. */
class ConnectFailureTest {
  private static final Duration NOW = Duration.ofSeconds(1);

  private static final class RecordingStub extends MachinePoolStub {
    final List<MachineConnection> opened = new ArrayList<>();
    final Map<PlacementAttempt, Outcome> ended = new HashMap<>();

    RecordingStub() {
      super(1);
    }

    @Override
    public void open(MachineConnection connection) {
      opened.add(connection);
    }

    @Override
    public void attemptEnded(PlacementAttempt attempt, Outcome outcome, OutcomeReason reason) {
      ended.put(attempt, outcome);
    }

    PlacementAttempt offerAndFail(String vmId, ConnectFailure failure) {
      PlacementAttempt attempt = newAttempt(vmId, NOW);
      pool.offer(attempt, Duration.ofSeconds(1), true, NOW);
      pool.connectionFailed(opened.get(opened.size() - 1), failure, NOW);
      return attempt;
    }
  }

  @Example
  void localFailuresDoNotFailTheMachine() {
    RecordingStub stub = new RecordingStub();
    PlacementAttempt running = stub.newAttempt("running", NOW);
    stub.pool.adopt(running, NOW);

    for (int i = 0; i < 5; i++) {
      PlacementAttempt offered = stub.offerAndFail("vm" + i, ConnectFailure.LOCAL);
      assertThat(stub.ended).containsEntry(offered, Outcome.NOT_SENT);
    }

    assertThat(stub.ended).doesNotContainKey(running);
  }

  @Example
  void twoRefusedConnectionsLoseTheVmsOfTheMachine() {
    RecordingStub stub = new RecordingStub();
    PlacementAttempt running = stub.newAttempt("running", NOW);
    stub.pool.adopt(running, NOW);

    stub.offerAndFail("vm0", ConnectFailure.REFUSED);
    assertThat(stub.ended).doesNotContainKey(running);
    stub.offerAndFail("vm1", ConnectFailure.REFUSED);

    assertThat(stub.ended).containsEntry(running, Outcome.RESET);
  }

  /** Guards against taking a machine for dead that only takes no further connections. */
  @Example
  void refusalsBesideAnEstablishedConnectionLoseNoVm() {
    RecordingStub stub = new RecordingStub();
    PlacementAttempt running = stub.newAttempt("running", NOW);
    stub.pool.offer(running, Duration.ofSeconds(1), true, NOW);
    MachineConnection established = stub.opened.get(0);
    stub.pool.connectionEstablished(established, NOW);
    stub.pool.vmAccepted(established, "running", "d", NOW);

    PlacementAttempt carried = stub.newAttempt("carried", NOW);
    stub.pool.offer(carried, Duration.ofSeconds(1), true, NOW);
    for (int i = 0; i < 5; i++) {
      stub.offerAndFail("vm" + i, ConnectFailure.REFUSED);
    }
    assertThat(stub.ended).doesNotContainKey(running);

    stub.pool.connectionLost(established, NOW);
    stub.offerAndFail("first after the loss", ConnectFailure.REFUSED);
    assertThat(stub.ended).as("earlier refusals prove nothing").doesNotContainKey(running);
    stub.offerAndFail("second after the loss", ConnectFailure.REFUSED);
    assertThat(stub.ended).containsEntry(running, Outcome.RESET);
  }

  @Example
  void connectTimeoutsOfARecentlyHeardMachineLoseNoVm() {
    RecordingStub stub = new RecordingStub();
    PlacementAttempt running = stub.newAttempt("running", NOW);
    stub.pool.adopt(running, NOW);
    stub.pool.messageReceived(NOW);

    for (int i = 0; i < 5; i++) {
      stub.offerAndFail("vm" + i, ConnectFailure.UNREACHABLE);
    }

    assertThat(stub.ended).doesNotContainKey(running);
  }

  @Example
  void terminationBeforeTheAdoptionEndsTheVmOnAdoption() {
    RecordingStub stub = new RecordingStub();
    PlacementAttempt first = stub.offerAndFail("other", ConnectFailure.LOCAL);
    assertThat(first).isNotNull();
    MachineConnection connection = stub.opened.get(0);
    VmTermination termination =
        new VmTermination(
            "early", Outcome.RESET, Optional.of(Outcome.DONE), OutcomeReason.UNSPECIFIED);

    stub.pool.vmTerminated(connection, termination, NOW);
    PlacementAttempt adopted = stub.newAttempt("early", NOW);
    stub.pool.adopt(adopted, NOW.plusSeconds(1));

    assertThat(stub.ended).containsEntry(adopted, Outcome.DONE);
  }

  @Example
  void unclaimedTerminationsAreBoundedAndExpire() {
    UnclaimedTerminations terminations =
        new UnclaimedTerminations(new RetainedEntries().unclaimedTerminations);
    for (int i = 0; i < 3 * UnclaimedTerminations.MAX_ENTRIES; i++) {
      terminations.add(
          new VmTermination(
              "vm" + i, Outcome.RESET, Optional.of(Outcome.DONE), OutcomeReason.UNSPECIFIED),
          NOW);
    }
    assertThat(terminations.size()).isEqualTo(UnclaimedTerminations.MAX_ENTRIES);
    String last = "vm" + (3 * UnclaimedTerminations.MAX_ENTRIES - 1);
    assertThat(terminations.take(last, NOW.plus(UnclaimedTerminations.RETENTION_TIME))).isEmpty();
    assertThat(terminations.take("vm0", NOW)).isEmpty();
  }
}
