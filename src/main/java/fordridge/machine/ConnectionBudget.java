package fordridge.machine;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/**
 * Whose turn it is to be connected to, where there may be fewer connections than machines that hold
 * VMs: what such a machine has to say waits for a connection, so each is visited in turn, and those
 * that are only kept to listen give way. Some are always left for set-ups. Free of I/O, threads and
 * clocks.
 */
public final class ConnectionBudget {
  /** So long a connection is kept at least: what the machine had to say has come by then. */
  private static final Duration STAY = Duration.ofMillis(500);

  private ConnectionBudget() {}

  /** Behind every trunk's tick: of {@code most} connections {@code open} are in use. */
  public static void rebalance(
      Collection<MachineConnectionPool> connectionPools, int open, int most, Duration now) {
    int free = most - open - Math.max(1, most / 8);
    List<MachineConnectionPool> wanting = new ArrayList<>();
    List<MachineConnectionPool> idle = new ArrayList<>();
    for (MachineConnectionPool t : connectionPools) {
      if (t.needsConnection()) {
        wanting.add(t);
      }
    }
    if (free > 0) {
      wanting.sort(Comparator.comparing(MachineConnectionPool::lastConnectAttemptAt));
      // Not all at once: after a start hundreds may want it, and an ask that comes then must not
      // stand behind them.
      int some = Math.min(free, 2 + wanting.size() / 20);
      wanting.subList(0, Math.min(some, wanting.size())).forEach(t -> t.reconnect(now));
    }
    int lacking = wanting.size() - free;
    if (lacking <= 0) {
      return;
    }
    for (MachineConnectionPool t : connectionPools) {
      if (t.idleSince().filter(since -> now.minus(since).compareTo(STAY) >= 0).isPresent()) {
        idle.add(t);
      }
    }
    idle.sort(Comparator.comparing(t -> t.idleSince().orElseThrow()));
    idle.subList(0, Math.min(lacking, idle.size())).forEach(t -> t.closeIdleConnection(now));
  }
}
