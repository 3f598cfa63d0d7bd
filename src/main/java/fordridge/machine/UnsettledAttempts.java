package fordridge.machine;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * Attempts on one machine that this scheduler has given up, and whose machine has not said what
 * became of them: each may have left a VM that runs there and that nobody owns. Each is kept until
 * the machine has said that it is over, has answered a health check that was written behind its
 * release, or is known to be gone with all that ran there. Until then the release is repeated.
 *
 * <pre>
 * state     release written  check behind it   connection of the  machine accepts
 *                            answered          release ended      it
 * PENDING   RELEASED         -                 -                  PENDING
 * RELEASED  -                settled           PENDING            PENDING
 * </pre>
 *
 * <p>At most {@value #MAX_KEPT} are kept, the latest; those that give way are counted. Not
 * thread-safe.
 */
public final class UnsettledAttempts {
  static final int MAX_KEPT = 1024;

  private static final class Entry {
    final UnsettledReason reason;
    final Duration since;
    boolean wasReleased;

    /** The connection on which its release was written last; null while that is pending. */
    MachineConnection releasedOn;

    /** The number of the health check on that connection which was written behind the release. */
    long checkNumber;

    Entry(UnsettledReason reason, Duration since) {
      this.reason = reason;
      this.since = since;
    }
  }

  /** By VM, the one that was given up first at the front. */
  private final Map<String, Entry> byVm = new LinkedHashMap<>();

  private long displacedCount;

  /** An attempt was given up; the release of its VM is pending. */
  void add(String vmId, UnsettledReason reason, Duration now) {
    byVm.computeIfAbsent(vmId, id -> new Entry(reason, now)).releasedOn = null;
    if (byVm.size() > MAX_KEPT) {
      byVm.remove(byVm.keySet().iterator().next());
      displacedCount++;
    }
  }

  /** Its release was written to the connection, and the health check of that number behind it. */
  void released(String vmId, MachineConnection connection, long checkNumber) {
    Entry entry = byVm.get(vmId);
    if (entry != null) {
      entry.wasReleased = true;
      entry.releasedOn = connection;
      entry.checkNumber = checkNumber;
    }
  }

  /**
   * Nothing is to be released any more: the machine has said that it is over, or somebody owns the
   * VM. The result tells whether its release was written before; empty if it was not kept.
   */
  Optional<Boolean> settle(String vmId) {
    return Optional.ofNullable(byVm.remove(vmId)).map(entry -> entry.wasReleased);
  }

  /** The machine answered that health check: it has read what was written before; the VMs. */
  List<String> settleRead(MachineConnection connection, long checkNumber) {
    List<String> settled = new ArrayList<>();
    for (Iterator<Map.Entry<String, Entry>> entries = byVm.entrySet().iterator();
        entries.hasNext(); ) {
      Map.Entry<String, Entry> each = entries.next();
      if (each.getValue().releasedOn == connection && each.getValue().checkNumber <= checkNumber) {
        entries.remove();
        settled.add(each.getKey());
      }
    }
    return settled;
  }

  /** What was written to the connection may not have been read: its releases are pending again. */
  void connectionEnded(MachineConnection connection) {
    for (Entry entry : byVm.values()) {
      if (entry.releasedOn == connection) {
        entry.releasedOn = null;
      }
    }
  }

  /** The machine is gone with all that ran there. */
  void settleAll() {
    byVm.clear();
  }

  boolean isEmpty() {
    return byVm.isEmpty();
  }

  /** The ids of the VMs whose release is to be written, of those that may be released now. */
  List<String> pending(Predicate<String> isReleasable) {
    List<String> pending = new ArrayList<>();
    byVm.forEach(
        (vmId, entry) -> {
          if (entry.releasedOn == null && isReleasable.test(vmId)) {
            pending.add(vmId);
          }
        });
    return pending;
  }

  /** Adds how many there are by reason. */
  public void countInto(Map<UnsettledReason, Integer> counts) {
    byVm.values().forEach(entry -> counts.merge(entry.reason, 1, Integer::sum));
  }

  /** Since when the oldest is kept; empty if none is. */
  public Optional<Duration> oldestSince() {
    return byVm.values().stream().findFirst().map(entry -> entry.since);
  }

  /** Those that gave way to later ones since the start. */
  public long displacedCount() {
    return displacedCount;
  }
}
