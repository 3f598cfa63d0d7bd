package fordridge.server.json;

import fordridge.eventloop.EventLoopLagMonitor;
import fordridge.eventloop.EventLoopTimers;
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
 * Feeds inputs to the scheduler one after another, each with the scheduler's clock set, and sends
 * what they caused. It also measures how late the loop runs. Confined to the event loop.
 *
 * <p>All inputs of one turn of the loop share one time: the scheduler goes through its pending
 * requests once for them, not once for each, however much arrives at once.
 */
final class SchedulerEventLoop {
  /** How old the machine list may be when an input is entered in the middle of a long turn. */
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
    // An input that fails is lost to the scheduler, those behind it are not; a request that it
    // leaves without a decision fails at its deadline.
    sequencer =
        new EventSequencer(
            System::nanoTime,
            this::setTime,
            e -> log.accept("scheduler input failed: " + StackTraces.format(e)));
    lag = new EventLoopLagMonitor(timers, sequencer::clock);
  }

  /** Which scheduler's clock is set; to be called before the first input. */
  void attach(Scheduler scheduler) {
    this.scheduler = scheduler;
  }

  /** From now on output to these clients is flushed behind each input. */
  void setClients(ClientServer clients) {
    this.clients = clients;
  }

  /** Measures the lag from now on, see {@link EventLoopLagMonitor#start}. */
  void startLagMonitor() {
    lag.start();
  }

  /** How the machine list is read at once, which is done before an input if it is due. */
  void watchMachineList(Runnable readNow) {
    sequencer.watch(readNow, MACHINE_LIST_READ_INTERVAL);
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

  /** What is entered next has a time of its own, as at the beginning of a turn. */
  void startTimeAnew() {
    isTurnStarted = false;
  }

  /** The time of this turn's inputs, since the start. */
  Duration now() {
    return now;
  }

  /** The time since the start; it goes on within a turn. */
  Duration clock() {
    return sequencer.clock();
  }

  /** Enters an input now, or behind the one that is being entered. */
  void enter(InputKind kind, Runnable input) {
    long startedNanos = System.nanoTime();
    flushIf(sequencer.enter(input));
    inputStatistics.record(kind, System.nanoTime() - startedNanos);
  }

  /** Enters a change of the machine list, whoever read it: the list is not read for it again. */
  void enterFromMachineList(Runnable input) {
    long startedNanos = System.nanoTime();
    flushIf(sequencer.enterFromWatch(input));
    inputStatistics.record(InputKind.MACHINE_LIST, System.nanoTime() - startedNanos);
  }

  private void flushIf(boolean isEntered) {
    if (isEntered && clients != null) {
      clients.flush();
    }
  }

  /** Enters what follows from an input: behind the one that is being entered. */
  void enterBehind(Runnable input) {
    sequencer.behind(input);
  }

  /** Enters an input after a delay. */
  void enterAfter(Duration delay, InputKind kind, Runnable input) {
    timers.runAfter(delay, () -> enter(kind, input));
  }

  /**
   * Enters an input after a delay, once the loop has read its sockets behind it: a timeout where
   * the answer may have arrived while the loop was busy.
   */
  void enterBehindReadsAfter(Duration delay, InputKind kind, Runnable input) {
    timers.runAfter(delay, () -> enterAfter(Duration.ZERO, kind, input));
  }

  /** How long what is read now may have waited; at least the most of the last seconds. */
  Duration lag(Duration at) {
    return lag.allowance(at, poller.sincePreviousPoll());
  }
}
