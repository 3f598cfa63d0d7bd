package fordridge.eventloop;

import fordridge.runtime.InputKind;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Delays decisions and offers until it is known what peers have sent. Before each of them all input
 * that has arrived is read, unless that was done a moment ago, so that handovers, closed
 * connections and changes of the machine list are processed first: an irreversible action is never
 * based on facts that unread input contradicts. Confined to the event loop.
 *
 * <p>The gate itself decides nothing: waiting inputs are submitted in the order in which they came.
 * Their number is bounded by the pending requests and the connections to machines.
 */
public final class InputGate {
  /** The result of a pass over the sockets. */
  public enum ReadResult {
    /** All input that had arrived before the pass was read. */
    COMPLETE,
    /** Some sockets may have more input: another pass is needed. */
    INCOMPLETE,
    /**
     * Something that is waiting can't be read now because the system refuses it, for instance a
     * connection to be accepted while descriptors are short.
     */
    REFUSED
  }

  /** The gate's access to the sockets and to the scheduler's inputs. */
  public interface Port {
    /** Reads each ready socket once. */
    ReadResult readSockets();

    /** The time since the start; it never goes back and also advances within a turn. */
    Duration clock();

    /** Gives the next inputs the current time instead of the time at the beginning of the turn. */
    void refreshTime();

    /** Runs an input now; a failure of the input is reported, not thrown. */
    void submit(InputKind kind, Runnable input);
  }

  /** The maximum age of the last complete read, by the process's own clock. */
  static final Duration MAX_READ_AGE = Duration.ofMillis(20);

  /**
   * The maximum time for reading the sockets in one turn; the next turn continues, as timers may be
   * due meanwhile.
   */
  private static final Duration MAX_READ_TIME = Duration.ofMillis(100);

  /** The maximum time for submitting waiting inputs in one turn; at least one is submitted. */
  private static final Duration MAX_TURN_TIME = Duration.ofMillis(50);

  /**
   * Delay before reading is retried after the system refused it; without the delay the loop would
   * spin.
   */
  private static final Duration REFUSED_RETRY_DELAY = Duration.ofMillis(5);

  private record WaitingInput(InputKind kind, Runnable input) {}

  private final EventLoopTimers timers;
  private final Port port;
  private final Runnable decide;
  private final Deque<WaitingInput> waiting = new ArrayDeque<>();

  /** The start of the last complete pass over the sockets, null before the first one. */
  private Duration readAt;

  private boolean isRunScheduled;
  private boolean isDecisionWaiting;
  private boolean isDeciding;
  private long completeReads;
  private long incompleteReads;
  private long refusedReads;
  private Duration longestRead = Duration.ZERO;

  /**
   * Creates a gate without waiting inputs; {@code decide} runs once the input that it depends on
   * was read.
   */
  public InputGate(EventLoopTimers timers, Port port, Runnable decide) {
    this.timers = timers;
    this.port = port;
    this.decide = decide;
  }

  /**
   * Submits the input after everything that peers have sent was read, in the order of the calls.
   */
  public void submitAfterRead(InputKind kind, Runnable input) {
    waiting.addLast(new WaitingInput(kind, input));
    scheduleRun(Duration.ZERO);
  }

  /**
   * Whether a decision may be made now. If not, the sockets are read soon, and {@code decide} is
   * called after that.
   */
  public boolean mayDecide() {
    if (isDeciding && isFresh()) {
      return true;
    }
    if (!isDecisionWaiting) {
      isDecisionWaiting = true;
      submitAfterRead(InputKind.DECISION, this::decideNow);
    }
    return false;
  }

  private void decideNow() {
    isDecisionWaiting = false;
    isDeciding = true;
    try {
      decide.run();
    } finally {
      isDeciding = false;
    }
  }

  private void scheduleRun(Duration delay) {
    if (!isRunScheduled) {
      isRunScheduled = true;
      timers.runAfter(delay, this::run);
    }
  }

  private void run() {
    isRunScheduled = false;
    Duration retryDelay = REFUSED_RETRY_DELAY;
    try {
      retryDelay = submitWaiting() == ReadResult.REFUSED ? REFUSED_RETRY_DELAY : Duration.ZERO;
    } finally {
      // Also scheduled after a failed read: waiting inputs must not wait forever.
      if (!waiting.isEmpty()) {
        scheduleRun(retryDelay);
      }
    }
  }

  private ReadResult submitWaiting() {
    Duration startedAt = port.clock();
    ReadResult result = ReadResult.COMPLETE;
    boolean hasTime = true;
    while (!waiting.isEmpty() && hasTime && result == ReadResult.COMPLETE) {
      result = isFresh() ? ReadResult.COMPLETE : readAll();
      if (result == ReadResult.COMPLETE) {
        WaitingInput next = waiting.removeFirst();
        port.submit(next.kind, next.input);
      }
      hasTime = port.clock().minus(startedAt).compareTo(MAX_TURN_TIME) < 0;
    }
    return result;
  }

  private boolean isFresh() {
    return readAt != null && port.clock().minus(readAt).compareTo(MAX_READ_AGE) < 0;
  }

  private ReadResult readAll() {
    Duration startedAt = port.clock();
    Duration passStartedAt = startedAt;
    ReadResult result = ReadResult.INCOMPLETE;
    while (result == ReadResult.INCOMPLETE
        && passStartedAt.minus(startedAt).compareTo(MAX_READ_TIME) < 0) {
      result = port.readSockets();
      readAt = result == ReadResult.COMPLETE ? passStartedAt : readAt;
      passStartedAt = port.clock();
    }
    port.refreshTime();
    record(result, passStartedAt.minus(startedAt));
    return result;
  }

  private void record(ReadResult result, Duration duration) {
    switch (result) {
      case COMPLETE -> completeReads++;
      case INCOMPLETE -> incompleteReads++;
      case REFUSED -> refusedReads++;
    }
    longestRead = duration.compareTo(longestRead) > 0 ? duration : longestRead;
  }

  /** The counts of reads since the start, for the status line. */
  public String describe() {
    return "complete reads "
        + completeReads
        + " incomplete "
        + incompleteReads
        + " refused "
        + refusedReads
        + " longest "
        + longestRead.toMillis()
        + " ms, waiting "
        + waiting.size();
  }
}
