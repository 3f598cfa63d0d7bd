package fordridge.model;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/** One ask to have a VM placed, and the VM itself once it is. */
public final class Vm {
  /** The name it bears at the door; the module only hands it back. */
  public final String id;

  public String priorityClass;
  public String tenant = "";
  public long service;
  public double cores;
  public double memory;
  public boolean isClientRetry;
  public Duration arrivedAt;
  public Duration deadline;

  /** Expected life, null where not told. */
  public Duration expectedLifetime;

  public final List<PlacementAttempt> attempts = new ArrayList<>();
  public PlacementAttempt acceptedAttempt;

  /**
   * Among which VMs it is held, null when it is not; its place in that order, and when it is given
   * up.
   */
  PendingQueue.Group heldIn;

  private TenantClass tenantClass;
  long heldAs;
  int heldRank;
  Duration giveUpAt;

  /** Final answer given, or the end told. */
  public boolean isFinished;

  /** Stopped by a move of ours; what follows is no fault of the machine. */
  public boolean isMigrating;

  public Vm(String id) {
    this.id = id;
  }

  /** Its tenant and priority class, which must not change after the first call. */
  public TenantClass tenantClass() {
    if (tenantClass == null) {
      tenantClass = new TenantClass(tenant, priorityClass);
    }
    return tenantClass;
  }

  /** Its latest claim, or null. */
  public PlacementAttempt lastAttempt() {
    return attempts.isEmpty() ? null : attempts.get(attempts.size() - 1);
  }

  public int inFlightAttempts() {
    int n = 0;
    for (PlacementAttempt c : attempts) {
      if (c.isInFlight()) {
        n++;
      }
    }
    return n;
  }
}
