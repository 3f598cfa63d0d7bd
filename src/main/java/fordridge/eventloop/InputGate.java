package fordridge.eventloop;

import fordridge.runtime.InputKind;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Lets decisions and offers happen only while it is known what peers have sent: before each, unless
 * that was done a moment ago, all sockets are read to their end, so that handovers, closes and
 * changes of the machine list are taken in first. An effect that can't be taken back is never
 * carried out on facts that waited in a socket. Confined to the event loop.
 *
 * <p>It does not decide anything: what waits here is entered in the order in which it came. What
 * waits is bounded by the pending requests and the connections to machines.
 */
public final class InputGate {
  /** How far a pass over the sockets has read them. */
  public enum ReadResult {
    /** Nothing is left that had come before the pass. */
    TO_THE_END,
    /** Some sockets may have more: another pass is needed. */
    MORE_MAY_WAIT,
    /** Something that waits can't be read at this moment, as the system refuses. */
    REFUSED
  }

  /** The sockets, and the inputs that wait for them to be read. */
  public interface Port {
    /** Reads each socket that is ready once. */
    ReadResult readSockets();

    /** The time since the start; it never goes back. */
    Duration clock();

    /** What is entered next is to have the time of now, not that of the turn's begin. */
    void refreshTime();

    /** Enters an input now; its failure is reported, not thrown. */
    void enter(InputKind kind, Runnable input);
  }

  /** How old the last complete read may be, by the process's own clock. */
  static final Duration MAX_READ_AGE = Duration.ofMillis(20);

  /** A read that takes longer goes on in the next turn: timers are due meanwhile. */
  private static final Duration MAX_READ_TIME = Duration.ofMillis(100);

  /** For how long a turn enters what waits; at least one is entered. */
  private static final Duration MAX_TURN_TIME = Duration.ofMillis(50);

  /** Before sockets that could not be read are tried again: without it the loop would spin. */
  private static final Duration REFUSED_RETRY_DELAY = Duration.ofMillis(5);

  private record WaitingInput(InputKind kind, Runnable input) {}

  private final EventLoopTimers timers;
  private final Port port;
  private final Runnable decide;
  private final Deque<WaitingInput> waiting = new ArrayDeque<>();

  /** The start of the last pass over the sockets after which nothing was left to be read. */
  private Duration readAt;

  private boolean isRunScheduled;
  private boolean isDecisionWaiting;
  private boolean isDeciding;
  private long completeReads;
  private long incompleteReads;
  private long refusedReads;
  private Duration longestRead = Duration.ZERO;

  /** A gate before which nothing waits; {@code decide} runs once input is read that it needs. */
  public InputGate(EventLoopTimers timers, Port port, Runnable decide) {
    this.timers = timers;
    this.port = port;
    this.decide = decide;
  }

  /** Enters the input once all that peers have sent is read, in its order. */
  public void enterWhenRead(InputKind kind, Runnable input) {
    waiting.addLast(new WaitingInput(kind, input));
    scheduleRun(Duration.ZERO);
  }

  /**
   * Whether a decision may be made at this instant. If not, the sockets are read soon, and what
   * decides is called again behind that.
   */
  public boolean mayDecide() {
    if (isDeciding && isFresh()) {
      return true;
    }
    if (!isDecisionWaiting) {
      isDecisionWaiting = true;
      enterWhenRead(InputKind.DECISION, this::decideNow);
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
      retryDelay = enterWaiting() == ReadResult.REFUSED ? REFUSED_RETRY_DELAY : Duration.ZERO;
    } finally {
      // Also where reading has failed: what waits must not wait for ever.
      if (!waiting.isEmpty()) {
        scheduleRun(retryDelay);
      }
    }
  }

  private ReadResult enterWaiting() {
    Duration startedAt = port.clock();
    ReadResult result = ReadResult.TO_THE_END;
    boolean hasTime = true;
    while (!waiting.isEmpty() && hasTime && result == ReadResult.TO_THE_END) {
      result = isFresh() ? ReadResult.TO_THE_END : readAll();
      if (result == ReadResult.TO_THE_END) {
        WaitingInput next = waiting.removeFirst();
        port.enter(next.kind, next.input);
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
    ReadResult result = ReadResult.MORE_MAY_WAIT;
    while (result == ReadResult.MORE_MAY_WAIT
        && passStartedAt.minus(startedAt).compareTo(MAX_READ_TIME) < 0) {
      result = port.readSockets();
      readAt = result == ReadResult.TO_THE_END ? passStartedAt : readAt;
      passStartedAt = port.clock();
    }
    port.refreshTime();
    record(result, passStartedAt.minus(startedAt));
    return result;
  }

  private void record(ReadResult result, Duration duration) {
    switch (result) {
      case TO_THE_END -> completeReads++;
      case MORE_MAY_WAIT -> incompleteReads++;
      case REFUSED -> refusedReads++;
    }
    longestRead = duration.compareTo(longestRead) > 0 ? duration : longestRead;
  }

  /** Reads since the start, for the status line. */
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
