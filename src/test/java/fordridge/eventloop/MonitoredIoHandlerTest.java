package fordridge.eventloop;

import static org.assertj.core.api.Assertions.assertThat;

import fordridge.runtime.InputStatistics;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;

/**
 * The event loop waits for whole milliseconds, never for less than requested, and does not poll.
 */
class MonitoredIoHandlerTest {
  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final int TIMERS = 200;
  private static final int MAX_TURNS_PER_TIMER = 10;

  @Property
  void delayIsRoundedUpToWholeMilliseconds(@ForAll @LongRange(min = 1) long delay) {
    long rounded = MonitoredIoHandler.wholeMillis(delay);
    if (delay <= Long.MAX_VALUE - NANOS_PER_MILLI) {
      assertThat(rounded).isBetween(delay, delay + NANOS_PER_MILLI - 1);
      assertThat(rounded % NANOS_PER_MILLI).isZero();
    } else {
      assertThat(rounded).isEqualTo(delay);
    }
  }

  @Example
  void delayThatIsNotPositiveIsUnchanged() {
    assertThat(MonitoredIoHandler.wholeMillis(0)).isZero();
    assertThat(MonitoredIoHandler.wholeMillis(-5)).isEqualTo(-5);
  }

  @Example
  void loopDoesNotPollWhileATimerIsAboutToBeDue() throws Exception {
    LoopTurnMonitor monitor = new LoopTurnMonitor(new InputStatistics(), line -> {});
    EventLoopGroup group =
        new MultiThreadIoEventLoopGroup(
            1,
            MonitoredIoHandler.newFactory(NioIoHandler.newFactory(), monitor, new SocketPoller()));
    try {
      EventLoopTimers timers = new EventLoopTimers(group.next(), failure -> {});
      CountDownLatch left = new CountDownLatch(TIMERS);
      runInARow(timers, left);
      assertThat(left.await(10, TimeUnit.SECONDS)).isTrue();
      String summary = group.next().submit(monitor::takeSummary).get();
      Matcher turns = Pattern.compile("turns (\\d+)").matcher(summary);
      assertThat(turns.find()).isTrue();
      assertThat(Integer.parseInt(turns.group(1))).isLessThan(TIMERS * MAX_TURNS_PER_TIMER);
    } finally {
      group.shutdownGracefully(0, 1, TimeUnit.SECONDS).await();
    }
  }

  /** Runs timers one after another, each due within less than a millisecond. */
  private static void runInARow(EventLoopTimers timers, CountDownLatch left) {
    timers.runAfter(
        Duration.ofNanos(400_000),
        () -> {
          left.countDown();
          if (left.getCount() > 0) {
            runInARow(timers, left);
          }
        });
  }
}
