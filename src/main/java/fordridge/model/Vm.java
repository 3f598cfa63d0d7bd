package fordridge.model;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/**
 * A VM: the placement request and, once it runs, the VM itself.
 *
 * <p>Confined to the thread that calls the scheduler. The requested values are set before the
 * scheduler gets the VM and do not change after that.
 */
public final class Vm {
  /** The id that the client gave it; the scheduler only passes it back. */
  public final String id;

  // Requested values.
  public String priorityClass;
  public String tenant = "";
  public long service;
  public double cores;
  public double memory;

  /** Whether the client has requested it before. */
  public boolean isClientRetry;

  public Duration arrivedAt;

  /** When the client gives up. */
  public Duration deadline;

  /** How long it will run, null if that is not known. */
  public Duration expectedLifetime;

  // State of the request and the VM.
  /** All attempts, oldest first; the index of each is its number. */
  public final List<PlacementAttempt> attempts = new ArrayList<>();

  /** The accepted attempt, by which the VM runs, or null. */
  public PlacementAttempt acceptedAttempt;

  /** Whether the final response was sent or the VM's end was reported. */
  public boolean isFinished;

  /**
   * Whether the scheduler stopped it in order to migrate it, so that its end is not a fault of the
   * machine.
   */
  public boolean isMigrating;

  /** Its current or last position in the pending queue, null if it was never in it. */
  PendingQueue.Entry pendingEntry;

  private TenantClass tenantClass;

  /** Creates a VM of which only the id is set. */
  public Vm(String id) {
    this.id = id;
  }

  /** A VM with the same id and requested values, without attempts. */
  public Vm copyOfRequest() {
    Vm copy = new Vm(id);
    copy.priorityClass = priorityClass;
    copy.tenant = tenant;
    copy.service = service;
    copy.cores = cores;
    copy.memory = memory;
    copy.isClientRetry = isClientRetry;
    copy.arrivedAt = arrivedAt;
    copy.deadline = deadline;
    copy.expectedLifetime = expectedLifetime;
    return copy;
  }

  /** Its tenant and priority class. */
  public TenantClass tenantClass() {
    if (tenantClass == null) {
      tenantClass = new TenantClass(tenant, priorityClass);
    }
    return tenantClass;
  }

  /** Its latest attempt, or null. */
  public PlacementAttempt lastAttempt() {
    return attempts.isEmpty() ? null : attempts.get(attempts.size() - 1);
  }

  /** Number of attempts that were sent or may still be sent. */
  public int sentAttemptCount() {
    int count = 0;
    for (PlacementAttempt attempt : attempts) {
      if (attempt.outcome != PlacementAttempt.Outcome.NOT_SENT) {
        count++;
      }
    }
    return count;
  }

  /** The first attempt that may have run the VM, or null. */
  public PlacementAttempt firstAttemptThatMayHaveRun() {
    return firstAttemptThatMayHaveRunBefore(attempts.size());
  }

  /** The first attempt with a lower number that may have run the VM, or null. */
  public PlacementAttempt firstAttemptThatMayHaveRunBefore(int number) {
    for (PlacementAttempt attempt : attempts) {
      if (attempt.number < number && !attempt.hasNeverRun()) {
        return attempt;
      }
    }
    return null;
  }

  /** Whether all attempts that may have run the VM were in the machine's domain. */
  public boolean mayHaveRunOnlyInDomainOf(Machine machine, TopologyScope scope) {
    for (PlacementAttempt attempt : attempts) {
      if (!attempt.hasNeverRun() && !scope.contains(machine, attempt.machine)) {
        return false;
      }
    }
    return true;
  }

  /** Number of attempts without an outcome, which includes the attempt of a running VM. */
  public int inFlightAttemptCount() {
    int count = 0;
    for (PlacementAttempt attempt : attempts) {
      if (attempt.isInFlight()) {
        count++;
      }
    }
    return count;
  }
}
