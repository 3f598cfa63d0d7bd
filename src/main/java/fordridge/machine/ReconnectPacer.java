package fordridge.machine;

import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;

/**
 * Whether every machine that was listed when this placer started has said what it still holds of an
 * earlier life of it. Until then a VM that was asked for in that life may run somewhere unseen. A
 * machine is settled by its word, or by the list's that it is gone; one that cannot be reached is
 * not.
 *
 * <p>It goes by turns: a few machines are called at once and the next when one of these has
 * answered or failed, however many there are. To open a stream costs the loop a millisecond or two,
 * and thousands due in one span would keep every VM waiting behind them.
 */
public final class ReconnectPacer<M> {
  /**
   * Calls without a word as yet; ten or so milliseconds of the loop's work at most stand before a
   * VM.
   */
  private static final int AT_ONCE = 8;

  private final Set<M> open = new HashSet<>();
  private final Set<M> due = new LinkedHashSet<>();
  private final Set<M> called = new HashSet<>();
  private boolean begun;

  /** The first list: these are the machines that an earlier life may have used. */
  public void start(Set<? extends M> machines) {
    if (!begun) {
      begun = true;
      open.addAll(machines);
    }
  }

  /** It is to be called when its turn comes. */
  public void schedule(M machine) {
    due.add(machine);
  }

  /** The next to call now; empty while enough are under way, or none is due. */
  public Optional<M> next() {
    Iterator<M> first = due.iterator();
    if (called.size() >= AT_ONCE || !first.hasNext()) {
      return Optional.empty();
    }
    M machine = first.next();
    first.remove();
    called.add(machine);
    return Optional.of(machine);
  }

  /** Its stream broke, or took too long: others get their turn while its link tries on. */
  public void connectionFailed(M machine) {
    called.remove(machine);
  }

  public void reconciled(M machine) {
    open.remove(machine);
    due.remove(machine);
    called.remove(machine);
  }

  public boolean isComplete() {
    return begun && open.isEmpty();
  }
}
