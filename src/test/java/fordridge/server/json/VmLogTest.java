package fordridge.server.json;

import static org.assertj.core.api.Assertions.assertThat;

import fordridge.model.Machine;
import fordridge.model.PlacementAttempt;
import fordridge.model.PlacementAttempt.Outcome;
import fordridge.model.PlacementAttempt.OutcomeReason;
import fordridge.model.Vm;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Example;

class VmLogTest {
  private final List<String> lines = new ArrayList<>();
  private final VmLog log = new VmLog(new BoundedLog(lines::add));

  @Example
  void endWithoutAnAnswerNamesItsReason() {
    PlacementAttempt attempt =
        new PlacementAttempt(new Vm("vm"), new Machine(1), 0, Duration.ofSeconds(1));
    log.endedUnanswered(attempt, "s-1", Outcome.RESET, OutcomeReason.DRAINED);
    assertThat(lines)
        .containsExactly("vm ended unanswered: vm vm, machine s-1, RESET DRAINED, attempt 0");
  }

  @Example
  void reasonsOfLostConnectionsAreCountedWithinABound() {
    int reasons = 2 * VmLog.MAX_COUNTED_EVENTS;
    for (int i = 0; i < reasons; i++) {
      log.machineConnectionLost("s-1", "reason " + i, List.of());
    }
    assertThat(log.summary().split(",")).hasSize(VmLog.MAX_COUNTED_EVENTS + 1);
    assertThat(log.summary()).contains("other=" + (reasons - VmLog.MAX_COUNTED_EVENTS));
  }
}
