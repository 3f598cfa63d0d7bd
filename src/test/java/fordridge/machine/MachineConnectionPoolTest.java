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
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

class MachineConnectionPoolTest {
  /** A line and a fate that keep what they were told, and complain of what may never happen. */
  private static final class World implements MachineTransport, MachineConnectionPool.Listener {
    final Machine machine = new Machine(7);
    final MachineConnectionPool connectionPool =
        new MachineConnectionPool(machine, new ConnectionTimeouts(ms(250), ms(3000)), this, this);
    final List<MachineConnection> open = new ArrayList<>();
    final Map<MachineConnection, List<String>> said = new LinkedHashMap<>();
    final Map<PlacementAttempt, Outcome> ends = new HashMap<>();
    final Map<PlacementAttempt, String> bound = new HashMap<>();
    final List<PlacementAttempt> unanswered = new ArrayList<>();
    final List<Boolean> probes = new ArrayList<>();
    Duration now = ms(10_000);
    int most = 100;
    int made;
    boolean again;

    static Duration ms(long n) {
      return Duration.ofMillis(n);
    }

    PlacementAttempt offer() {
      PlacementAttempt c = new PlacementAttempt(new Vm("vm" + made++), machine, 0, now);
      c.vm.attempts.add(c);
      connectionPool.offer(c, ms(1000), again, now);
      return c;
    }

    /** A claim whose set-up a connection has carried. */
    PlacementAttempt carried() {
      PlacementAttempt c = offer();
      for (MachineConnection s : List.copyOf(open)) {
        connectionPool.connectionEstablished(s, now);
      }
      return c;
    }

    PlacementAttempt standing() {
      PlacementAttempt c = carried();
      connectionPool.vmAccepted(last(), c.vm.id, "d", now);
      return c;
    }

    MachineConnection last() {
      return open.get(open.size() - 1);
    }

    void pass(long millis) {
      Duration until = now.plus(ms(millis));
      while (now.compareTo(until) < 0) {
        now = now.plus(ms(50));
        connectionPool.tick(now);
        ConnectionBudget.rebalance(List.of(connectionPool), open.size(), most, now);
      }
    }

    @Override
    public boolean canOpen() {
      return open.size() < most;
    }

    @Override
    public void open(MachineConnection s) {
      open.add(s);
      said.put(s, new ArrayList<>());
    }

    @Override
    public void close(MachineConnection s) {
      open.remove(s);
    }

    @Override
    public void requestPlacement(MachineConnection s, PlacementAttempt attempt, Duration within) {
      assertThat(ends).doesNotContainKey(attempt);
      said.get(s).add("new " + attempt.vm.id);
    }

    @Override
    public void cancel(MachineConnection s, String vm) {
      said.get(s).add("given up " + vm);
    }

    @Override
    public void terminate(MachineConnection s, String vm) {
      said.get(s).add("cut " + vm);
    }

    @Override
    public void probe(MachineConnection s) {
      said.get(s).add("probe");
    }

    @Override
    public void attemptAccepted(PlacementAttempt attempt, String description) {
      assertThat(ends).doesNotContainKey(attempt);
      assertThat(bound.put(attempt, description)).isNull();
      attempt.acceptedAt = now;
    }

    @Override
    public void attemptEnded(PlacementAttempt attempt, Outcome end, OutcomeReason why) {
      assertThat(ends.put(attempt, end)).as("a second end of " + attempt.vm.id).isNull();
      attempt.outcome = end;
    }

    @Override
    public void attemptEndedUnanswered(
        PlacementAttempt attempt, Outcome outcome, OutcomeReason reason) {
      unanswered.add(attempt);
      attemptEnded(attempt, outcome, reason);
    }

    @Override
    public void probeCompleted(
        Machine m, boolean healthy, boolean withLoadReport, Duration roundTrip) {
      probes.add(healthy);
    }
  }

  private static VmTermination termination(
      PlacementAttempt attempt, Outcome ifPending, Outcome ifRunning) {
    return new VmTermination(
        attempt.vm.id, ifPending, Optional.ofNullable(ifRunning), OutcomeReason.UNSPECIFIED);
  }

  @Example
  void whatNoConnectionHasCarriedNeverRan() {
    World w = new World();
    PlacementAttempt refused = w.offer();
    w.connectionPool.connectionFailed(w.last(), true, w.now);
    assertThat(w.ends.get(refused)).isEqualTo(Outcome.UNREACHABLE);
    PlacementAttempt slow = w.offer();
    w.pass(300);
    assertThat(w.ends.get(slow)).isEqualTo(Outcome.UNREACHABLE);
    PlacementAttempt givenUp = w.offer();
    w.connectionPool.cancel(givenUp, Outcome.TIMEOUT, w.now);
    assertThat(w.ends.get(givenUp)).isEqualTo(Outcome.UNREACHABLE);
  }

  @Example
  void aConnectionThatBreaksEndsWhatItCarriesAndNothingElse() {
    World w = new World();
    PlacementAttempt stands = w.standing();
    PlacementAttempt one = w.carried();
    MachineConnection broken = w.last();
    PlacementAttempt other = w.carried();
    assertThat(w.last()).isNotSameAs(broken);
    w.connectionPool.connectionLost(broken, w.now);
    assertThat(w.ends).containsOnlyKeys(one).containsEntry(one, Outcome.RESET);
    w.connectionPool.vmAccepted(w.last(), other.vm.id, "d", w.now);
    assertThat(w.bound).containsOnlyKeys(stands, other);
  }

  @Example
  void lateRepeatedAndUnknownWordsArePassedOver() {
    World w = new World();
    PlacementAttempt c = w.carried();
    MachineConnection s = w.last();
    w.connectionPool.vmAccepted(s, "of somebody else", "x", w.now);
    w.connectionPool.vmAccepted(s, c.vm.id, "d", w.now);
    w.connectionPool.vmAccepted(s, c.vm.id, "d again", w.now);
    assertThat(w.bound).containsExactly(Map.entry(c, "d"));
    w.connectionPool.vmTerminated(s, termination(c, Outcome.FULL, null), w.now);
    assertThat(w.ends).isEmpty();
    w.connectionPool.vmTerminated(s, termination(c, Outcome.RESET, Outcome.DONE), w.now);
    w.connectionPool.vmTerminated(s, termination(c, Outcome.RESET, Outcome.DONE), w.now);
    assertThat(w.ends).containsExactly(Map.entry(c, Outcome.DONE));
  }

  /**
   * Guards a VM that ran, was cut before its late answer came, and was placed once more elsewhere.
   */
  @Example
  void aReleaseOfAVmThatItsMachineHadNotedIsNoResetOfItsSetUp() {
    for (Outcome after : List.of(Outcome.DONE, Outcome.RESET)) {
      World w = new World();
      PlacementAttempt noted = w.carried();
      w.connectionPool.vmReported(w.last(), noted.vm.id);
      w.connectionPool.vmTerminated(
          w.last(),
          new VmTermination(noted.vm.id, Outcome.RESET, Optional.of(after), OutcomeReason.DRAINED),
          w.now);
      assertThat(w.ends.get(noted)).isEqualTo(after);
      assertThat(w.unanswered).containsExactly(noted);
      w.connectionPool.vmAccepted(w.last(), noted.vm.id, "late", w.now);
      assertThat(w.bound).isEmpty();
      assertThat(w.connectionPool.runningVmCount()).isZero();
    }
  }

  @Example
  void aReleaseWithoutANoteOrThatSaysItNeverRanEndsTheSetUpAlone() {
    World w = new World();
    PlacementAttempt unnoted = w.carried();
    w.connectionPool.vmReported(w.last(), "another");
    w.connectionPool.vmTerminated(
        w.last(), termination(unnoted, Outcome.RESET, Outcome.RESET), w.now);
    PlacementAttempt refused = w.carried();
    w.connectionPool.vmReported(w.last(), refused.vm.id);
    w.connectionPool.vmTerminated(w.last(), termination(refused, Outcome.FULL, null), w.now);
    assertThat(w.ends).containsEntry(unnoted, Outcome.RESET).containsEntry(refused, Outcome.FULL);
    assertThat(w.unanswered).isEmpty();
  }

  @Example
  void aConnectionOnWhichASetUpWasGivenUpCarriesNoOther() {
    World w = new World();
    PlacementAttempt c = w.carried();
    MachineConnection s = w.last();
    w.connectionPool.cancel(c, Outcome.TIMEOUT, w.now);
    assertThat(w.said.get(s)).containsExactly("new vm0", "given up vm0");
    assertThat(w.open).doesNotContain(s);
    w.connectionPool.vmAccepted(s, c.vm.id, "late", w.now);
    assertThat(w.bound).isEmpty();
    assertThat(w.ends).containsExactly(Map.entry(c, Outcome.TIMEOUT));
  }

  @Example
  void toldThatItDrainsWhatWaitsIsTakenBackAndWhatIsOutIsNot() {
    World w = new World();
    PlacementAttempt out = w.carried();
    PlacementAttempt waits = w.offer();
    w.connectionPool.machineListed(Machine.Lifecycle.DRAINING, w.now);
    assertThat(w.ends).containsExactly(Map.entry(waits, Outcome.NOT_SENT));
    PlacementAttempt late = w.offer();
    assertThat(w.ends.get(late)).as("decided before it was told").isEqualTo(Outcome.NOT_SENT);
    w.connectionPool.vmAccepted(w.open.get(0), out.vm.id, "d", w.now);
    assertThat(w.bound).containsOnlyKeys(out);
  }

  @Example
  void whatStandsIsLostWhenNobodyListens() {
    World w = new World();
    PlacementAttempt c = w.standing();
    w.connectionPool.connectionLost(w.last(), w.now);
    w.open.clear();
    w.pass(300);
    w.connectionPool.connectionFailed(w.last(), true, w.now);
    assertThat(w.ends).as("one refusal may be chance").isEmpty();
    w.pass(300);
    w.connectionPool.connectionFailed(w.last(), true, w.now);
    assertThat(w.ends).containsExactly(Map.entry(c, Outcome.RESET));
  }

  @Example
  void whatStandsIsLostOnAMachineThatIsSilentAndLetsNothingComeUp() {
    World w = new World();
    PlacementAttempt c = w.standing();
    w.pass(4000);
    assertThat(w.ends).isEmpty();
    w.pass(1500);
    assertThat(w.ends).containsExactly(Map.entry(c, Outcome.RESET));
    assertThat(w.open).isEmpty();
  }

  @Example
  void whatStandsOnAMachineThatIsSilentButThereGoesOn() {
    World w = new World();
    w.standing();
    for (int i = 0; i < 100; i++) {
      w.pass(100);
      for (MachineConnection s : List.copyOf(w.open)) {
        w.connectionPool.connectionEstablished(s, w.now);
      }
    }
    assertThat(w.ends).isEmpty();
    assertThat(w.open.size()).isLessThanOrEqualTo(4);
  }

  @Example
  void aNewStartEndsWhatStoodBeforeIt() {
    World w = new World();
    PlacementAttempt before = w.standing();
    w.now = w.now.plusMillis(100);
    PlacementAttempt after = w.standing();
    w.connectionPool.machineRestarted(w.now.minusMillis(50));
    assertThat(w.ends).containsExactly(Map.entry(before, Outcome.RESET));
    assertThat(w.connectionPool.findRunningAttempt(after.vm.id)).containsSame(after);
  }

  @Example
  void anOwnersEndIsPassedOnAndConcludedWithoutAWordToo() {
    World w = new World();
    PlacementAttempt c = w.standing();
    w.connectionPool.terminate(c, w.now);
    w.connectionPool.terminate(c, w.now);
    assertThat(w.said.get(w.last())).containsExactly("new vm0", "cut vm0");
    w.pass(1600);
    assertThat(w.ends).containsExactly(Map.entry(c, Outcome.CANCELLED));
  }

  /**
   * Guards a cut that was said on no connection: the machine went on with a VM that nobody owns.
   */
  @Example
  void anOwnersEndThatNoConnectionCouldCarryIsPassedOnByTheNext() {
    World w = new World();
    PlacementAttempt c = w.standing();
    w.connectionPool.connectionLost(w.last(), w.now);
    w.open.clear();
    w.connectionPool.terminate(c, w.now);
    w.pass(300);
    w.connectionPool.connectionEstablished(w.last(), w.now);
    assertThat(w.said.get(w.last())).containsExactly("cut vm0");
    w.connectionPool.vmTerminated(
        w.last(), termination(c, Outcome.RESET, Outcome.CANCELLED), w.now);
    assertThat(w.ends).containsExactly(Map.entry(c, Outcome.CANCELLED));
  }

  /**
   * Guards two resets in a row of connections just up, taken for a machine where nobody listens.
   */
  @Example
  void aConnectionThatBreaksAsItComesUpSaysNothingOfTheMachine() {
    World w = new World();
    w.standing();
    w.connectionPool.connectionLost(w.last(), w.now);
    w.open.clear();
    for (int i = 0; i < 3; i++) {
      PlacementAttempt c = w.offer();
      w.connectionPool.connectionLost(w.last(), w.now);
      assertThat(w.ends.get(c)).as("no connection had carried it").isEqualTo(Outcome.UNREACHABLE);
    }
    assertThat(w.connectionPool.runningVmCount()).isEqualTo(1);
  }

  @Example
  void withoutADescriptorLeftSetUpsShareAConnection() {
    World w = new World();
    w.most = 1;
    PlacementAttempt one = w.carried();
    PlacementAttempt two = w.offer();
    assertThat(w.said.get(w.last())).containsExactly("new vm0", "new vm1");
    w.connectionPool.connectionLost(w.last(), w.now);
    w.open.clear();
    assertThat(w.ends).containsOnlyKeys(one, two);
    w.most = 0;
    assertThat(w.ends.get(w.offer())).isEqualTo(Outcome.NOT_SENT);
  }

  @Example
  void anOpenConnectionCarriesWhatMayBeSentAgainAndNoOneShot() {
    World w = new World();
    w.standing();
    w.pass(500);
    w.connectionPool.messageReceived(w.now);
    w.pass(500);
    w.offer();
    assertThat(w.open).as("half a second after it was used it proves nothing").hasSize(2);
    w.again = true;
    w.offer();
    assertThat(w.open).as("the machine was heard from of late").hasSize(2);
    assertThat(w.said.get(w.open.get(0))).containsExactly("new vm0", "new vm2");
  }

  @Example
  void aProbeWithoutAnAnswerFails() {
    World w = new World();
    w.connectionPool.probe(w.now);
    w.connectionPool.connectionEstablished(w.last(), w.now);
    assertThat(w.said.get(w.last())).containsExactly("probe");
    w.pass(300);
    assertThat(w.probes).containsExactly(false);
  }

  /**
   * Whatever happens in whatever order: each claim ends at most once, stands at most once, and
   * nothing is left.
   */
  @Property(tries = 300, seed = "1313")
  void everyAttemptEndsOnce(@ForAll long seed) {
    World w = new World();
    Random r = new Random(seed);
    List<PlacementAttempt> attempts = new ArrayList<>();
    for (int i = 0; i < 200; i++) {
      MachineConnection s =
          w.said.isEmpty() ? null : new ArrayList<>(w.said.keySet()).get(r.nextInt(w.said.size()));
      PlacementAttempt c = attempts.isEmpty() ? null : attempts.get(r.nextInt(attempts.size()));
      switch (r.nextInt(11)) {
        case 0, 1 -> attempts.add(w.offer());
        case 2 -> w.pass(r.nextInt(400));
        case 3 ->
            w.connectionPool.machineListed(
                r.nextInt(3) == 0 ? Machine.Lifecycle.DRAINING : Machine.Lifecycle.LIVE, w.now);
        default -> {
          if (s == null || c == null) {
            continue;
          }
          switch (r.nextInt(9)) {
            case 0, 1 -> w.connectionPool.connectionEstablished(s, w.now);
            case 2 -> w.connectionPool.connectionFailed(s, r.nextBoolean(), w.now);
            case 3 -> w.connectionPool.connectionLost(s, w.now);
            case 4, 5 -> w.connectionPool.vmAccepted(s, c.vm.id, "d", w.now);
            case 6 ->
                w.connectionPool.vmTerminated(
                    s, termination(c, Outcome.FULL, r.nextBoolean() ? Outcome.DONE : null), w.now);
            case 7 -> w.connectionPool.terminate(c, w.now);
            default -> {
              if (c.isInFlight() && c.acceptedAt == null) {
                w.connectionPool.cancel(c, Outcome.TIMEOUT, w.now);
              }
            }
          }
        }
      }
    }
    w.connectionPool.machineListed(Machine.Lifecycle.GONE, w.now);
    assertThat(w.ends.keySet()).containsExactlyInAnyOrderElementsOf(attempts);
    assertThat(w.connectionPool.isRetired()).isTrue();
  }
}
