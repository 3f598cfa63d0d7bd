package fordridge.runtime;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import net.jqwik.api.Example;

/** Start times of machines when the wall clock of the scheduler's host is wrong. */
class MachineStartTimesTest {
  private static final long TRUE_EPOCH = 1_800_000_000_000L;
  private static final long HOUR = Duration.ofHours(1).toMillis();
  private static final Duration NOW = Duration.ofSeconds(20);

  @Example
  void startIsConvertedByTheWallClockReadAtTheProcessStart() {
    MachineStartTimes times = new MachineStartTimes(TRUE_EPOCH);
    assertThat(times.startedAt("a", TRUE_EPOCH + 15_000, true, NOW))
        .isEqualTo(Duration.ofSeconds(15));
    assertThat(times.startedAt("b", TRUE_EPOCH - HOUR, false, NOW))
        .as("known from the configuration: it may have started long ago")
        .isEqualTo(Duration.ofHours(-1));
  }

  @Example
  void newMachineIsNotTreatedAsWarmedUpWhenTheWallClockIsAhead() {
    MachineStartTimes times = new MachineStartTimes(TRUE_EPOCH + HOUR);
    assertThat(times.startedAt("a", TRUE_EPOCH + 20_000, true, NOW)).isEqualTo(NOW);
    assertThat(times.startedAt("b", TRUE_EPOCH + 15_000, true, NOW))
        .as("the clock is known from then on")
        .isEqualTo(Duration.ofSeconds(15));
  }

  @Example
  void newMachineDoesNotStartInTheFutureWhenTheWallClockIsBehind() {
    MachineStartTimes times = new MachineStartTimes(TRUE_EPOCH - HOUR);
    assertThat(times.startedAt("a", TRUE_EPOCH + 20_000, true, NOW)).isEqualTo(NOW);
    assertThat(times.startedAt("b", TRUE_EPOCH + 18_000, false, NOW))
        .isEqualTo(Duration.ofSeconds(18));
  }

  @Example
  void watchEventOfAKnownMachineKeepsItsStart() {
    MachineStartTimes times = new MachineStartTimes(TRUE_EPOCH);
    times.startedAt("a", TRUE_EPOCH - HOUR, false, NOW);
    assertThat(times.startedAt("a", TRUE_EPOCH - HOUR, true, NOW)).isEqualTo(Duration.ofHours(-1));
  }

  @Example
  void startOfAMachineStaysTheSameAfterAClockCorrection() {
    MachineStartTimes times = new MachineStartTimes(TRUE_EPOCH + HOUR);
    Duration before = times.startedAt("a", TRUE_EPOCH - 5_000, false, NOW);
    times.startedAt("b", TRUE_EPOCH + 20_000, true, NOW);
    assertThat(times.startedAt("a", TRUE_EPOCH - 5_000, true, NOW.plusSeconds(1)))
        .isEqualTo(before);
  }
}
