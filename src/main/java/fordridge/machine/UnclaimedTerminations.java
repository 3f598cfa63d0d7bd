package fordridge.machine;

import java.time.Duration;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Terminations of VMs that are not known to run on a machine. After a restart a machine may notify
 * the end of a VM before its client has reported the VM: the notice is kept for that report. At
 * most {@value #MAX_KEPT} are kept, the latest, each for a while. Not thread-safe.
 */
final class UnclaimedTerminations {
  static final int MAX_KEPT = 4096;
  static final Duration KEPT_FOR = Duration.ofSeconds(10);

  private record Kept(VmTermination termination, Duration receivedAt) {}

  private final Map<String, Kept> byVm = new LinkedHashMap<>();
  private long displaced;

  /** A termination came that nobody waits for yet. */
  void add(VmTermination termination, Duration now) {
    // The first time counts: a machine repeats what is not acknowledged.
    byVm.putIfAbsent(termination.vmId(), new Kept(termination, now));
    Iterator<Kept> oldest = byVm.values().iterator();
    while (oldest.hasNext()) {
      boolean isOld = now.minus(oldest.next().receivedAt).compareTo(KEPT_FOR) >= 0;
      if (!isOld && byVm.size() <= MAX_KEPT) {
        return;
      }
      displaced += isOld ? 0 : 1;
      oldest.remove();
    }
  }

  /** Removes and returns the termination of this VM, if one came within the last while. */
  Optional<VmTermination> take(String vmId, Duration now) {
    Kept kept = byVm.remove(vmId);
    return Optional.ofNullable(kept)
        .filter(each -> now.minus(each.receivedAt).compareTo(KEPT_FOR) < 0)
        .map(Kept::termination);
  }

  /** Whether a termination of this VM is kept. */
  boolean contains(String vmId, Duration now) {
    Kept kept = byVm.get(vmId);
    return kept != null && now.minus(kept.receivedAt).compareTo(KEPT_FOR) < 0;
  }

  /** Terminations that gave way to later ones since the start. */
  long displacedCount() {
    return displaced;
  }

  int size() {
    return byVm.size();
  }
}
