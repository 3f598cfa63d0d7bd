package fordridge.eventloop;

import fordridge.runtime.InputStatistics;
import java.time.Duration;
import java.util.function.Consumer;

/**
 * Measures what an event loop spends its time on. A turn is one iteration of the loop: a wait for
 * sockets, the reading of those that are ready, and the tasks after that. A turn that is busy for
 * longer than a limit is logged with its parts, so that the cause of a late response can be found.
 * Confined to the event loop except for the constructor.
 */
public final class LoopTurnMonitor {
  /** A turn that is busy for longer than this is logged. */
  private static final Duration SLOW_TURN = Duration.ofMillis(150);

  /** The slow turns that are logged in one reporting period; further ones are only counted. */
  private static final int MAX_LOGGED_PER_PERIOD = 5;

  private final InputStatistics inputs;
  private final Consumer<String> log;
  private long turns;
  private long slowTurns;
  private long idleTurns;
  private long socketsRead;
  private int loggedInPeriod;
  private long longestBusyNanos;
  private long turnEndNanos;
  private long ioNanos;
  private int readySockets;

  /** Creates a monitor; {@code inputs} are the statistics of the inputs that run on this loop. */
  public LoopTurnMonitor(InputStatistics inputs, Consumer<String> log) {
    this.inputs = inputs;
    this.log = log;
  }

  /** Called when the loop is about to wait for its sockets: the tasks of the last turn are done. */
  void waitStarted(long nowNanos) {
    if (turnEndNanos != 0) {
      turns++;
      turnCompleted(nowNanos - turnEndNanos);
    }
  }

  /**
   * Called when the loop has read the ready sockets.
   *
   * @param sockets the number of ready sockets
   * @param nanos the time spent on reading them
   */
  void ioCompleted(int sockets, long nanos, long nowNanos) {
    readySockets = sockets;
    ioNanos = nanos;
    turnEndNanos = nowNanos;
  }

  private void turnCompleted(long taskNanos) {
    long busyNanos = ioNanos + taskNanos;
    longestBusyNanos = Math.max(longestBusyNanos, busyNanos);
    socketsRead += readySockets;
    if (inputs.isTurnEmpty()) {
      idleTurns++;
    }
    if (busyNanos > SLOW_TURN.toNanos()) {
      slowTurns++;
      if (loggedInPeriod++ < MAX_LOGGED_PER_PERIOD) {
        log.accept(
            "slow turn of the event loop: "
                + millis(busyNanos)
                + " ms, of that reading "
                + readySockets
                + " sockets "
                + millis(ioNanos)
                + " ms, tasks "
                + millis(taskNanos)
                + " ms; "
                + inputs.describeTurn());
      }
    }
    inputs.startTurn();
  }

  /** Returns the counts since the last call, for the status line. */
  public String takeSummary() {
    String summary =
        "turns "
            + turns
            + " (without input "
            + idleTurns
            + ", sockets ready "
            + socketsRead
            + "), slow "
            + slowTurns
            + ", longest "
            + millis(longestBusyNanos)
            + " ms, inputs "
            + inputs.takePeriodCounts();
    turns = 0;
    slowTurns = 0;
    idleTurns = 0;
    socketsRead = 0;
    loggedInPeriod = 0;
    longestBusyNanos = 0;
    return summary;
  }

  private static long millis(long nanos) {
    return Duration.ofNanos(nanos).toMillis();
  }
}
