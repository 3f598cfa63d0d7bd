package fordridge.machine;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/**
 * Divides a limited number of connections among the machines with VMs, of which there may be more.
 * A machine can send a termination notice only on an open connection. The scheduler therefore
 * connects to the machines in turn to monitor their VMs, and closes idle connections to make that
 * possible. Some connections are always reserved for placement requests. Stateless; free of I/O,
 * threads and clocks.
 */
public final class ConnectionBudget {
  /** Minimum idle time before a connection is closed: pending notices have arrived by then. */
  private static final Duration MIN_IDLE_TIME = Duration.ofMillis(500);

  /** One in this many connections is reserved for placement requests. */
  private static final int OFFER_RESERVE_DIVISOR = 8;

  /**
   * One in this many connections is reserved for monitoring machines that run VMs and have no
   * placement request. With this share the scheduler connects in turn to several times as many
   * machines within seconds, whatever the load of placement requests.
   */
  private static final int MONITORING_SHARE_DIVISOR = 4;

  /**
   * At most this number, plus a fraction of the machines that need a connection, are opened in one
   * tick. After a start hundreds of machines may need one, and a placement request that arrives
   * then must not wait for all their handshakes.
   */
  private static final int BASE_OPEN_COUNT = 2;

  /** One in this many of the machines that need a connection gets one in the same tick. */
  private static final int OPEN_SHARE_DIVISOR = 20;

  private ConnectionBudget() {}

  /**
   * Opens and closes connections as needed, and updates the number of further connections that may
   * carry placement requests. Call it after the ticks of all pools.
   *
   * @param inUseCount number of connections in use, over all machines
   * @param limit upper bound on {@code inUseCount}
   */
  public static void rebalance(
      Collection<MachineConnectionPool> pools,
      int inUseCount,
      int limit,
      OfferConnectionQuota offers,
      Duration now) {
    Demand demand = Demand.of(pools, limit);
    int available = Math.max(0, limit - inUseCount);
    int remainingForOffers = demand.remainingForOffers(limit);
    int reservedForOffers =
        Math.min(Math.max(1, limit / OFFER_RESERVE_DIVISOR), remainingForOffers);
    int reservedForMonitoring = Math.min(demand.missingForMonitoring(), available);
    offers.set(remainingForOffers, available - reservedForMonitoring);
    int availableForMonitoring = Math.max(available - reservedForOffers, reservedForMonitoring);

    if (available <= reservedForOffers) {
      pools.forEach(pool -> pool.closeLateConnection(now));
    }

    List<MachineConnectionPool> waiting = new ArrayList<>();
    for (MachineConnectionPool pool : pools) {
      if (pool.needsConnection()) {
        waiting.add(pool);
      }
    }
    int maxOpened = Math.min(waiting.size(), BASE_OPEN_COUNT + waiting.size() / OPEN_SHARE_DIVISOR);
    reconnectLeastRecentlyTried(waiting, Math.min(availableForMonitoring, maxOpened), now);
    // For monitoring, any idle connection may be closed, so that machines take turns. For offers,
    // only those that exceed the share reserved for monitoring.
    int monitoringShortfall = maxOpened - availableForMonitoring;
    int offerShortfall = reservedForOffers - available;
    int closed = closeSurplusIdle(pools, Math.max(monitoringShortfall, offerShortfall), now);
    int closable = Math.min(offerShortfall - closed, demand.monitored() - demand.monitoringShare());
    closeLongestIdle(pools, Math.max(monitoringShortfall - closed, closable), now);
  }

  /**
   * The demand for connections.
   *
   * @param inUseByOffers number of connections that carry placement requests
   * @param monitoringShare number of connections reserved for machines that carry no placement
   *     request and have to be monitored
   * @param monitored how many of these machines have a connection
   */
  private record Demand(int inUseByOffers, int monitoringShare, int monitored) {
    static Demand of(Collection<MachineConnectionPool> pools, int limit) {
      int inUseByOffers = 0;
      int machinesToMonitor = 0;
      int monitored = 0;
      for (MachineConnectionPool pool : pools) {
        int busyConnections = pool.busyConnectionCount();
        inUseByOffers += busyConnections;
        if (busyConnections == 0 && pool.needsMonitoring()) {
          machinesToMonitor++;
          monitored += pool.isUnconnected() ? 0 : 1;
        }
      }
      int monitoringShare = Math.min(limit / MONITORING_SHARE_DIVISOR, machinesToMonitor);
      return new Demand(inUseByOffers, monitoringShare, monitored);
    }

    /** How many connections of the monitoring share are not open. */
    int missingForMonitoring() {
      return Math.max(0, monitoringShare - monitored);
    }

    /** How many connections may carry placement requests in addition to those that do. */
    int remainingForOffers(int limit) {
      return Math.max(0, limit - monitoringShare - inUseByOffers);
    }
  }

  private static void reconnectLeastRecentlyTried(
      List<MachineConnectionPool> waiting, int count, Duration now) {
    waiting.sort(Comparator.comparing(MachineConnectionPool::lastConnectAttemptAt));
    for (MachineConnectionPool pool : waiting.subList(0, count)) {
      pool.reconnect(now);
    }
  }

  private static void closeLongestIdle(
      Collection<MachineConnectionPool> pools, int count, Duration now) {
    if (count <= 0) {
      return;
    }
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

  /**
   * Closes idle connections to machines that have other connections, however briefly they have been
   * idle.
   *
   * @return the number of connections closed
   */
  private static int closeSurplusIdle(
      Collection<MachineConnectionPool> pools, int count, Duration now) {
    int closed = 0;
    for (MachineConnectionPool pool : pools) {
      if (closed < count && pool.hasSurplusIdle()) {
        pool.closeIdleConnection(now);
        closed++;
      }
    }
    return closed;
  }

  private static boolean isIdleLongEnough(Duration since, Duration now) {
    return now.minus(since).compareTo(MIN_IDLE_TIME) >= 0;
  }
}
