package fordridge.membership;

import static org.assertj.core.api.Assertions.assertThat;

import fordridge.model.SeededRandom;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.LongUnaryOperator;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.lifecycle.BeforeTry;

/**
 * Guards against a watch that closes each connection to a slow server before its first line, and so
 * never learns an event.
 */
class HedgedWatchTest {
  /** The protocol counts an event as announced so long after the server went silent. */
  private static final long ANNOUNCED_AFTER_MILLIS = 4000;

  /** The grace period of drains, and the slack of the protocol page. */
  private static final long GRACE_MILLIS = 500 + 50;

  private static final long STEP_MILLIS = 50;
  private static final long POSITION_INTERVAL_MILLIS = 1000;
  private static final long NEVER = Long.MAX_VALUE / 4;

  /** One connection to a server that follows {@link Server}. */
  private static final class FakeConnection {
    long firstLineAt;
    long lastPositionAt = -POSITION_INTERVAL_MILLIS;
    boolean isOpen;
    boolean isMute;
  }

  /**
   * A server whose delay to the first line depends on when a connection is opened, and which can
   * stop to send on the connections that are open.
   */
  private static final class Server implements HedgedWatch.Connections<FakeConnection> {
    final List<FakeConnection> opened = new ArrayList<>();
    final HedgedWatch<FakeConnection> watch = new HedgedWatch<>(this, new SeededRandom(1));
    LongUnaryOperator firstLineDelay = openedAt -> 0;
    long eventAt = NEVER;
    long knownAt = NEVER;
    long now;
    int mostOpen;

    @Override
    public FakeConnection create() {
      return new FakeConnection();
    }

    @Override
    public void open(FakeConnection connection) {
      connection.firstLineAt = now + firstLineDelay.applyAsLong(now);
      connection.isOpen = true;
      opened.add(connection);
      mostOpen = Math.max(mostOpen, openConnections().size());
    }

    @Override
    public void close(FakeConnection connection) {
      assertThat(connection.isOpen).isTrue();
      connection.isOpen = false;
    }

    List<FakeConnection> openConnections() {
      return opened.stream().filter(each -> each.isOpen).toList();
    }

    private Duration time() {
      return Duration.ofMillis(now);
    }

    private void send(FakeConnection connection) {
      boolean isAnswering = now >= connection.firstLineAt && !connection.isMute;
      if (isAnswering && now - connection.lastPositionAt >= POSITION_INTERVAL_MILLIS) {
        connection.lastPositionAt = now;
        knownAt = now >= eventAt ? Math.min(knownAt, now) : knownAt;
        watch.lineReceived(connection, time());
        watch.positionConfirmed(connection);
      } else if (isAnswering && now >= eventAt && knownAt == NEVER) {
        knownAt = now;
        watch.lineReceived(connection, time());
      }
    }

    /** Lets time pass; the connections are read before each step. */
    void advance(long millis) {
      for (long end = now + millis; now < end; ) {
        now += STEP_MILLIS;
        for (FakeConnection connection : openConnections()) {
          if (connection.isOpen) {
            send(connection);
          }
        }
        if (watch.isDue(time())) {
          watch.advance(time());
        }
      }
    }

    /** The server stops to send on all connections that are open, and leaves them open. */
    void hang() {
      openConnections().forEach(each -> each.isMute = true);
    }

    /** The server closes all connections. */
    void closeAll() {
      for (FakeConnection each : openConnections()) {
        each.isOpen = false;
        watch.closed(each, time());
      }
    }

    void start() {
      watch.addressChanged(time());
    }
  }

  private Server server;

  @BeforeTry
  void createServer() {
    server = new Server();
  }

  private void startUpToDate() {
    server.start();
    server.advance(2500);
    assertThat(server.opened).hasSize(1);
  }

  @Example
  void serverThatSendsItsPositionIsAskedOnce() {
    startUpToDate();

    server.advance(60_000);

    assertThat(server.opened).hasSize(1);
  }

  /** Half one: the wait for a first line was cut off by the limit for a running watch. */
  @Property(tries = 60, seed = "20261207")
  void slowFirstLineIsAwaitedAfterBreak(@ForAll @IntRange(max = 3900) int delay) {
    startUpToDate();
    server.firstLineDelay = openedAt -> delay;

    server.closeAll();
    server.eventAt = server.now;
    server.advance(10_000);

    assertThat(server.knownAt - server.eventAt)
        .isLessThanOrEqualTo(ANNOUNCED_AFTER_MILLIS + GRACE_MILLIS);
    assertThat(server.opened).hasSizeLessThanOrEqualTo(3);
  }

  /** Half two: a server that has hung has to be asked while the new answer can still be slow. */
  @Property(tries = 60, seed = "20261207")
  void hungServerIsAskedAgainInTimeForSlowAnswer(
      @ForAll @IntRange(max = 2200) int delay, @ForAll @IntRange(max = 999) int phase) {
    startUpToDate();
    server.advance(phase);
    server.firstLineDelay = openedAt -> delay;

    server.hang();
    server.eventAt = server.now;
    server.advance(10_000);

    assertThat(server.knownAt - server.eventAt)
        .isLessThanOrEqualTo(ANNOUNCED_AFTER_MILLIS + GRACE_MILLIS);
  }

  @Property(tries = 60, seed = "20261207")
  void newAddressThatIsSlowIsAwaited(@ForAll @IntRange(max = 3900) int delay) {
    startUpToDate();
    server.firstLineDelay = openedAt -> delay;

    server.eventAt = server.now;
    server.hang();
    server.watch.addressChanged(server.time());
    server.advance(10_000);

    assertThat(server.knownAt - server.eventAt)
        .isLessThanOrEqualTo(ANNOUNCED_AFTER_MILLIS + GRACE_MILLIS);
    assertThat(server.mostOpen).isLessThanOrEqualTo(2);
    assertThat(server.openConnections()).hasSize(1);
  }

  /** Half two: each failed wait started again from nothing. */
  @Property(tries = 60, seed = "20261207")
  void eventIsKnownAtLastHoweverSlowTheServerIs(@ForAll @IntRange(max = 120) int seconds) {
    server.firstLineDelay = openedAt -> seconds * 1000L;
    server.eventAt = 0;

    server.start();
    server.advance(10 * 60_000);

    assertThat(server.knownAt).isLessThan(5L * seconds * 1000 + 1000);
    assertThat(server.mostOpen).isLessThanOrEqualTo(2);
  }

  /** What was sent before the address was changed may still arrive on the former connection. */
  @Example
  void connectionToPreviousAddressIsReadUntilTheNewOneIsUpToDate() {
    startUpToDate();
    FakeConnection previous = server.opened.get(0);
    server.firstLineDelay = openedAt -> 1000;

    server.watch.addressChanged(server.time());

    server.advance(500);
    assertThat(previous.isOpen).isTrue();
    server.advance(1000);
    assertThat(previous.isOpen).isFalse();
    assertThat(server.openConnections()).hasSize(1);
  }

  @Example
  void previousAddressDoesNotReplaceTheNewOne() {
    startUpToDate();
    server.firstLineDelay = openedAt -> NEVER;

    server.watch.addressChanged(server.time());
    server.advance(1000);

    assertThat(server.openConnections()).hasSize(2);
  }

  /** New configurations in quick succession, back and forth. */
  @Property(tries = 60, seed = "20261207")
  void addressesInQuickSuccessionKeepTwoConnections(
      @ForAll @IntRange(min = 1, max = 40) int changes,
      @ForAll @IntRange(min = 50, max = 3000) int interval,
      @ForAll @IntRange(max = 3500) int delay) {
    startUpToDate();
    server.firstLineDelay = openedAt -> delay;

    for (int i = 0; i < changes; i++) {
      server.watch.addressChanged(server.time());
      server.advance(interval);
    }
    server.eventAt = server.now;
    server.advance(ANNOUNCED_AFTER_MILLIS + GRACE_MILLIS);

    assertThat(server.mostOpen).isLessThanOrEqualTo(2);
    assertThat(server.knownAt).isLessThan(NEVER);
  }

  /** Bytes that arrive show that a line is on its way, up to a bound. */
  @Example
  void lineThatArrivesSlowlyIsNotGivenUp() {
    server.firstLineDelay = openedAt -> NEVER;
    server.start();
    FakeConnection slow = server.opened.get(0);

    for (int i = 0; i < 25; i++) {
      server.watch.bytesReceived(slow, server.time());
      server.advance(1000);
    }
    assertThat(slow.isOpen).isTrue();
    assertThat(server.opened).hasSizeGreaterThan(1);

    for (int i = 0; i < 40; i++) {
      if (slow.isOpen) {
        server.watch.bytesReceived(slow, server.time());
      }
      server.advance(1000);
    }
    assertThat(slow.isOpen).isFalse();
  }

  /** A server that accepts and closes at once must not be asked ten times a second for ever. */
  @Example
  void retriesOfConnectionsWithoutLineAreDelayed() {
    server.firstLineDelay = openedAt -> NEVER;
    server.start();

    for (int i = 0; i < 1000; i++) {
      server.advance(STEP_MILLIS);
      server.closeAll();
    }

    long seconds = server.now / 1000;
    assertThat((long) server.opened.size()).isBetween(seconds, 5 * seconds);
  }

  /** Draws breaks, hangs, changes of the address and standstills while the delay changes. */
  @Property(tries = 300, seed = "20261207")
  void drawnFaultsNeverKeepAnEventBack(@ForAll long seed) {
    SeededRandom random = new SeededRandom(seed);
    server.start();
    for (int i = 0; i < 20; i++) {
      long delay = (long) (random.nextDouble() * 6000);
      server.firstLineDelay = openedAt -> delay;
      switch ((int) (random.nextDouble() * 5)) {
        case 0 -> server.closeAll();
        case 1 -> server.hang();
        case 2 -> {
          server.hang();
          server.watch.addressChanged(server.time());
        }
        case 3 -> server.now += (long) (random.nextDouble() * 4000);
        default -> server.firstLineDelay = openedAt -> NEVER;
      }
      server.advance((long) (random.nextDouble() * 5000));
    }

    server.firstLineDelay = openedAt -> 0;
    server.eventAt = server.now;
    server.advance(10_000);

    assertThat(server.knownAt - server.eventAt)
        .isLessThanOrEqualTo(ANNOUNCED_AFTER_MILLIS + GRACE_MILLIS);
    assertThat(server.mostOpen).isLessThanOrEqualTo(2);
    assertThat(server.openConnections()).hasSize(1);
  }
}
