package fordridge.membership;

import fordridge.model.Durations;
import java.time.Duration;

/** Counts what the connections of a {@link HedgedWatch} went through. Not thread-safe. */
final class HedgedWatchCounters {
  private long opened;
  private long lateSilent;
  private long lateReceiving;
  private long firstLinesOnNewer;
  private long givenUp;
  private Duration longestFirstLine = Duration.ZERO;

  /** A connection was opened. */
  void opened() {
    opened++;
  }

  /** A second connection is opened: no line came in time, although bytes may have arrived. */
  void late(boolean isReceiving) {
    if (isReceiving) {
      lateReceiving++;
    } else {
      lateSilent++;
    }
  }

  /** The first line of a connection has arrived that long after it was opened. */
  void firstLineReceived(Duration after, boolean isOnNewer) {
    longestFirstLine = Durations.max(longestFirstLine, after);
    firstLinesOnNewer += isOnNewer ? 1 : 0;
  }

  /** A connection was closed without an answer in its time. */
  void givenUp() {
    givenUp++;
  }

  String describe() {
    return "opened "
        + opened
        + " late silent "
        + lateSilent
        + " receiving "
        + lateReceiving
        + " given up "
        + givenUp
        + " answered by the newer first "
        + firstLinesOnNewer
        + " longest first line "
        + longestFirstLine.toMillis()
        + " ms";
  }
}
