package fordridge.faults;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import net.jqwik.api.Example;

/**
 * Real scheduler processes under faults keep what they owe: some crossings that are forced, and a
 * few drawn plans. {@link FaultCampaign} plays more.
 */
class FaultRigTest {
  private static final long FIRST_SEED = 1;
  private static final int SEEDS = 16;
  private static final int MAX_EMPTY_POLLS = 10_000;
  private static final int LOG_LINES_SHOWN = 2000;

  private static FaultRig.Result assertKept(FaultPlan plan) throws Exception {
    FaultRig.Result result = FaultRig.play(plan);
    System.out.println(plan + ": " + result.summary() + ", broken " + result.violations().size());
    assertThat(result.violations()).as(() -> describe(result)).isEmpty();
    return result;
  }

  private static String describe(FaultRig.Result result) {
    List<String> log = result.log();
    return result.plan()
        + "\n"
        + String.join("\n", log.subList(Math.max(0, log.size() - LOG_LINES_SHOWN), log.size()));
  }

  /** A loop that polls uses up a share of a core, and is charged for it in one go. */
  @Example
  void loopBlocksUntilItsNextTimerAndDoesNotPoll() throws Exception {
    FaultRig.Result result = assertKept(FaultPlan.of("CLOCK_METERED@0=300", "CLIENT_BURST@500=60"));
    assertThat(result.emptyPolls()).isLessThan(MAX_EMPTY_POLLS);
  }

  @Example
  void terminatedProcessAnswersBeforeItIsKilledThoughMachinesHang() throws Exception {
    assertKept(FaultPlan.of("ALL_MACHINES_HANG@700=4000", "PROCESS_TERMINATED@800=0"));
  }

  @Example
  void systemCallsThatFailForAMomentDelayNothing() throws Exception {
    FaultRig.Result result =
        assertKept(
            FaultPlan.of(
                "CONNECT_FAILS@300=4",
                "MACHINE_HOP_RESET@310=0",
                "MACHINE_HOP_RESET@320=0",
                "ACCEPT_FAILS@700=5",
                "CLIENT_RESETS@720=0",
                "CONNECT_FAILS@2000=5",
                "MACHINE_HOP_RESET@2010=0",
                "MACHINE_HOP_RESET@2020=0"));
    assertThat(result.declined()).isZero();
  }

  /** VMs end, and are cut with their machine, before the answers to their requests have come. */
  @Example
  void endThatOvertakesALateAnswerIsToldWhileMachinesAreReplaced() throws Exception {
    assertKept(
        FaultPlan.of(
            "MACHINE_ANSWERS_LATE@100=700",
            "MACHINE_ANSWERS_LATE@110=700",
            "MACHINE_ANSWERS_LATE@120=600",
            "MACHINE_ANSWERS_LATE@130=500",
            "MACHINES_REPLACED@1500=400"));
  }

  /** Answers are lost, crossed by withdrawals or come elsewhere: what runs of it is released. */
  @Example
  void vmsThatNobodyOwnsAreReleased() throws Exception {
    assertKept(
        FaultPlan.of(
            "MACHINE_ANSWERS_LOST@300=12",
            "CLIENTS_GIVE_UP@600=60",
            "MACHINE_ANSWERS_ELSEWHERE@900=12",
            "MACHINE_HOP_RESET@1000=0",
            "CLIENTS_GIVE_UP@1400=60",
            "MACHINE_HOP_RESET@1420=0",
            "MACHINE_ADDRESS_TAKEN@1800=3000",
            "MACHINE_ANSWERS_LOST@2200=12"));
  }

  @Example
  void drawnPlansAreKept() throws Exception {
    List<FaultRig.Result> broken = FaultCampaign.play(FIRST_SEED, SEEDS);
    for (FaultRig.Result result : broken) {
      System.out.println("broken: " + result.plan() + " " + result.violations());
    }
    assertThat(broken).as(() -> describe(broken.get(0))).isEmpty();
  }
}
