package fordridge.faults;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import net.jqwik.api.Example;

/**
 * Real scheduler processes meet the obligations of the protocol under faults: some race conditions
 * that are forced, and a few generated plans. {@link FaultCampaign} runs more.
 */
class FaultInjectionTest {
  private static final long FIRST_SEED = 1;
  private static final int SEEDS = 16;
  private static final int MAX_EMPTY_POLLS = 10_000;
  private static final int LOG_LINES_SHOWN = 2000;

  private static FaultHarness.Result assertNoViolations(FaultPlan plan) throws Exception {
    FaultHarness.Result result = FaultHarness.run(plan);
    System.out.println(
        plan + ": " + result.summary() + ", violations " + result.violations().size());
    assertThat(result.violations()).as(() -> describe(result)).isEmpty();
    return result;
  }

  private static String describe(FaultHarness.Result result) {
    List<String> log = result.log();
    return result.plan()
        + "\n"
        + String.join("\n", log.subList(Math.max(0, log.size() - LOG_LINES_SHOWN), log.size()));
  }

  /**
   * An event loop that polls instead of blocking uses up CPU time, which a metered clock charges at
   * once.
   */
  @Example
  void eventLoopBlocksUntilNextTimer() throws Exception {
    FaultHarness.Result result =
        assertNoViolations(FaultPlan.of("CLOCK_METERED@0=300", "CLIENT_BURST@500=60"));
    assertThat(result.emptyPolls()).isLessThan(MAX_EMPTY_POLLS);
  }

  @Example
  void terminatedProcessAnswersBeforeSigkillWhileMachinesHang() throws Exception {
    assertNoViolations(FaultPlan.of("ALL_MACHINES_HANG@700=4000", "PROCESS_TERMINATED@800=0"));
  }

  /**
   * No request is rejected for a failed system call. A reset that cuts off the answer to a VM that
   * may not be placed again leaves its request no other end.
   */
  @Example
  void transientSystemCallFailuresDelayNothing() throws Exception {
    FaultHarness.Result result =
        assertNoViolations(
            FaultPlan.of(
                "CONNECT_FAILS@300=4",
                "MACHINE_HOP_RESET@310=0",
                "MACHINE_HOP_RESET@320=0",
                "ACCEPT_FAILS@700=5",
                "CLIENT_RESETS@720=0",
                "CONNECT_FAILS@2000=5",
                "MACHINE_HOP_RESET@2010=0",
                "MACHINE_HOP_RESET@2020=0"));
    assertThat(result.avoidableRejections()).isZero();
  }

  /** VMs complete, or are ended with their machine, before the answers to their requests arrive. */
  @Example
  void endBeforeDelayedAnswerIsNotifiedWhileMachinesAreReplaced() throws Exception {
    assertNoViolations(
        FaultPlan.of(
            "MACHINE_ANSWERS_LATE@100=700",
            "MACHINE_ANSWERS_LATE@110=700",
            "MACHINE_ANSWERS_LATE@120=600",
            "MACHINE_ANSWERS_LATE@130=500",
            "MACHINES_REPLACED@1500=400"));
  }

  /**
   * A VM that runs is released if its answer is lost, crosses a withdrawal or arrives on another
   * connection.
   */
  @Example
  void unownedVmsAreReleased() throws Exception {
    assertNoViolations(
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
  void generatedPlansCauseNoViolation() throws Exception {
    List<FaultHarness.Result> failed = FaultCampaign.runPlans(FIRST_SEED, SEEDS);
    for (FaultHarness.Result result : failed) {
      System.out.println("failed: " + result.plan() + " " + result.violations());
    }
    assertThat(failed).as(() -> describe(failed.get(0))).isEmpty();
  }
}
