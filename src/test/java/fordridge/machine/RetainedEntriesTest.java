package fordridge.machine;

import static org.assertj.core.api.Assertions.assertThat;

import fordridge.model.PlacementAttempt.Outcome;
import fordridge.model.PlacementAttempt.OutcomeReason;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import net.jqwik.api.Example;

/** The bounds of all machines together, besides those of each. */
class RetainedEntriesTest {
  private static final Duration NOW = Duration.ofSeconds(10);
  private static final int MACHINES = 50;

  private final RetainedEntries retained = new RetainedEntries();

  private static void fill(UnclaimedTerminations terminations, int count) {
    for (int i = 0; i < count; i++) {
      terminations.add(
          new VmTermination(
              "vm" + i, Outcome.RESET, Optional.of(Outcome.DONE), OutcomeReason.UNSPECIFIED),
          NOW);
    }
  }

  private static void fill(UnsettledAttempts attempts, int count) {
    for (int i = 0; i < count; i++) {
      attempts.add("vm" + i, UnsettledReason.CONNECTION_LOST, NOW);
    }
  }

  /** Guards against memory that grows with the number of machines that name unknown VMs. */
  @Example
  void unclaimedTerminationsOfAllMachinesAreBounded() {
    List<UnclaimedTerminations> machines = new ArrayList<>();
    for (int i = 0; i < MACHINES; i++) {
      machines.add(new UnclaimedTerminations(retained.unclaimedTerminations));
      fill(machines.get(i), UnclaimedTerminations.MAX_ENTRIES);
    }
    assertThat(machines.stream().mapToInt(UnclaimedTerminations::size).sum())
        .isEqualTo((int) retained.unclaimedTerminations.total())
        .isLessThanOrEqualTo(RetainedEntries.MAX_ENTRIES);
  }

  /** One machine that floods the scheduler takes nothing from another one. */
  @Example
  void modestMachineKeepsItsTerminations() {
    UnclaimedTerminations flood = new UnclaimedTerminations(retained.unclaimedTerminations);
    UnclaimedTerminations second = new UnclaimedTerminations(retained.unclaimedTerminations);
    UnclaimedTerminations modest = new UnclaimedTerminations(retained.unclaimedTerminations);
    fill(flood, UnclaimedTerminations.MAX_ENTRIES);
    fill(second, UnclaimedTerminations.MAX_ENTRIES);
    fill(modest, 100);
    assertThat(modest.contains("vm0", NOW)).isTrue();
    modest.removeSurplus(NOW.plus(UnclaimedTerminations.RETENTION_TIME));
    assertThat(modest.size()).as("expired").isZero();
  }

  /** Guards against memory that grows with the number of machines that settle nothing. */
  @Example
  void unsettledAttemptsOfAllMachinesAreBoundedAndReturned() {
    List<UnsettledAttempts> machines = new ArrayList<>();
    for (int i = 0; i < MACHINES; i++) {
      machines.add(new UnsettledAttempts(retained.unsettledAttempts));
      fill(machines.get(i), UnsettledAttempts.MAX_ENTRIES);
    }
    assertThat(retained.unsettledAttempts.total()).isLessThanOrEqualTo(RetainedEntries.MAX_ENTRIES);
    machines.forEach(attempts -> attempts.settle("vm" + (UnsettledAttempts.MAX_ENTRIES - 1)));
    machines.forEach(UnsettledAttempts::settleAll);
    assertThat(retained.unsettledAttempts.total()).isZero();
  }
}
