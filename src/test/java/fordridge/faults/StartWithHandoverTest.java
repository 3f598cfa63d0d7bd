package fordridge.faults;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import net.jqwik.api.Example;

/**
 * A process that was killed and started again is handed the VMs of its past while requests of their
 * services come: none is offered where the VMs fill the limit already, nor anywhere else that its
 * class is not allowed.
 */
class StartWithHandoverTest {
  private static final int LOG_LINES_SHOWN = 2000;

  private static void assertKept(String... faults) throws Exception {
    FaultRig.Result result = FaultRig.play(FaultPlan.of(faults));
    System.out.println(
        result.plan() + ": " + result.summary() + ", broken " + result.violations().size());
    List<String> log = result.log();
    assertThat(result.violations())
        .as(
            () ->
                String.join(
                    "\n", log.subList(Math.max(0, log.size() - LOG_LINES_SHOWN), log.size())))
        .isEmpty();
  }

  /** The handover was written before any request is read, on other connections. */
  @Example
  void handoverThatWaitsInItsSocketIsKnownToTheRequestsThatCameWithIt() throws Exception {
    assertKept("HANDOVER_STOPPED@700=700", "PROCESS_KILLED@800=100");
  }

  /** The offers are decided, and the VMs are handed over before the first byte can be sent. */
  @Example
  void offerThatWaitsForItsConnectionIsDecidedAnewAfterAHandover() throws Exception {
    assertKept("HANDOVER_CONNECTS_LATE@700=600", "PROCESS_KILLED@800=100");
  }

  /** Nothing is compiled, and the process gets a part of a core. */
  @Example
  void starvedColdStartKeepsTheLimits() throws Exception {
    assertKept("CORE_CONTENDED@100=3", "PROCESS_KILLED@800=150");
  }
}
