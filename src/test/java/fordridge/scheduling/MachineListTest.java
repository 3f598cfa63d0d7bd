package fordridge.scheduling;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import net.jqwik.api.Example;

/** The watch of the machine list. */
class MachineListTest {
  @Example
  void machineListIsWatchedAgainAfterAFailure() {
    SchedulerFixture fixture = new SchedulerFixture(false, "all");
    fixture.start(1, 2);
    assertThat(fixture.isWatching).isTrue();
    fixture.isWatching = false;
    fixture.scheduler.machineListFailed();
    fixture.advance(Duration.ofSeconds(2));
    fixture.request("retryable", 1, 1, 1);
    assertThat(fixture.isWatching).isTrue();
  }

  /**
   * Placing must go on while the list cannot be received for 25 s; four poll intervals of 10 s are
   * allowed after a failure.
   */
  @Example
  void lastListIsUsedForFourIntervalsAfterAFailure() {
    SchedulerFixture fixture = new SchedulerFixture(false, "all");
    fixture.start(1, 2);
    fixture.scheduler.machineListFailed();
    fixture.advance(Duration.ofSeconds(30));
    assertThat(fixture.request("retryable", 1, 1, 1).attempts.size()).isEqualTo(1);
    fixture.advance(Duration.ofSeconds(11));
    assertThat(fixture.request("retryable", 1, 1, 1).attempts).isEmpty();
  }
}
