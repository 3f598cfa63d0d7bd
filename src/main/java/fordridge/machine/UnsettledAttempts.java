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
 * Unsettled attempts on one machine: attempts that this scheduler has given up although their
 * outcome on the machine is unknown. Each may have left an orphaned VM, which runs there without an
 * owner, so the scheduler requests the machine to release the VM and repeats the request until the
 * attempt is settled. It is settled when the machine has reported the end of the VM, has answered a
 * health check that was sent after the release, or is known to be gone with all its VMs, or when
 * the VM has an owner again.
 *
 * <pre>
 * state     release written  health check sent  connection of the  machine accepts
 *                            after it answered  release closed     the VM
 * PENDING   RELEASED         -                  -                  PENDING
 * RELEASED  -                settled            PENDING            PENDING
 * </pre>
 *
 * <p>At most the latest {@value #MAX_ENTRIES} are kept, and fewer if those of all machines are too
 * many; displaced ones are counted. Not thread-safe.
 */
public final class UnsettledAttempts {
  static final int MAX_ENTRIES = 1024;

  private static final class Entry {
    final UnsettledReason reason;
    final Duration since;
    boolean wasReleased;

    /** The connection on which the release was last written; null while the release is pending. */
    MachineConnection releasedOn;

    /** The number of the health check that was sent on that connection after the release. */
    long healthCheckNumber;

    Entry(UnsettledReason reason, Duration since) {
      this.reason = reason;
      this.since = since;
    }
  }

  /** Entries by VM id, in the order in which the attempts were given up. */
  private final Map<String, Entry> entriesByVmId = new LinkedHashMap<>();

  private final SharedEntryCount ofAllMachines;
  private long displacedCount;

  UnsettledAttempts(SharedEntryCount ofAllMachines) {
    this.ofAllMachines = ofAllMachines;
  }

  /** Adds an attempt that was given up; the release of its VM is pending. */
  void add(String vmId, UnsettledReason reason, Duration now) {
    Entry known = entriesByVmId.get(vmId);
    if (known != null) {
      known.releasedOn = null;
      return;
    }
    entriesByVmId.put(vmId, new Entry(reason, now));
    ofAllMachines.added();
    while (isOverLimit(entriesByVmId.size())) {
      remove(entriesByVmId.keySet().iterator().next());
      displacedCount++;
    }
  }

  private boolean isOverLimit(int entries) {
    return entries > MAX_ENTRIES || (entries > 0 && ofAllMachines.isExceededBy(entries));
  }

  private Optional<Entry> remove(String vmId) {
    Optional<Entry> removed = Optional.ofNullable(entriesByVmId.remove(vmId));
    ofAllMachines.removed(removed.isPresent() ? 1 : 0);
    return removed;
  }

  /** The release was written to the connection, followed by the health check of that number. */
  void released(String vmId, MachineConnection connection, long healthCheckNumber) {
    Entry entry = entriesByVmId.get(vmId);
    if (entry != null) {
      entry.wasReleased = true;
      entry.releasedOn = connection;
      entry.healthCheckNumber = healthCheckNumber;
    }
  }

  /**
   * Settles the attempt of a VM: the machine has reported the VM's end, or the VM has an owner
   * again. Returns whether a release was written before; empty if no attempt of the VM was
   * unsettled.
   */
  Optional<Boolean> settle(String vmId) {
    return remove(vmId).map(entry -> entry.wasReleased);
  }

  /**
   * Settles the attempts whose releases were written before that health check, which the machine
   * has answered; returns the ids of their VMs.
   */
  List<String> settleAnswered(MachineConnection connection, long healthCheckNumber) {
    List<String> settled = new ArrayList<>();
    for (Iterator<Map.Entry<String, Entry>> entries = entriesByVmId.entrySet().iterator();
        entries.hasNext(); ) {
      Map.Entry<String, Entry> entry = entries.next();
      if (entry.getValue().releasedOn == connection
          && entry.getValue().healthCheckNumber <= healthCheckNumber) {
        entries.remove();
        ofAllMachines.removed(1);
        settled.add(entry.getKey());
      }
    }
    return settled;
  }

  /**
   * The connection was closed or timed out. The machine may not have read the releases written to
   * it, so they are pending again.
   */
  void connectionClosed(MachineConnection connection) {
    for (Entry entry : entriesByVmId.values()) {
      if (entry.releasedOn == connection) {
        entry.releasedOn = null;
      }
    }
  }

  /** Settles all attempts: the machine is gone with all its VMs. */
  void settleAll() {
    ofAllMachines.removed(entriesByVmId.size());
    entriesByVmId.clear();
  }

  boolean isEmpty() {
    return entriesByVmId.isEmpty();
  }

  /** Returns the ids of the VMs whose release is pending and that may be released now. */
  List<String> pending(Predicate<String> isReleasable) {
    List<String> pending = new ArrayList<>();
    entriesByVmId.forEach(
        (vmId, entry) -> {
          if (entry.releasedOn == null && isReleasable.test(vmId)) {
            pending.add(vmId);
          }
        });
    return pending;
  }

  /** Adds the number of unsettled attempts by reason to the given counts. */
  public void addCountsTo(Map<UnsettledReason, Integer> counts) {
    entriesByVmId.values().forEach(entry -> counts.merge(entry.reason, 1, Integer::sum));
  }

  /** Returns the time at which the oldest one was given up; empty if there is none. */
  public Optional<Duration> oldestSince() {
    return entriesByVmId.values().stream().findFirst().map(entry -> entry.since);
  }

  /** Number of unsettled attempts that were displaced by later ones since the start. */
  public long displacedCount() {
    return displacedCount;
  }
}
