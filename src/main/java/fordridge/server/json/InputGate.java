package fordridge.server.json;

import fordridge.eventloop.EventLoopTimers;
import fordridge.eventloop.SocketPoller;
import fordridge.json.ClientServer;
import fordridge.runtime.InputKind;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Lets decisions and offers happen only while it is known what peers have sent: before each, unless
 * that was done a moment ago, all connections are accepted and all sockets read to their end, so
 * that handovers, closes and changes of the machine list are taken in first. An effect that can't
 * be taken back is never carried out on facts that waited in a socket. Confined to the event loop.
 *
 * <p>It does not decide anything: what waits here is entered in the order in which it came.
 */
final class InputGate {
  /** How old the last complete read may be, by the process's own clock. */
  static final Duration MAX_AGE = Duration.ofMillis(20);

  /** A read that takes longer goes on in the next turn: timers are due meanwhile. */
  private static final Duration MAX_READ_TIME = Duration.ofMillis(100);

  /** For how long a turn enters what waits; at least one is entered. */
  private static final Duration MAX_TURN_TIME = Duration.ofMillis(50);

  private record WaitingInput(InputKind kind, Runnable input) {}

  private final SchedulerEventLoop loop;
  private final EventLoopTimers timers;
  private final SocketPoller poller;
  private final Deque<WaitingInput> waiting = new ArrayDeque<>();
  private ClientServer clients;
  private Runnable decide = () -> {};

  /** The start of the last pass over the sockets after which nothing was left to be read. */
  private Duration readAt;

  private boolean isRunScheduled;
  private boolean isDecisionWaiting;
  private boolean isDeciding;
  private long completeReads;
  private long incompleteReads;
  private Duration longestRead = Duration.ZERO;

  InputGate(SchedulerEventLoop loop, EventLoopTimers timers, SocketPoller poller) {
    this.loop = loop;
    this.timers = timers;
    this.poller = poller;
  }

  /** What decides once all is read; to be called once, before anything waits. */
  void attach(Runnable newDecide) {
    decide = newDecide;
  }

  /** Whose connections have to be read to their end. */
  void setClients(ClientServer newClients) {
    clients = newClients;
  }

  /** Enters the input once all that peers have sent is read, in its order. */
  void enterWhenRead(InputKind kind, Runnable input) {
    waiting.addLast(new WaitingInput(kind, input));
    scheduleRun();
  }

  /**
   * Whether a decision may be made at this instant. If not, the sockets are read soon, and what
   * decides is called again behind that.
   */
  boolean mayDecide() {
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

  private void scheduleRun() {
    if (!isRunScheduled) {
      isRunScheduled = true;
      timers.runAfter(Duration.ZERO, this::run);
    }
  }

  private void run() {
    Duration startedAt = loop.clock();
    boolean hasTime = true;
    while (!waiting.isEmpty() && hasTime && (isFresh() || readAll())) {
      WaitingInput next = waiting.removeFirst();
      loop.enter(next.kind, next.input);
      hasTime = loop.clock().minus(startedAt).compareTo(MAX_TURN_TIME) < 0;
    }
    isRunScheduled = false;
    if (!waiting.isEmpty()) {
      scheduleRun();
    }
  }

  private boolean isFresh() {
    return readAt != null && loop.clock().minus(readAt).compareTo(MAX_AGE) < 0;
  }

  /** False if there was more to read than the time allows. */
  private boolean readAll() {
    Duration startedAt = loop.clock();
    Duration passAt = startedAt;
    boolean isComplete = false;
    while (!isComplete && passAt.minus(startedAt).compareTo(MAX_READ_TIME) < 0) {
      isComplete = readOnce();
      readAt = isComplete ? passAt : readAt;
      passAt = loop.clock();
    }
    loop.startTimeAnew();
    completeReads += isComplete ? 1 : 0;
    incompleteReads += isComplete ? 0 : 1;
    Duration took = passAt.minus(startedAt);
    longestRead = took.compareTo(longestRead) > 0 ? took : longestRead;
    return isComplete;
  }

  /** Reads each socket that is ready once; false if any may have more. */
  private boolean readOnce() {
    if (clients == null) {
      poller.readReady();
      return true;
    }
    clients.startReadPass();
    poller.readReady();
    return !clients.hasUnreadInput();
  }

  /** Reads since the start, for the status line. */
  String describe() {
    return "complete reads "
        + completeReads
        + " incomplete "
        + incompleteReads
        + " longest "
        + longestRead.toMillis()
        + " ms, waiting "
        + waiting.size();
  }
}
