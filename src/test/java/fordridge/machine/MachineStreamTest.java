package fordridge.machine;

import static org.assertj.core.api.Assertions.assertThat;

import fordridge.model.PlacementAttempt;
import fordridge.model.PlacementAttempt.Outcome;
import fordridge.model.PlacementAttempt.OutcomeReason;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

class MachineStreamTest {
  @Example
  void unsentOfferEndsAsUnreachable() {
    StreamFixture fixture = new StreamFixture();
    PlacementAttempt attempt = fixture.offer(false);
    fixture.breakStream();
    assertThat(attempt.outcome).isEqualTo(Outcome.UNREACHABLE);
    assertThat(fixture.offered).isEmpty();
  }

  @Example
  void connectTimeoutClosesTheStreamAndEndsItsOffers() {
    StreamFixture fixture = new StreamFixture();
    PlacementAttempt attempt = fixture.offer(false);
    fixture.advance(260);
    assertThat(attempt.outcome).isEqualTo(Outcome.UNREACHABLE);
    assertThat(fixture.actions).contains("close");
  }

  @Example
  void idempotentAttemptEndsWithTheStreamAndIsCancelledOnReconnect() {
    StreamFixture fixture = new StreamFixture();
    PlacementAttempt attempt = fixture.offer(true);
    fixture.receiveInventory(1);
    fixture.breakStream();
    assertThat(attempt.outcome).isEqualTo(Outcome.RESET);
    fixture.advance(150);
    fixture.receiveInventory(
        1, StreamFixture.reported(StreamFixture.idOf(attempt), ReportedVm.State.RUNNING));
    assertThat(fixture.actions).contains("cancel vm0");
    assertThat(fixture.accepted).isEmpty();
  }

  @Example
  void nonIdempotentAttemptResumesWithTheStream() {
    StreamFixture fixture = new StreamFixture();
    PlacementAttempt attempt = fixture.offer(false);
    fixture.receiveInventory(1);
    fixture.breakStream();
    assertThat(attempt.outcome).isNull();
    fixture.advance(150);
    fixture.receiveInventory(
        1, StreamFixture.reported(StreamFixture.idOf(attempt), ReportedVm.State.RUNNING));
    assertThat(fixture.accepted).contains(attempt);
    assertThat(attempt.outcome).isNull();
  }

  @Example
  void nonIdempotentAttemptMissingFromTheInventoryNeverRan() {
    StreamFixture fixture = new StreamFixture();
    PlacementAttempt attempt = fixture.offer(false);
    fixture.receiveInventory(1);
    fixture.breakStream();
    fixture.advance(150);
    fixture.receiveInventory(1);
    assertThat(attempt.outcome).isEqualTo(Outcome.NOT_SENT);
    assertThat(attempt.hasNeverRun()).isTrue();
  }

  @Example
  void nonIdempotentAttemptOnARestartedMachineMayHaveRun() {
    StreamFixture fixture = new StreamFixture();
    PlacementAttempt attempt = fixture.offer(false);
    fixture.receiveInventory(1);
    fixture.breakStream();
    fixture.advance(150);
    fixture.receiveInventory(2);
    assertThat(attempt.outcome).isEqualTo(Outcome.RESET);
  }

  @Example
  void nonIdempotentAttemptEndsWhenTheStreamDoesNotComeBack() {
    StreamFixture fixture = new StreamFixture();
    PlacementAttempt attempt = fixture.offer(false);
    fixture.receiveInventory(1);
    fixture.breakStream();
    fixture.advance(410);
    assertThat(attempt.outcome).isEqualTo(Outcome.RESET);
  }

  @Example
  void runningVmIsLostOnlyByInventoryOrMachineList() {
    StreamFixture fixture = new StreamFixture();
    PlacementAttempt kept = fixture.offer(true);
    PlacementAttempt lost = fixture.offer(true);
    fixture.receiveInventory(1);
    fixture.stream.vmStarted(StreamFixture.idOf(kept));
    fixture.stream.vmStarted(StreamFixture.idOf(lost));
    fixture.breakStream();
    fixture.advance(60);
    assertThat(kept.outcome).isNull();
    fixture.advance(60);
    fixture.receiveInventory(
        1, StreamFixture.reported(StreamFixture.idOf(kept), ReportedVm.State.RUNNING));
    assertThat(kept.outcome).isNull();
    assertThat(lost.outcome).isEqualTo(Outcome.RESET);
    fixture.breakStream();
    fixture.stream.machineListed(true, fixture.now);
    assertThat(kept.outcome).isEqualTo(Outcome.RESET);
  }

  @Example
  void offerBeyondTheQueueLimitEndsAsNotSent() {
    StreamFixture fixture = new StreamFixture();
    fixture.isReady = false;
    for (int i = 0; i < StreamFixture.MAX_QUEUED_OFFERS; i++) {
      assertThat(fixture.offer(true).outcome).isNull();
    }
    fixture.receiveInventory(1);
    assertThat(fixture.stream.isQueueFull()).isTrue();
    assertThat(fixture.offer(true).outcome)
        .as("the limit is the scheduler's own and says nothing about the machine")
        .isEqualTo(Outcome.NOT_SENT);
    fixture.isReady = true;
    fixture.stream.transportReady(fixture.now);
    assertThat(fixture.offered).hasSize(StreamFixture.MAX_QUEUED_OFFERS);
    assertThat(fixture.stream.isQueueFull()).isFalse();
  }

  @Example
  void drainingWithdrawsUnsentOffers() {
    StreamFixture fixture = new StreamFixture();
    fixture.isReady = false;
    PlacementAttempt attempt = fixture.offer(false);
    fixture.receiveInventory(1);
    fixture.stream.machineDraining();
    assertThat(attempt.outcome).isEqualTo(Outcome.NOT_SENT);
    fixture.isReady = true;
    fixture.stream.transportReady(fixture.now);
    assertThat(fixture.offered).isEmpty();
  }

  @Example
  void answerAfterCancelIsIgnored() {
    StreamFixture fixture = new StreamFixture();
    PlacementAttempt attempt = fixture.offer(false);
    fixture.receiveInventory(1);
    assertThat(fixture.stream.cancel(attempt, fixture.now)).isFalse();
    attempt.outcome = Outcome.TIMEOUT;
    fixture.stream.vmStarted(StreamFixture.idOf(attempt));
    fixture.stream.attemptEnded(
        StreamFixture.idOf(attempt), Outcome.CANCELLED, OutcomeReason.UNSPECIFIED, fixture.now);
    assertThat(fixture.accepted).isEmpty();
    assertThat(fixture.stream.attemptCount()).isEqualTo(0);
  }

  @Example
  void runningVmsOfAnEarlierIncarnationAreReportedAndQueuedOnesCancelled() {
    StreamFixture fixture = new StreamFixture();
    fixture.stream.reconcile(fixture.now);
    fixture.receiveInventory(
        4,
        StreamFixture.reported(new AttemptId("old", 2), ReportedVm.State.RUNNING),
        StreamFixture.reported(new AttemptId("queued", 0), ReportedVm.State.QUEUED));
    assertThat(fixture.unknownVms.size()).isEqualTo(1);
    assertThat(fixture.actions).contains("cancel queued");
  }

  @Example
  void backoffGrowsAndOffersDuringItEndAtOnce() {
    StreamFixture fixture = new StreamFixture();
    List<Long> connectTimes = new ArrayList<>();
    for (int i = 0; i < 6; i++) {
      while (fixture.stream.state() == MachineStream.State.BACKING_OFF) {
        assertThat(fixture.offer(true).outcome).isEqualTo(Outcome.UNREACHABLE);
        fixture.advance(20);
      }
      connectTimes.add(fixture.now.toMillis());
      fixture.offer(true);
      fixture.breakStream();
    }
    for (int i = 2; i < connectTimes.size(); i++) {
      assertThat(connectTimes.get(i) - connectTimes.get(i - 1))
          .isGreaterThan((connectTimes.get(i - 1) - connectTimes.get(i - 2)) * 9 / 10);
    }
    assertThat(connectTimes.get(5) - connectTimes.get(4)).isLessThan(2100L);
  }

  /**
   * With a machine that follows the protocol and random sequences of stream failures, answers and
   * machine lists: every attempt gets an outcome, and none that ran is counted as never run.
   */
  @Property(tries = 400, seed = "77")
  void everyAttemptEndsOnceAndNoneThatRanCountsAsNeverRun(@ForAll long seed) {
    StreamSimulation simulation = new StreamSimulation(seed);
    for (int i = 0; i < 120; i++) {
      simulation.step();
      simulation.assertNoneThatRanCountsAsNeverRun();
    }
    simulation.finish();
    for (PlacementAttempt attempt : simulation.attempts) {
      assertThat(attempt.outcome).as("left without an outcome").isNotNull();
    }
  }

  /** A stream and a machine that follows the protocol, driven by random events. */
  private static final class StreamSimulation {
    final StreamFixture fixture = new StreamFixture();
    final List<PlacementAttempt> attempts = new ArrayList<>();
    private final Random random;
    private final Map<AttemptId, ReportedVm.State> statesOnMachine = new HashMap<>();
    private final Set<AttemptId> ran = new HashSet<>();
    private final Set<AttemptId> received = new HashSet<>();
    private long incarnation = 1;

    StreamSimulation(long seed) {
      random = new Random(seed);
    }

    void step() {
      receiveOffers();
      PlacementAttempt attempt =
          attempts.isEmpty() ? null : attempts.get(random.nextInt(attempts.size()));
      AttemptId id = attempt == null ? null : StreamFixture.idOf(attempt);
      switch (random.nextInt(9)) {
        case 0, 1 -> attempts.add(fixture.offer(random.nextBoolean()));
        case 2 -> sendInventory();
        case 3 -> startQueued(id);
        case 4 -> rejectQueued(id);
        case 5 -> breakStream();
        case 6 -> cancel(attempt);
        case 7 -> fixture.isReady = random.nextInt(4) > 0;
        default -> fixture.advance(random.nextInt(300));
      }
    }

    void finish() {
      if (fixture.isOpen) {
        fixture.breakStream();
      }
      fixture.stream.machineListed(true, fixture.now);
    }

    void assertNoneThatRanCountsAsNeverRun() {
      for (PlacementAttempt attempt : attempts) {
        assertThat(attempt.hasNeverRun() && ran.contains(StreamFixture.idOf(attempt)))
            .as("counted as never run, but ran")
            .isFalse();
      }
    }

    /** Delivers the written offers to the machine; some are lost if the stream has broken. */
    private void receiveOffers() {
      for (AttemptId id : fixture.offered) {
        if (received.add(id) && (fixture.isOpen || random.nextBoolean())) {
          statesOnMachine.put(id, ReportedVm.State.QUEUED);
        }
      }
    }

    private void sendInventory() {
      if (fixture.stream.state() == MachineStream.State.CONNECTING) {
        List<ReportedVm> inventory = new ArrayList<>();
        statesOnMachine.forEach((id, state) -> inventory.add(StreamFixture.reported(id, state)));
        fixture.stream.inventoryReceived(incarnation, inventory, fixture.now);
      }
    }

    private void startQueued(AttemptId id) {
      if (id != null && statesOnMachine.get(id) == ReportedVm.State.QUEUED) {
        statesOnMachine.put(id, ReportedVm.State.RUNNING);
        ran.add(id);
        if (isEstablished() && random.nextInt(3) > 0) {
          fixture.stream.vmStarted(id);
        }
      }
    }

    private void rejectQueued(AttemptId id) {
      if (id != null && statesOnMachine.get(id) == ReportedVm.State.QUEUED) {
        statesOnMachine.put(id, ReportedVm.State.REJECTED);
        if (isEstablished()) {
          fixture.stream.attemptRejected(id, OutcomeReason.INSUFFICIENT_CORES, fixture.now);
        }
      }
    }

    private void breakStream() {
      if (fixture.isOpen) {
        fixture.breakStream();
        if (random.nextInt(4) == 0) {
          incarnation++;
          statesOnMachine.clear();
        }
      }
    }

    private void cancel(PlacementAttempt attempt) {
      if (attempt == null || attempt.outcome != null || fixture.accepted.contains(attempt)) {
        return;
      }
      boolean neverSent = fixture.stream.cancel(attempt, fixture.now);
      Outcome outcome = neverSent ? Outcome.UNREACHABLE : Outcome.TIMEOUT;
      fixture.attemptEnded(attempt, outcome, OutcomeReason.UNSPECIFIED);
      statesOnMachine.replace(
          StreamFixture.idOf(attempt), ReportedVm.State.QUEUED, ReportedVm.State.REJECTED);
    }

    private boolean isEstablished() {
      return fixture.stream.state() == MachineStream.State.ESTABLISHED;
    }
  }
}
