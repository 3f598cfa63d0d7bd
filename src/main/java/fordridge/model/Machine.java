package fordridge.model;

import java.time.Duration;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/**
 * One scheduler's view of a machine.
 *
 * <p>Confined to the thread that calls the scheduler. Times are durations since the start of that
 * thread's clock; null means never unless stated otherwise. Cores and memory are in the machine
 * list's units.
 */
public final class Machine {
  /** The life cycle state of a machine in the machine list. */
  public enum Lifecycle {
    LIVE,
    /** Keeps its VMs running and accepts no more. */
    DRAINING,
    GONE
  }

  public final long id;

  // From the machine list.
  public Lifecycle lifecycle = Lifecycle.GONE;
  public String zone = "";
  public String kind = "";
  public int cell;

  /** Size by its kind: cores, and {@link #memory}. */
  public double cores;

  public double memory;

  /** Size less the cores that all VMs there request; negative if these exceed the size. */
  public double freeCores;

  public double freeMemory;

  /** When it started, null if that is not known. */
  public Duration startedAt;

  /**
   * When a list last named it; null while a complete list is being received that has not named it
   * yet.
   */
  public Duration listedAt;

  /** Whether any list has named it. */
  public boolean isListed;

  // From its last load report; NaN where a value was not reported.
  public double spareCores = Double.NaN;
  public double spareMemory = Double.NaN;

  /** Busy share of the cores. */
  public double utilization = Double.NaN;

  public Duration reportedAt;

  /** When a report of it was last gossiped, by this scheduler or, as far as known, any other. */
  public Duration gossipedAt;

  public Duration probedAt;
  public boolean isProbing;

  // Attempts of this scheduler.
  /** Attempts that the free capacity in the machine list may not reflect yet. */
  public final ReservationLedger reservedSinceList = new ReservationLedger();

  /** Attempts whose use the load reports may not reflect yet. */
  public final ReservationLedger reservedSinceReport = new ReservationLedger();

  /** Attempts without a response yet, oldest first. */
  public final Set<PlacementAttempt> unansweredAttempts = new LinkedHashSet<>();

  /** Attempts in flight or running. */
  public final Set<PlacementAttempt> hostedAttempts = new LinkedHashSet<>();

  /** This scheduler's VMs at the machine, by service. */
  public final Map<Long, HostedService> hostedServices = new HashMap<>();

  /** Attempts counted against its slow-start quota. */
  public final SlidingWindow slowStartAttempts = new SlidingWindow();

  public Duration lastAttemptAt;

  // Health.
  public final DecayingScore faultScore = new DecayingScore();

  /** Earliest time of the next attempt. */
  public Duration ejectedUntil = Duration.ZERO;

  private final Map<TenantClass, RejectionBackoff> rejectionBackoffs = new HashMap<>();

  // Temporary values of the placement decision in progress.
  /** Free capacity found for the VM, in cores. */
  public double headroomCores;

  /** Rank of the machine for the VM's service, see {@link RendezvousHashing}. */
  long hashRank;

  /** Creates a machine that no list has named yet. */
  public Machine(long id) {
    this.id = id;
  }

  /** The backoff for VMs of the tenant class; a new one has a zero span. */
  public RejectionBackoff rejectionBackoff(TenantClass tenantClass) {
    return rejectionBackoffs.computeIfAbsent(tenantClass, key -> new RejectionBackoff());
  }

  /** Whether it has a backoff for any tenant class. */
  public boolean hasRejectionBackoffs() {
    return !rejectionBackoffs.isEmpty();
  }

  /** Ejects the machine until the given time at least; a later end that is already set stays. */
  public void ejectUntil(Duration time) {
    ejectedUntil = Durations.max(ejectedUntil, time);
  }

  /** Whether a report of it was gossiped less than the span ago. */
  public boolean wasGossipedWithin(Duration span, Duration now) {
    return gossipedAt != null && now.minus(gossipedAt).compareTo(span) < 0;
  }

  /** Cores requested by all VMs on the machine. */
  public double requestedCores() {
    return cores - freeCores;
  }

  /** Memory requested by all VMs on the machine. */
  public double requestedMemory() {
    return memory - freeMemory;
  }

  /** Whether it is live and its size is known. */
  public boolean isUsable() {
    return lifecycle == Lifecycle.LIVE && cores > 0;
  }

  /** Sets the size to that of a kind. */
  public void resize(MachineKind size) {
    cores = size.cores();
    memory = size.memory();
  }

  /** Enters a load report that another scheduler gossiped. */
  public void loadGossiped(GossipMessage.LoadReported load, Duration now) {
    spareCores = (1 - load.usedCores()) * cores;
    spareMemory = (1 - load.usedMemory()) * memory;
    utilization = Double.NaN;
    reportedAt = now;
    gossipedAt = now;
  }

  /** Removes services that it no longer hosts; a restarted machine is not warm for them. */
  public void forgetPastServices() {
    hostedServices.values().removeIf(service -> service.count == 0);
  }
}
