package fordridge.machine;

import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;

/**
 * Limits how many machines are connected to at a time for the reconciliation after a scheduler's
 * start, and tracks when that is complete: when every machine of the first machine list has sent
 * its inventory or is listed as gone. Until then a VM that was requested from an earlier
 * incarnation of this scheduler may run on a machine that has not reported it yet. A machine that
 * can't be reached is not reconciled.
 *
 * <p>A few machines are connected to concurrently, regardless of their total number; the next one
 * follows when one of them has sent its inventory or failed. Opening a stream takes 1 to 2 ms of
 * the event loop, and thousands opened at the same time would delay all placements queued behind
 * them. Not thread-safe.
 *
 * @param <M> identifies a machine
 */
public final class ReconciliationPacer<M> {
  /** Maximum number of machines being connected to, which take about 10 ms of the event loop. */
  private static final int MAX_CONCURRENT = 8;

  private final Set<M> unreconciled = new HashSet<>();
  private final Set<M> scheduled = new LinkedHashSet<>();
  private final Set<M> connecting = new HashSet<>();
  private boolean started;

  /** The first machine list was received; returns false on later calls, which are ignored. */
  public boolean start(Set<? extends M> machines) {
    if (started) {
      return false;
    }
    started = true;
    unreconciled.addAll(machines);
    return true;
  }

  /** Queues the machine to be connected to. */
  public void schedule(M machine) {
    scheduled.add(machine);
  }

  /** Returns the next machine to connect to; empty at the limit or if none is queued. */
  public Optional<M> next() {
    Iterator<M> first = scheduled.iterator();
    if (connecting.size() >= MAX_CONCURRENT || !first.hasNext()) {
      return Optional.empty();
    }
    M machine = first.next();
    first.remove();
    connecting.add(machine);
    return Optional.of(machine);
  }

  /**
   * The machine's stream broke or timed out: the machine no longer counts toward the limit, while
   * its {@link MachineStream} continues to retry.
   */
  public void connectionFailed(M machine) {
    connecting.remove(machine);
  }

  /** The machine has sent its inventory or is gone. */
  public void reconciled(M machine) {
    unreconciled.remove(machine);
    scheduled.remove(machine);
    connecting.remove(machine);
  }

  /** Whether all VMs of earlier incarnations of this scheduler are known. */
  public boolean isComplete() {
    return started && unreconciled.isEmpty();
  }
}
