package fordridge.json;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import net.jqwik.api.Example;

/**
 * Guards against a read of all sockets that never ends, as a peer writes as fast as it is read, and
 * against one that ends before all that had arrived was read.
 */
class UnreadInputTrackerTest {
  private static final int BUFFER_BYTES = 1000;
  private static final int CYCLE_BYTES = 300;
  private static final Duration MAX_TIME = Duration.ofSeconds(2);

  private final UnreadInputTracker<String> tracker =
      new UnreadInputTracker<>(BUFFER_BYTES, MAX_TIME);
  private long nowNanos = 5;

  private boolean needsPassAfterCycleOf(String... connections) {
    tracker.startPass();
    for (String connection : connections) {
      tracker.cycleEndedEarly(connection, CYCLE_BYTES, nowNanos);
    }
    return tracker.needsPass(nowNanos);
  }

  @Example
  void readEndsOnceABufferWasReadFromAFastPeer() {
    tracker.startRead();
    for (int bytes = CYCLE_BYTES; bytes < BUFFER_BYTES; bytes += CYCLE_BYTES) {
      assertThat(needsPassAfterCycleOf("fast")).isTrue();
    }
    assertThat(needsPassAfterCycleOf("fast")).isFalse();
  }

  @Example
  void eachReadCountsAnew() {
    readEndsOnceABufferWasReadFromAFastPeer();
    tracker.startRead();
    assertThat(needsPassAfterCycleOf("fast")).isTrue();
  }

  @Example
  void readWaitsForTheSlowestOfSeveral() {
    tracker.startRead();
    for (int i = 0; i < 3; i++) {
      needsPassAfterCycleOf("first");
    }
    assertThat(needsPassAfterCycleOf("first", "second")).isTrue();
    for (int i = 0; i < 2; i++) {
      assertThat(needsPassAfterCycleOf("first", "second")).isTrue();
    }
    assertThat(needsPassAfterCycleOf("first", "second")).isFalse();
  }

  @Example
  void endOfTheInputEndsTheRead() {
    tracker.startRead();
    assertThat(needsPassAfterCycleOf("a", "b")).isTrue();
    tracker.startPass();
    tracker.remove("a");
    assertThat(tracker.needsPass(nowNanos)).as("b has no more input").isFalse();
  }

  @Example
  void connectionIsNotWaitedForLongerThanTheMaximum() {
    tracker.startRead();
    assertThat(needsPassAfterCycleOf("slow")).isTrue();
    nowNanos += MAX_TIME.toNanos();
    assertThat(needsPassAfterCycleOf("slow")).isFalse();
    assertThat(needsPassAfterCycleOf("slow")).isFalse();
    assertThat(tracker.tooLongCount()).isEqualTo(1);
    assertThat(tracker.unreadFor("slow", nowNanos)).isEqualTo(MAX_TIME);
  }
}
