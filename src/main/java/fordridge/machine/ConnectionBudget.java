package fordridge.machine;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/**
 * Shares out the connections among the machines with VMs, where there may be fewer connections than
 * machines. A termination notice waits until its machine has a connection, so the machines are
 * connected to in turn, and connections that are merely idle are closed for it. Some connections
 * always remain for placement requests. Stateless; free of I/O, threads and clocks.
 */
public final class ConnectionBudget {
  /** How long a connection is kept at least: pending notices have come by then. */
  private static final Duration MIN_IDLE_TIME = Duration.ofMillis(500);

  /** The fraction of all connections that remains for placement requests is one in this many. */
  private static final int RESERVED_ONE_IN = 8;

  /**
   * Connections opened at once are bounded by this number and a fraction of the machines that need
   * one: after a start hundreds may, and a placement request that comes then must not wait behind
   * all their handshakes.
   */
  private static final int MIN_OPENED_AT_ONCE = 2;

  private static final int OPENED_AT_ONCE_ONE_IN = 20;

  private ConnectionBudget() {}

  /**
   * Opens and closes connections where it is due. To be called behind the ticks of all pools.
   *
   * @param inUseCount connections in use, of all machines
   * @param limit bound on {@code inUseCount}
   */
  public static void rebalance(
      Collection<MachineConnectionPool> pools, int inUseCount, int limit, Duration now) {
    int free = limit - inUseCount - Math.max(1, limit / RESERVED_ONE_IN);
    List<MachineConnectionPool> waiting = new ArrayList<>();
    for (MachineConnectionPool pool : pools) {
      if (pool.needsConnection()) {
        waiting.add(pool);
      }
    }
    if (free > 0) {
      reconnectLeastRecent(waiting, free, now);
    }
    int lacking = waiting.size() - free;
    if (lacking > 0) {
      closeLongestIdle(pools, lacking, now);
    }
  }

  private static void reconnectLeastRecent(
      List<MachineConnectionPool> waiting, int free, Duration now) {
    waiting.sort(Comparator.comparing(MachineConnectionPool::lastConnectAttemptAt));
    int atOnce = Math.min(free, MIN_OPENED_AT_ONCE + waiting.size() / OPENED_AT_ONCE_ONE_IN);
    for (MachineConnectionPool pool : waiting.subList(0, Math.min(atOnce, waiting.size()))) {
      pool.reconnect(now);
    }
  }

  private static void closeLongestIdle(
      Collection<MachineConnectionPool> pools, int count, Duration now) {
    List<MachineConnectionPool> idle = new ArrayList<>();
    for (MachineConnectionPool pool : pools) {
      if (pool.idleSince().filter(since -> isIdleLongEnough(since, now)).isPresent()) {
        idle.add(pool);
      }
    }
    idle.sort(Comparator.comparing(pool -> pool.idleSince().orElseThrow()));
    for (MachineConnectionPool pool : idle.subList(0, Math.min(count, idle.size()))) {
      pool.closeIdleConnection(now);
    }
  }

  private static boolean isIdleLongEnough(Duration since, Duration now) {
    return now.minus(since).compareTo(MIN_IDLE_TIME) >= 0;
  }
}
