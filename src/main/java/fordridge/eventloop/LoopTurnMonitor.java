package fordridge.eventloop;

import fordridge.runtime.InputStatistics;
import java.time.Duration;
import java.util.function.Consumer;

/**
 * Tells what an event loop spends its time on: one turn is a wait for the sockets, the reading of
 * those that are ready, and the tasks behind it. A turn that is busy for longer than a bound is
 * logged with its parts, so that a late response can be traced to what it waited for. Confined to
 * the event loop but for the construction.
 */
public final class LoopTurnMonitor {
  /** A turn that is busy for longer is logged. */
  private static final Duration SLOW_TURN = Duration.ofMillis(150);

  /** Slow turns that are logged in one reporting period; the others are only counted. */
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

  /** Creates a monitor; the statistics are those of the inputs that the loop runs. */
  public LoopTurnMonitor(InputStatistics inputs, Consumer<String> log) {
    this.inputs = inputs;
    this.log = log;
  }

  /** The loop is about to wait for its sockets: the tasks of the last turn are done. */
  void waitStarted(long nowNanos) {
    if (turnEndNanos != 0) {
      turns++;
      turnCompleted(nowNanos - turnEndNanos);
    }
  }

  /** The loop has read so many sockets that were ready, which took so long. */
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

  /** What happened since the last call, for the status line. */
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
