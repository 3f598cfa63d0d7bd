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
   * The fraction of all connections that placement requests leave for hearing of running VMs is one
   * in this many: with it, machines of some times that number are connected to in turn within
   * seconds, whatever is being placed.
   */
  private static final int LISTENING_ONE_IN = 4;

  /**
   * Connections opened at once are bounded by this number and a fraction of the machines that need
   * one: after a start hundreds may, and a placement request that comes then must not wait behind
   * all their handshakes.
   */
  private static final int MIN_OPENED_AT_ONCE = 2;

  private static final int OPENED_AT_ONCE_ONE_IN = 20;

  private ConnectionBudget() {}

  /**
   * Opens and closes connections where it is due, and sets how many more may carry placement
   * requests. To be called behind the ticks of all pools.
   *
   * @param inUseCount connections in use, of all machines
   * @param limit bound on {@code inUseCount}
   */
  public static void rebalance(
      Collection<MachineConnectionPool> pools,
      int inUseCount,
      int limit,
      OfferAllowance offers,
      Duration now) {
    Demand demand = Demand.of(pools, limit);
    int places = Math.max(0, limit - inUseCount);
    int offerCarriers = demand.remainingForOffers(limit);
    int reserved = Math.min(Math.max(1, limit / RESERVED_ONE_IN), offerCarriers);
    int guaranteed = Math.min(demand.unheard(), places);
    offers.set(offerCarriers, places - guaranteed);
    int free = Math.max(places - reserved, guaranteed);

    List<MachineConnectionPool> waiting = new ArrayList<>();
    for (MachineConnectionPool pool : pools) {
      if (pool.needsConnection()) {
        waiting.add(pool);
      }
    }
    int atOnce =
        Math.min(waiting.size(), MIN_OPENED_AT_ONCE + waiting.size() / OPENED_AT_ONCE_ONE_IN);
    reconnectLeastRecent(waiting, Math.min(free, atOnce), now);
    // Turns among the machines that wait; for offers only what is beyond the share of the others.
    int lackingForTurns = atOnce - free;
    int lackingForOffers = reserved - places;
    int closed = closeSurplus(pools, Math.max(lackingForTurns, lackingForOffers), now);
    int closable = Math.min(lackingForOffers - closed, demand.heard() - demand.listening());
    closeLongestIdle(pools, Math.max(lackingForTurns - closed, closable), now);
  }

  /**
   * What the connections are needed for.
   *
   * @param carrying connections that carry placement requests
   * @param listening connections that are to be left for machines which carry none and have to be
   *     heard of
   * @param heard how many of these machines have a connection
   */
  private record Demand(int carrying, int listening, int heard) {
    static Demand of(Collection<MachineConnectionPool> pools, int limit) {
      int carrying = 0;
      int machinesToHear = 0;
      int heard = 0;
      for (MachineConnectionPool pool : pools) {
        int ofMachine = pool.carrierCount();
        carrying += ofMachine;
        if (ofMachine == 0 && pool.hasToHear()) {
          machinesToHear++;
          heard += pool.isUnconnected() ? 0 : 1;
        }
      }
      int listening = Math.min(limit / LISTENING_ONE_IN, machinesToHear);
      return new Demand(carrying, listening, heard);
    }

    /** How many connections of the share are not open. */
    int unheard() {
      return Math.max(0, listening - heard);
    }

    /** Connections that may carry placement requests, beyond those that do. */
    int remainingForOffers(int limit) {
      return Math.max(0, limit - listening - carrying);
    }
  }

  private static void reconnectLeastRecent(
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
   * Closes idle connections of machines that have others, however short they are idle.
   *
   * @return how many
   */
  private static int closeSurplus(
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
