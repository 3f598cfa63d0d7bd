package fordridge.membership;

import fordridge.model.Durations;
import fordridge.model.SeededRandom;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/**
 * Decides when connections that watch the machine list are opened and given up. A connection that
 * is late is not closed: a second one is opened beside it, and both are read until one of them has
 * confirmed the position of the last event. A slow server answers on the first connection, and one
 * that has hung answers on the second.
 *
 * <p>There are at most two connections. The older one is kept for longer after each connection that
 * was given up, so that a server gets through however slow it is; the newer one is replaced after a
 * fixed time, so that a server that works again is asked soon. Time is passed in and must not go
 * back. Not thread-safe.
 *
 * @param <C> a connection
 */
public final class HedgedWatch<C> {
  /**
   * The server sends its position every second; a connection on which nothing has arrived for this
   * long is late.
   */
  static final Duration SILENCE_TIMEOUT = Duration.ofMillis(1700);

  /**
   * A connection is late as well if no line was completed for this long, although bytes arrive: a
   * long line may be on its way, or one without end.
   */
  static final Duration LINE_TIMEOUT = Duration.ofMillis(2500);

  /**
   * The protocol counts an event as announced four seconds after the server went silent. A newer
   * connection has that time to deliver a line, and a connection that was up to date has it to
   * resume.
   */
  static final Duration ANSWER_TIMEOUT = Duration.ofSeconds(4);

  /** Spreads the requests of many schedulers; at most this is added to the timeout. */
  private static final Duration MAX_ANSWER_JITTER = Duration.ofMillis(500);

  /** How long an older connection may take to its first line, before the first one is given up. */
  static final Duration MIN_PATIENCE = Duration.ofSeconds(8);

  /** The patience is doubled up to this. */
  static final Duration MAX_PATIENCE = Duration.ofMinutes(10);

  /** A connection that is receiving a line is kept for that many times the patience. */
  private static final int RECEIVING_FACTOR = 4;

  private static final Duration MIN_RETRY_DELAY = Duration.ofMillis(100);
  private static final Duration MAX_RETRY_DELAY = Duration.ofMillis(500);

  /** Opens and closes connections. */
  public interface Connections<C> {
    /** Creates a connection that is not opened yet. */
    C create();

    /**
     * Requests the events after the last one that was applied, at the current address; the outcome
     * is reported to the methods of this class, possibly before this returns.
     */
    void open(C connection);

    /** Reads what has arrived on the connection, then closes it. */
    void close(C connection);
  }

  private static final class Watch<C> {
    final C connection;
    final Duration openedAt;
    Duration lastByteAt;
    Duration lastLineAt;
    boolean hasLine;

    Watch(C connection, Duration now) {
      this.connection = connection;
      openedAt = now;
      lastByteAt = now;
      lastLineAt = now;
    }

    boolean isReceiving(Duration now) {
      return lastByteAt.compareTo(lastLineAt) > 0 && !hasPassed(lastByteAt, SILENCE_TIMEOUT, now);
    }

    boolean isLate(Duration now) {
      return hasPassed(lastLineAt, isReceiving(now) ? LINE_TIMEOUT : SILENCE_TIMEOUT, now);
    }
  }

  private final Connections<C> connections;
  private final SeededRandom random;
  private final HedgedWatchCounters counters = new HedgedWatchCounters();

  /** The connections to the current address, the oldest first; at most two. */
  private final List<Watch<C>> watches = new ArrayList<>();

  /**
   * The connection to the previous address that was up to date last; events that were sent before
   * the address was changed may still arrive on it. Null if there is none.
   */
  private Watch<C> previousAddress;

  private Duration previousAddressUntil = Duration.ZERO;
  private Duration patience = MIN_PATIENCE;
  private Duration answerJitter = Duration.ZERO;

  /** The connections that failed or were closed by the server since the last line. */
  private int consecutiveFailures;

  private Duration retryAt = Duration.ZERO;

  /** Creates a watch without connections; {@link #addressChanged} opens the first one. */
  public HedgedWatch(Connections<C> connections, SeededRandom random) {
    this.connections = connections;
    this.random = random;
  }

  private static boolean hasPassed(Duration since, Duration time, Duration now) {
    return now.minus(since).compareTo(time) >= 0;
  }

  /**
   * The server is to be reached at another address from now on, or at its first one: opens a
   * connection to it.
   */
  public void addressChanged(Duration now) {
    Watch<C> upToDateLast = previousAddress;
    for (Watch<C> watch : watches) {
      if (watch.hasLine
          && (upToDateLast == null || watch.lastLineAt.compareTo(upToDateLast.lastLineAt) > 0)) {
        upToDateLast = watch;
      }
    }
    List<Watch<C>> replaced = new ArrayList<>(watches);
    if (previousAddress != null) {
      replaced.add(previousAddress);
    }
    replaced.remove(upToDateLast);
    watches.clear();
    previousAddress = upToDateLast;
    previousAddressUntil = now.plus(ANSWER_TIMEOUT);
    replaced.forEach(watch -> connections.close(watch.connection));
    consecutiveFailures = 0;
    patience = MIN_PATIENCE;
    retryAt = now;
    openIfAllowed(now);
  }

  /** Bytes have arrived on the connection. */
  public void bytesReceived(C connection, Duration now) {
    Watch<C> watch = find(connection);
    if (watch != null) {
      watch.lastByteAt = now;
    }
  }

  /** A line has arrived on the connection, and was valid. */
  public void lineReceived(C connection, Duration now) {
    Watch<C> watch = find(connection);
    if (watch == null) {
      return;
    }
    if (!watch.hasLine) {
      counters.firstLineReceived(now.minus(watch.openedAt), watches.indexOf(watch) > 0);
    }
    watch.hasLine = true;
    watch.lastLineAt = now;
    watch.lastByteAt = now;
    if (watch != previousAddress) {
      consecutiveFailures = 0;
      patience = MIN_PATIENCE;
    }
  }

  /**
   * The server has sent the position of the last event that was applied on this connection: the
   * other connections have nothing more to deliver.
   */
  public void positionConfirmed(C connection) {
    Watch<C> confirmed = find(connection);
    if (confirmed == null || confirmed == previousAddress) {
      return;
    }
    List<Watch<C>> others = new ArrayList<>(watches);
    others.remove(confirmed);
    watches.removeAll(others);
    closePreviousAddress();
    others.forEach(other -> connections.close(other.connection));
  }

  /** The connection could not be opened, was closed by the server or failed. */
  public void closed(C connection, Duration now) {
    Watch<C> watch = find(connection);
    if (watch == null) {
      return;
    }
    if (watch == previousAddress) {
      previousAddress = null;
      return;
    }
    watches.remove(watch);
    retryAt = now.plus(nextRetryDelay());
    consecutiveFailures++;
  }

  private Duration nextRetryDelay() {
    Duration longest = MIN_RETRY_DELAY;
    for (int i = 0; i < consecutiveFailures && longest.compareTo(MAX_RETRY_DELAY) < 0; i++) {
      longest = longest.multipliedBy(2);
    }
    double jitter = 0.5 + random.nextDouble() / 2;
    return Durations.scale(Durations.min(longest, MAX_RETRY_DELAY), jitter);
  }

  /** The time until a connection may be opened after the last failure; not negative. */
  public Duration retryDelay(Duration now) {
    return Durations.max(Duration.ZERO, retryAt.minus(now));
  }

  /**
   * Whether {@link #advance} may have something to do. If so, the connections have to be read
   * before it is called, with the time before that read: what has arrived by then is not late.
   */
  public boolean isDue(Duration now) {
    boolean isDue = watches.isEmpty() || watches.size() > 1 || previousAddress != null;
    for (Watch<C> watch : watches) {
      isDue |= watch.isLate(now);
    }
    return isDue;
  }

  /** Opens and gives up connections as time passes; to be called periodically. */
  public void advance(Duration now) {
    if (previousAddress != null && now.compareTo(previousAddressUntil) >= 0) {
      closePreviousAddress();
    }
    if (watches.size() > 1) {
      advancePair(watches.get(0), watches.get(1), now);
    }
    if (watches.isEmpty() || (watches.size() == 1 && watches.get(0).isLate(now))) {
      openIfAllowed(now);
    }
  }

  private void advancePair(Watch<C> older, Watch<C> newer, Duration now) {
    Duration answerTimeout = ANSWER_TIMEOUT.plus(answerJitter);
    boolean hadTimeToAnswer = hasPassed(newer.openedAt, answerTimeout, now);
    if (!hadTimeToAnswer) {
      return;
    }
    if (!older.isLate(now)) {
      giveUp(newer);
    } else if (isExhausted(older, now)) {
      giveUp(older);
      patience = older.hasLine ? patience : longer(patience);
    } else if (newer.isLate(now) && !older.isReceiving(now)) {
      giveUp(newer.isReceiving(now) ? older : newer);
    }
  }

  private static Duration longer(Duration patience) {
    return Durations.min(patience.multipliedBy(2), MAX_PATIENCE);
  }

  private boolean isExhausted(Watch<C> older, Duration now) {
    Duration limit = older.hasLine ? ANSWER_TIMEOUT : patience;
    int factor = older.isReceiving(now) ? RECEIVING_FACTOR : 1;
    return hasPassed(older.lastLineAt, limit.multipliedBy(factor), now);
  }

  private void giveUp(Watch<C> watch) {
    watches.remove(watch);
    counters.givenUp();
    connections.close(watch.connection);
  }

  private void openIfAllowed(Duration now) {
    if (now.compareTo(retryAt) < 0) {
      return;
    }
    if (!watches.isEmpty()) {
      closePreviousAddress();
      counters.late(watches.get(0).isReceiving(now));
    }
    answerJitter = Durations.scale(MAX_ANSWER_JITTER, random.nextDouble());
    counters.opened();
    Watch<C> watch = new Watch<>(connections.create(), now);
    watches.add(watch);
    connections.open(watch.connection);
  }

  private void closePreviousAddress() {
    Watch<C> watch = previousAddress;
    previousAddress = null;
    if (watch != null) {
      connections.close(watch.connection);
    }
  }

  private Watch<C> find(C connection) {
    if (previousAddress != null && previousAddress.connection.equals(connection)) {
      return previousAddress;
    }
    for (Watch<C> watch : watches) {
      if (watch.connection.equals(connection)) {
        return watch;
      }
    }
    return null;
  }

  /** All open connections, the oldest first. */
  public List<C> connections() {
    List<C> all = new ArrayList<>();
    if (previousAddress != null) {
      all.add(previousAddress.connection);
    }
    watches.forEach(watch -> all.add(watch.connection));
    return all;
  }

  /** Whether a connection is late and another one was opened beside it. */
  public boolean isHedged() {
    return watches.size() > 1;
  }

  /** The counts since the start, for the status line. */
  public String describe() {
    return counters.describe();
  }
}
