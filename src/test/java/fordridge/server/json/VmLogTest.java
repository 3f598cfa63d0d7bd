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
  private long nanos;
  private final VmLog log = new VmLog(lines::add, () -> nanos);

  @Example
  void unansweredEndIsLoggedWithItsReason() {
    PlacementAttempt attempt =
        new PlacementAttempt(new Vm("vm"), new Machine(1), 0, Duration.ofSeconds(1));
    log.endedUnanswered(attempt, "s-1", Outcome.RESET, OutcomeReason.DRAINED);
    assertThat(lines).containsExactly("vm vm ended unanswered: s-1 #0, RESET DRAINED");
  }

  @Example
  void everyIdOfABusySecondIsLoggedAndTheBytesAreBounded() {
    PlacementAttempt attempt =
        new PlacementAttempt(new Vm("0123456789abcdef"), new Machine(1), 0, Duration.ZERO);
    int busySecond = 4000;
    for (int i = 0; i < busySecond; i++) {
      log.accepted(attempt, "s-01234567", Duration.ofMillis(300));
    }
    assertThat(lines).hasSize(busySecond);
    for (int i = 0; i < 10 * busySecond; i++) {
      log.accepted(attempt, "s-01234567", Duration.ofMillis(300));
    }
    assertThat(lines.stream().mapToLong(String::length).sum())
        .isLessThanOrEqualTo(LogByteBudget.BURST_BYTES);
    assertThat(log.suppressedLines()).isEqualTo(11L * busySecond - lines.size());
    int before = lines.size();
    nanos += 1_000_000_000;
    log.accepted(attempt, "s-01234567", Duration.ofMillis(300));
    assertThat(lines).hasSize(before + 1);
  }

  @Example
  void reasonsOfLostConnectionsAreCountedWithinABound() {
    int reasons = 2 * VmLog.MAX_COUNTED_EVENTS;
    for (int i = 0; i < reasons; i++) {
      log.machineConnectionLost("s-1", "reason " + i, Duration.ZERO, List.of());
    }
    assertThat(log.summary().split(",")).hasSize(VmLog.MAX_COUNTED_EVENTS + 1);
    assertThat(log.summary()).contains("other=" + (reasons - VmLog.MAX_COUNTED_EVENTS));
  }
}
