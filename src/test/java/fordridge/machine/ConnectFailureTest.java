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

/** What a connect that failed proves, and terminations that come before their VM is reported. */
class ConnectFailureTest {
  private static final Duration NOW = Duration.ofSeconds(1);

  private static final class Pool extends MachinePoolStub {
    final List<MachineConnection> opened = new ArrayList<>();
    final Map<PlacementAttempt, Outcome> ended = new HashMap<>();

    Pool() {
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
  void localFailureSaysNothingOfTheMachineAndItsVms() {
    Pool pool = new Pool();
    PlacementAttempt running = pool.newAttempt("running", NOW);
    pool.pool.adopt(running, NOW);

    for (int i = 0; i < 5; i++) {
      PlacementAttempt offered = pool.offerAndFail("vm" + i, ConnectFailure.LOCAL);
      assertThat(pool.ended).containsEntry(offered, Outcome.NOT_SENT);
    }

    assertThat(pool.ended).doesNotContainKey(running);
  }

  @Example
  void machineThatRefusesTwiceHasLostItsVms() {
    Pool pool = new Pool();
    PlacementAttempt running = pool.newAttempt("running", NOW);
    pool.pool.adopt(running, NOW);

    pool.offerAndFail("vm0", ConnectFailure.REFUSED);
    assertThat(pool.ended).doesNotContainKey(running);
    pool.offerAndFail("vm1", ConnectFailure.REFUSED);

    assertThat(pool.ended).containsEntry(running, Outcome.RESET);
  }

  @Example
  void timeoutsOfAMachineThatWasHeardJustNowLoseNoVm() {
    Pool pool = new Pool();
    PlacementAttempt running = pool.newAttempt("running", NOW);
    pool.pool.adopt(running, NOW);
    pool.pool.messageReceived(NOW);

    for (int i = 0; i < 5; i++) {
      pool.offerAndFail("vm" + i, ConnectFailure.UNREACHABLE);
    }

    assertThat(pool.ended).doesNotContainKey(running);
  }

  @Example
  void terminationBeforeTheAdoptionEndsTheVmAtItsAdoption() {
    Pool pool = new Pool();
    PlacementAttempt first = pool.offerAndFail("other", ConnectFailure.LOCAL);
    assertThat(first).isNotNull();
    MachineConnection connection = pool.opened.get(0);
    VmTermination termination =
        new VmTermination(
            "early", Outcome.RESET, Optional.of(Outcome.DONE), OutcomeReason.UNSPECIFIED);

    pool.pool.vmTerminated(connection, termination, NOW);
    PlacementAttempt adopted = pool.newAttempt("early", NOW);
    pool.pool.adopt(adopted, NOW.plusSeconds(1));

    assertThat(pool.ended).containsEntry(adopted, Outcome.DONE);
  }

  @Example
  void unclaimedTerminationsAreBoundedAndExpire() {
    UnclaimedTerminations kept = new UnclaimedTerminations();
    for (int i = 0; i < 3 * UnclaimedTerminations.MAX_ENTRIES; i++) {
      kept.add(
          new VmTermination(
              "vm" + i, Outcome.RESET, Optional.of(Outcome.DONE), OutcomeReason.UNSPECIFIED),
          NOW);
    }
    assertThat(kept.size()).isEqualTo(UnclaimedTerminations.MAX_ENTRIES);
    String last = "vm" + (3 * UnclaimedTerminations.MAX_ENTRIES - 1);
    assertThat(kept.take(last, NOW.plus(UnclaimedTerminations.RETENTION_TIME))).isEmpty();
    assertThat(kept.take("vm0", NOW)).isEmpty();
  }
}
