package fordridge.server.grpc;

import fordridge.eventloop.EventLoopLagMonitor;
import fordridge.eventloop.EventLoopTimers;
import fordridge.eventloop.InputGate;
import fordridge.eventloop.SocketPoller;
import fordridge.observability.Metrics;
import fordridge.runtime.EventSequencer;
import fordridge.runtime.InputKind;
import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.function.Consumer;

/**
 * The order and the time of a scheduler's inputs on its event loop: one after another as they were
 * met, each at the time of a clock that only goes forward, and what follows from one behind it.
 * {@link #submit} may be called on any thread, everything else on the event loop only.
 */
final class InputLoop {
  private final EventLoop eventLoop;
  private final Metrics metrics;
  private final SchedulerLog log;
  private final EventSequencer sequencer;
  private final Runnable afterInputs;
  private final EventLoopTimers timers;
  private final EventLoopLagMonitor lag;
  private Duration now = Duration.ZERO;

  /**
   * Creates the loop.
   *
   * @param beforeInput gets the time of each input before it is processed
   * @param afterInputs runs when an input and all that followed from it are processed
   */
  InputLoop(
      EventLoop eventLoop,
      Metrics metrics,
      SchedulerLog log,
      Consumer<Duration> beforeInput,
      Runnable afterInputs) {
    this.eventLoop = eventLoop;
    this.metrics = metrics;
    this.log = log;
    this.afterInputs = afterInputs;
    sequencer =
        new EventSequencer(
            System::nanoTime,
            time -> {
              now = time;
              beforeInput.accept(time);
            },
            this::inputFailed);
    timers = new EventLoopTimers(eventLoop, this::taskFailed);
    lag = new EventLoopLagMonitor(timers, sequencer::clock);
  }

  /** A gate whose inputs are processed on this loop once its sockets are read. */
  InputGate newGate(SocketPoller poller) {
    return new InputGate(timers, new SocketsPort(poller), () -> {});
  }

  /** One pass reads each stream as far as its flow control lets it send. */
  private final class SocketsPort implements InputGate.Port {
    private final SocketPoller poller;

    SocketsPort(SocketPoller poller) {
      this.poller = poller;
    }

    @Override
    public InputGate.ReadResult readSockets() {
      poller.readReady();
      return InputGate.ReadResult.TO_THE_END;
    }

    @Override
    public Duration clock() {
      return sequencer.clock();
    }

    /** Nothing to do: each input has a time of its own. */
    @Override
    public void refreshTime() {}

    @Override
    public void enter(InputKind kind, Runnable input) {
      process(input);
    }
  }

  /** Measures the event loop's lag from now on. */
  void startLagMonitor() {
    lag.start();
  }

  /** The time of the input that is being processed, since the start. */
  Duration now() {
    return now;
  }

  /** Sets {@link #now} to the present, for events that are no inputs of the scheduler. */
  void refreshNow() {
    now = sequencer.clock();
  }

  /** How long a message may have waited to be read, to be taken off its time. */
  Duration lagAllowance() {
    return lag.allowance(now);
  }

  /** Runs a task on the event loop as it is; from any thread. */
  void execute(Runnable task) {
    eventLoop.execute(task);
  }

  /** Processes an input on the event loop; from any thread. */
  void submit(Runnable input) {
    execute(() -> process(input));
  }

  /** Processes an input and all that follows from it, or queues it behind the current one. */
  void process(Runnable input) {
    long startNanos = System.nanoTime();
    if (!sequencer.enter(input)) {
      return;
    }
    metrics.decisionTook(System.nanoTime() - startNanos);
    afterInputs.run();
  }

  /** Queues an input behind the one that is being processed. */
  void processBehind(Runnable input) {
    sequencer.behind(input);
  }

  /** Processes an input after a delay; a negative delay counts as none. */
  void schedule(Duration delay, Runnable input) {
    timers.runAfter(delay, () -> process(input));
  }

  /** Processes an input again and again. */
  void scheduleAtFixedRate(Duration interval, Runnable input) {
    timers.runEvery(interval, () -> process(input));
  }

  private void taskFailed(Throwable cause) {
    log.error().setCause(cause).log("event loop task failed");
  }

  /**
   * This input is lost to the scheduler, those behind it are not; its VM is answered when its time
   * is up.
   */
  private void inputFailed(Throwable cause) {
    log.error().setCause(cause).log("scheduler input failed");
  }
}
