package fordridge.machine;

import java.time.Duration;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Termination notices for VMs that are not known to run on a machine. After a restart of the
 * scheduler, a machine may send a VM's termination notice before the VM's client has handed the VM
 * over; the notice is kept until then. At most the latest {@value #MAX_ENTRIES} are kept, each for
 * {@link #RETENTION_TIME}, and fewer if those of all machines are too many. Not thread-safe.
 */
final class UnclaimedTerminations {
  static final int MAX_ENTRIES = 4096;
  static final Duration RETENTION_TIME = Duration.ofSeconds(10);

  private record Entry(VmTermination termination, Duration receivedAt) {}

  private final Map<String, Entry> entriesByVmId = new LinkedHashMap<>();
  private final SharedEntryCount ofAllMachines;
  private long displacedCount;

  UnclaimedTerminations(SharedEntryCount ofAllMachines) {
    this.ofAllMachines = ofAllMachines;
  }

  /** Adds a termination notice for an unknown VM, and removes expired and surplus ones. */
  void add(VmTermination termination, Duration now) {
    // The first arrival counts: a machine resends notices that are not acknowledged.
    if (entriesByVmId.putIfAbsent(termination.vmId(), new Entry(termination, now)) == null) {
      ofAllMachines.added();
    }
    removeSurplus(now);
  }

  /** Removes expired and surplus notices; to be called periodically. */
  void removeSurplus(Duration now) {
    Iterator<Entry> oldest = entriesByVmId.values().iterator();
    while (oldest.hasNext()) {
      boolean isExpired = now.minus(oldest.next().receivedAt).compareTo(RETENTION_TIME) >= 0;
      int size = entriesByVmId.size();
      if (!isExpired && size <= MAX_ENTRIES && !ofAllMachines.isExceededBy(size)) {
        return;
      }
      displacedCount += isExpired ? 0 : 1;
      oldest.remove();
      ofAllMachines.removed(1);
    }
  }

  /** Removes and returns the termination notice for this VM, if one is kept and has not expired. */
  Optional<VmTermination> take(String vmId, Duration now) {
    Entry entry = entriesByVmId.remove(vmId);
    if (entry != null) {
      ofAllMachines.removed(1);
    }
    return Optional.ofNullable(entry)
        .filter(each -> now.minus(each.receivedAt).compareTo(RETENTION_TIME) < 0)
        .map(Entry::termination);
  }

  /** Whether a termination notice for this VM is kept and has not expired. */
  boolean contains(String vmId, Duration now) {
    Entry entry = entriesByVmId.get(vmId);
    return entry != null && now.minus(entry.receivedAt).compareTo(RETENTION_TIME) < 0;
  }

  /** Number of notices that were displaced by later ones since the start. */
  long displacedCount() {
    return displacedCount;
  }

  int size() {
    return entriesByVmId.size();
  }
}
