package fordridge.machine;

import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;

/**
 * Paces the reconciliation after a scheduler's start, and knows when it is complete: when every
 * machine of the first machine list has sent its inventory, or is listed as gone. Until then a VM
 * that was requested from an earlier incarnation of this scheduler may run on a machine that has
 * not said so; a machine that can't be reached is not reconciled.
 *
 * <p>A few machines are connected to at once, and the next when one of these has sent its inventory
 * or failed, however many there are. To open a stream costs the event loop a millisecond or two,
 * and thousands due at the same time would delay every VM behind them. Not thread-safe.
 *
 * @param <M> identifies a machine
 */
public final class ReconnectPacer<M> {
  /** Machines that are connected to and have not answered: some 10 ms of the event loop's time. */
  private static final int MAX_CONCURRENT = 8;

  private final Set<M> unreconciled = new HashSet<>();
  private final Set<M> scheduled = new LinkedHashSet<>();
  private final Set<M> connecting = new HashSet<>();
  private boolean started;

  /** The first machine list has come; false for later calls, which are ignored. */
  public boolean start(Set<? extends M> machines) {
    if (started) {
      return false;
    }
    started = true;
    unreconciled.addAll(machines);
    return true;
  }

  /** The machine is to be connected to when its turn comes. */
  public void schedule(M machine) {
    scheduled.add(machine);
  }

  /** The next machine to connect to; empty while enough are under way or none is scheduled. */
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
   * The machine's stream broke or did not come up in time: it makes way for others while its {@link
   * MachineStream} goes on trying.
   */
  public void connectionFailed(M machine) {
    connecting.remove(machine);
  }

  /** The machine has sent its inventory, or is gone. */
  public void reconciled(M machine) {
    unreconciled.remove(machine);
    scheduled.remove(machine);
    connecting.remove(machine);
  }

  /** Whether all VMs of earlier incarnations are known. */
  public boolean isComplete() {
    return started && unreconciled.isEmpty();
  }
}
