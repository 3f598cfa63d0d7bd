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
 * Processes a scheduler's inputs on its event loop, one after another in order of arrival, each at
 * the time of a monotonic clock. Inputs that are added while one is processed are queued. {@link
 * #submit} and {@link #execute} may be called on any thread, everything else on the event loop
 * only.
 */
final class InputLoop {
  private final EventLoop eventLoop;
  private final Metrics metrics;
  private final SchedulerLog log;
  private final EventSequencer sequencer;
  private final Runnable afterInputs;
  private final EventLoopTimers timers;
  private final EventLoopLagMonitor lagMonitor;
  private Duration now = Duration.ZERO;

  /**
   * Creates the loop.
   *
   * @param beforeInput receives the time of each input before it is processed
   * @param afterInputs runs after an input and the inputs queued during it were processed
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
    lagMonitor = new EventLoopLagMonitor(timers, sequencer::clock);
  }

  /** Creates a gate whose inputs are processed on this loop after its sockets have been read. */
  InputGate newGate(SocketPoller poller) {
    return new InputGate(timers, new SocketsPort(poller), () -> {});
  }

  /** Reads the sockets in one pass: each stream up to the limit of its flow control. */
  private final class SocketsPort implements InputGate.Port {
    private final SocketPoller poller;

    SocketsPort(SocketPoller poller) {
      this.poller = poller;
    }

    @Override
    public InputGate.ReadResult readSockets() {
      poller.readReady();
      return InputGate.ReadResult.COMPLETE;
    }

    @Override
    public Duration clock() {
      return sequencer.clock();
    }

    /** Does nothing, as each input gets the time at which it is processed. */
    @Override
    public void refreshTime() {}

    @Override
    public void submit(InputKind kind, Runnable input) {
      process(input);
    }
  }

  /** Starts to measure the event loop's lag. */
  void startLagMonitor() {
    lagMonitor.start();
  }

  /** The time of the input that is being processed, counted from the start of this loop. */
  Duration now() {
    return now;
  }

  /** Sets {@link #now} to the current time, for events that are not inputs of the scheduler. */
  void refreshNow() {
    now = sequencer.clock();
  }

  /** How long a message may have waited to be read, which is subtracted from its time left. */
  Duration maxRecentLag() {
    return lagMonitor.maxReadDelay(now);
  }

  /** Runs a task on the event loop that is not an input of the scheduler; from any thread. */
  void execute(Runnable task) {
    eventLoop.execute(task);
  }

  /** Processes an input on the event loop; from any thread. */
  void submit(Runnable input) {
    execute(() -> process(input));
  }

  /** Processes an input and the inputs queued during it, or queues it if another is processed. */
  void process(Runnable input) {
    long startNanos = System.nanoTime();
    if (!sequencer.submit(input)) {
      return;
    }
    metrics.decisionTook(System.nanoTime() - startNanos);
    afterInputs.run();
  }

  /** Queues an input, to be processed after the current one. */
  void enqueue(Runnable input) {
    sequencer.enqueue(input);
  }

  /** Processes an input after a delay; a negative delay counts as zero. */
  void schedule(Duration delay, Runnable input) {
    timers.runAfter(delay, () -> process(input));
  }

  /** Processes an input periodically. */
  void scheduleAtFixedRate(Duration interval, Runnable input) {
    timers.runEvery(interval, () -> process(input));
  }

  private void taskFailed(Throwable cause) {
    log.error().setCause(cause).log("event loop task failed");
  }

  /**
   * Logs an input that threw. Queued inputs are still processed, and a request that is left without
   * a decision gets a failed response from the timer of {@link ClientRequestIntake}.
   */
  private void inputFailed(Throwable cause) {
    log.error().setCause(cause).log("scheduler input failed");
  }
}
