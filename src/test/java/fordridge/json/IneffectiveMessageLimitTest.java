package fordridge.json;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import net.jqwik.api.Example;

/** Guards against one connection that takes all processing time with messages without effect. */
class IneffectiveMessageLimitTest {
  private Duration now = Duration.ofSeconds(-50);
  private final IneffectiveMessageLimit limit = new IneffectiveMessageLimit(now);

  private Duration pauseAfter(int messages) {
    for (int i = 0; i < messages; i++) {
      limit.recordMessage();
    }
    return limit.takePause(now);
  }

  @Example
  void burstIsReadAtOnce() {
    assertThat(pauseAfter(IneffectiveMessageLimit.BURST)).isZero();
    assertThat(pauseAfter(1)).isPositive();
  }

  @Example
  void usualRateIsNeverPaused() {
    for (int i = 0; i < 1000; i++) {
      now = now.plusMillis(100);
      assertThat(pauseAfter(IneffectiveMessageLimit.MESSAGES_PER_SECOND / 10)).isZero();
    }
  }

  @Example
  void pauseIsBoundedAndEnds() {
    Duration pause = pauseAfter(100 * IneffectiveMessageLimit.BURST);
    assertThat(pause).isEqualTo(IneffectiveMessageLimit.MAX_PAUSE);
    now = now.plusSeconds(3600);
    assertThat(pauseAfter(1)).isZero();
  }
}
