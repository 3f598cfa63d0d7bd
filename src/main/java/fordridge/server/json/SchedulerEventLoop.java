package fordridge.server.json;

import fordridge.eventloop.EventLoopLagMonitor;
import fordridge.eventloop.EventLoopTimers;
import fordridge.eventloop.EventLoopTimers.Timer;
import fordridge.eventloop.SocketPoller;
import fordridge.json.ClientServer;
import fordridge.observability.StackTraces;
import fordridge.runtime.EventSequencer;
import fordridge.runtime.InputKind;
import fordridge.runtime.InputStatistics;
import fordridge.scheduling.Scheduler;
import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.function.Consumer;

/**
 * Runs the inputs of the scheduler one after another, sets the scheduler's clock before each, and
 * flushes the resulting output to clients. It also measures the lag of the event loop. Confined to
 * the event loop.
 *
 * <p>All inputs of one turn of the event loop share one time, so that the scheduler goes through
 * its pending requests once per turn, not once per input, however many inputs arrive at once.
 */
final class SchedulerEventLoop {
  /** The maximum age of the machine list when an input runs in the middle of a long turn. */
  private static final Duration MACHINE_LIST_READ_INTERVAL = Duration.ofMillis(10);

  private final EventLoop loop;
  private final EventLoopTimers timers;
  private final SocketPoller poller;
  private final EventSequencer sequencer;
  private final InputStatistics inputStatistics;
  private final EventLoopLagMonitor lag;
  private Scheduler scheduler;
  private ClientServer clients;
  private Duration now = Duration.ZERO;
  private boolean isTurnStarted;

  SchedulerEventLoop(
      EventLoop loop,
      EventLoopTimers timers,
      SocketPoller poller,
      InputStatistics inputStatistics,
      Consumer<String> log) {
    this.loop = loop;
    this.timers = timers;
    this.poller = poller;
    this.inputStatistics = inputStatistics;
    // A failed input is lost to the scheduler, but the inputs after it still run. A request that is
    // left without a decision fails at its deadline.
    sequencer =
        new EventSequencer(
            System::nanoTime,
            this::setTime,
            e -> log.accept("scheduler input failed: " + StackTraces.format(e)));
    lag = new EventLoopLagMonitor(timers, sequencer::clock);
  }

  /** Sets the scheduler whose clock is advanced; to be called before the first input. */
  void attach(Scheduler scheduler) {
    this.scheduler = scheduler;
  }

  /** Sets the server whose output to clients is flushed after each input. */
  void setClients(ClientServer clients) {
    this.clients = clients;
  }

  /** Starts to measure the lag, see {@link EventLoopLagMonitor#start}. */
  void startLagMonitor() {
    lag.start();
  }

  /**
   * Sets the task that reads the machine list at once. It runs before an input if the last read was
   * {@link #MACHINE_LIST_READ_INTERVAL} ago or longer.
   */
  void setMachineListReader(Runnable readNow) {
    sequencer.setWatchReader(readNow, MACHINE_LIST_READ_INTERVAL);
  }

  /** When the machine list was last read to its end. */
  Duration machineListReadAt() {
    return sequencer.watchReadAt();
  }

  private void setTime(Duration time) {
    if (!isTurnStarted) {
      isTurnStarted = true;
      loop.execute(() -> isTurnStarted = false);
      now = time;
      scheduler.advanceTo(time);
    }
  }

  /** Gives the next input the current time, as at the beginning of a turn. */
  void refreshTime() {
    isTurnStarted = false;
  }

  /** The time of this turn's inputs, counted from the start. */
  Duration now() {
    return now;
  }

  /** The time since the start; it advances within a turn. */
  Duration clock() {
    return sequencer.clock();
  }

  /** Runs an input now, or after the current input if one is running. */
  void submit(InputKind kind, Runnable input) {
    long startedNanos = System.nanoTime();
    flushClientsIf(sequencer.submit(input));
    inputStatistics.record(kind, System.nanoTime() - startedNanos);
  }

  /**
   * Runs a change of the machine list as an input. Unlike other inputs it causes no read of the
   * list before it.
   */
  void submitMachineListChange(Runnable input) {
    long startedNanos = System.nanoTime();
    flushClientsIf(sequencer.submitFromWatch(input));
    inputStatistics.record(InputKind.MACHINE_LIST, System.nanoTime() - startedNanos);
  }

  private void flushClientsIf(boolean hasRun) {
    if (hasRun && clients != null) {
      clients.flush();
    }
  }

  /** Queues a consequence of the current input, to run after it. */
  void enqueue(Runnable input) {
    sequencer.enqueue(input);
  }

  /** Submits an input after a delay, unless the returned timer is cancelled. */
  Timer submitAfter(Duration delay, InputKind kind, Runnable input) {
    return timers.runAfter(delay, () -> submit(kind, input));
  }

  /**
   * Submits an input after a delay and a read of the sockets that follows it. For timeouts, as the
   * answer may have arrived while the loop was busy. The returned timer can be cancelled until that
   * read.
   */
  Timer submitAfterSocketRead(Duration delay, InputKind kind, Runnable input) {
    return timers.runAfter(delay, () -> submitAfter(Duration.ZERO, kind, input));
  }

  /**
   * How long input that is read now may have waited to be read: at least the maximum lag of the
   * last seconds.
   */
  Duration lag(Duration at) {
    return lag.maxReadDelay(at, poller.sincePreviousPoll());
  }
}
