package fordridge.faults;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import net.jqwik.api.Example;

/**
 * A scheduler that was killed and restarted gets the handover of its VMs while requests of the same
 * services arrive. It offers no VM to a machine where the handed-over VMs already reach the limit,
 * or that the VM's class does not allow.
 */
class RestartWithHandoverTest {
  private static final int LOG_LINES_SHOWN = 2000;

  private static void assertNoViolations(String... faults) throws Exception {
    FaultHarness.Result result = FaultHarness.run(FaultPlan.of(faults));
    System.out.println(
        result.plan() + ": " + result.summary() + ", violations " + result.violations().size());
    List<String> log = result.log();
    assertThat(result.violations())
        .as(
            () ->
                String.join(
                    "\n", log.subList(Math.max(0, log.size() - LOG_LINES_SHOWN), log.size())))
        .isEmpty();
  }

  /** The handover is written, on other connections, before the scheduler reads any request. */
  @Example
  void unreadHandoverIsAppliedBeforeConcurrentRequests() throws Exception {
    assertNoViolations("HANDOVER_STOPPED@700=700", "PROCESS_KILLED@800=100");
  }

  /**
   * The offers are decided but wait for connections to their machines; the handover is read first.
   */
  @Example
  void offerWaitingForConnectionIsReevaluatedAfterHandover() throws Exception {
    assertNoViolations("HANDOVER_CONNECTS_LATE@700=600", "PROCESS_KILLED@800=100");
  }

  /** The JVM has compiled no code yet, and the process gets only a share of a core. */
  @Example
  void coldStartOnContendedCoreKeepsLimits() throws Exception {
    assertNoViolations("CORE_CONTENDED@100=3", "PROCESS_KILLED@800=150");
  }
}
