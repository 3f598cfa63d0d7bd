package fordridge.model;

import java.time.Duration;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/**
 * A machine as this scheduler knows it.
 *
 * <p>Belongs to the thread that calls the scheduler. Times are spans since that thread's clock
 * began; null means never, unless said otherwise. Cores and memory are in the machine list's units.
 */
public final class Machine {
  /** What the machine list says of a machine's life. */
  public enum Lifecycle {
    LIVE,
    /** Runs what it has and takes no more. */
    DRAINING,
    GONE
  }

  public final long id;

  // From the machine list.
  public Lifecycle lifecycle = Lifecycle.GONE;
  public String zone = "";
  public String kind = "";
  public int cell;

  /** Size, by its kind. */
  public double cores;

  public double memory;

  /** Size less what all VMs there request; below 0 where more is accepted than it has. */
  public double freeCores;

  public double freeMemory;

  /** When it came up, null where that is not known. */
  public Duration startedAt;

  /** When a list last named it; null while a complete list that has not named it is coming. */
  public Duration listedAt;

  /** Whether any list has named it. */
  public boolean isListed;

  // From its last load report; NaN where it does not say.
  public double spareCores = Double.NaN;
  public double spareMemory = Double.NaN;

  /** Share of the cores that is busy. */
  public double utilization = Double.NaN;

  public Duration reportedAt;

  /** When any scheduler last gossiped a report of it, as far as known. */
  public Duration gossipedAt;

  public Duration probedAt;
  public boolean isProbing;

  // Attempts of this scheduler.
  /** Attempts that the free capacity of the machine list may not include yet. */
  public final ReservationLedger reservedSinceList = new ReservationLedger();

  /** Attempts whose use the load reports may not include yet. */
  public final ReservationLedger reservedSinceReport = new ReservationLedger();

  /** Attempts without a response, oldest first. */
  public final Set<PlacementAttempt> unansweredAttempts = new LinkedHashSet<>();

  /** Attempts in flight or running. */
  public final Set<PlacementAttempt> hostedAttempts = new LinkedHashSet<>();

  /** By service. */
  public final Map<Long, HostedService> hostedServices = new HashMap<>();

  /** Attempts that were sent while it warmed up. */
  public final SlidingWindow slowStartAttempts = new SlidingWindow();

  public Duration lastAttemptAt;

  // Health.
  public final DecayingScore faultScore = new DecayingScore();

  /** No attempt is sent before this time. */
  public Duration ejectedUntil = Duration.ZERO;

  private final Map<TenantClass, RejectionBackoff> rejectionBackoffs = new HashMap<>();

  // Scratch values of the placement that is being decided.
  /** Capacity found for the VM, in cores. */
  public double headroomCores;

  /** Its rank for the VM's service, see {@link RendezvousHashing}. */
  long hashRank;

  /** A machine that no list has named yet. */
  public Machine(long id) {
    this.id = id;
  }

  /** The backoff for VMs of that tenant class, which begins with no span. */
  public RejectionBackoff rejectionBackoff(TenantClass tenantClass) {
    return rejectionBackoffs.computeIfAbsent(tenantClass, key -> new RejectionBackoff());
  }

  /** Whether it has a backoff for any tenant class. */
  public boolean hasRejectionBackoffs() {
    return !rejectionBackoffs.isEmpty();
  }

  /** Sends no attempt before that time, or the later one that was set before. */
  public void ejectUntil(Duration time) {
    ejectedUntil = Durations.max(ejectedUntil, time);
  }

  /** Whether any scheduler gossiped a report of it less than that span ago. */
  public boolean wasGossipedWithin(Duration span, Duration now) {
    return gossipedAt != null && now.minus(gossipedAt).compareTo(span) < 0;
  }

  /** Cores that all VMs there request. */
  public double requestedCores() {
    return cores - freeCores;
  }

  /** Memory that all VMs there request. */
  public double requestedMemory() {
    return memory - freeMemory;
  }

  /** Whether it is live and its size is known. */
  public boolean isUsable() {
    return lifecycle == Lifecycle.LIVE && cores > 0;
  }

  /** Takes the size of its kind. */
  public void resize(MachineKind size) {
    cores = size.cores();
    memory = size.memory();
  }

  /** Takes over a load report that another scheduler gossiped. */
  public void loadGossiped(GossipMessage.LoadReported load, Duration now) {
    spareCores = (1 - load.usedCores()) * cores;
    spareMemory = (1 - load.usedMemory()) * memory;
    utilization = Double.NaN;
    reportedAt = now;
    gossipedAt = now;
  }

  /** Forgets services that it hosted before, as after a restart. */
  public void forgetPastServices() {
    hostedServices.values().removeIf(service -> service.count == 0);
  }
}
