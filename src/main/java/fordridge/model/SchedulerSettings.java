package fordridge.model;

import java.time.Duration;
import java.util.List;

/**
 * All settings of the scheduler, typed and with defaults filled in.
 *
 * @param schedulerCount number of schedulers that share the cluster, including this one
 * @param position this scheduler's number among them, from 0
 * @param zone the zone that this scheduler is in
 * @param machineKinds the kinds of machine with their sizes
 * @param priorityClasses at least one
 * @param tenants names of the tenants; one empty name where there are none
 * @param detectionTimeout time after which a fault or a change at a machine is assumed to be known
 */
public record SchedulerSettings(
    double schedulerCount,
    long position,
    String zone,
    List<MachineKind> machineKinds,
    List<PriorityClass> priorityClasses,
    List<String> tenants,
    Duration detectionTimeout,
    CapacitySettings capacity,
    Discovery discovery,
    Attempts attempts,
    SlowStartSettings slowStart,
    Monitoring monitoring,
    Prices prices) {

  /** The size of a machine by its kind. */
  public MachineKind kindOf(Machine machine) {
    for (MachineKind kind : machineKinds) {
      if (kind.name().equals(machine.kind)) {
        return kind;
      }
    }
    return MachineKind.UNKNOWN;
  }

  /** Whether some priority class requires that kind of machine. */
  public boolean isKindRequired(String kind) {
    for (PriorityClass priorityClass : priorityClasses) {
      if (kind.equals(priorityClass.requiredKind())) {
        return true;
      }
    }
    return false;
  }

  /** The highest rank of any priority class. */
  public int topRank() {
    int top = 0;
    for (PriorityClass priorityClass : priorityClasses) {
      top = Math.max(top, priorityClass.rank());
    }
    return top;
  }

  /** What acceptance by a machine means. */
  public enum AcceptanceMode {
    /** A machine accepts a VM once it runs. */
    RUNNING,
    /** A machine accepts a VM once it is admitted and reports later that it runs. */
    ADMITTED
  }

  /** What load reports count. */
  public enum LoadReportBasis {
    USED,
    REQUESTED
  }

  /** How load reports are received. */
  public enum LoadReportMode {
    OFF,
    WITH_RESPONSES,
    WITH_PROBES
  }

  /** How the machine list is received. */
  public enum DiscoveryMode {
    /** It is sent without a request. */
    PUSH,
    /** The scheduler has to watch it. */
    WATCH
  }

  /**
   * What machines accept and report.
   *
   * @param acceptedCoresFactor requested cores that a machine accepts, as a multiple of its size
   * @param acceptedMemoryFactor requested memory that a machine accepts, as a multiple of its size
   * @param listsFreeCapacity whether the machine list contains the free capacity of each machine
   * @param reportBasis what load reports count
   * @param meanVmCores cores that a VM requests on average
   */
  public record CapacitySettings(
      double acceptedCoresFactor,
      double acceptedMemoryFactor,
      boolean listsFreeCapacity,
      LoadReportBasis reportBasis,
      double meanVmCores) {

    /** Whether load reports count requested instead of used resources. */
    public boolean reportsCountRequests() {
      return reportBasis == LoadReportBasis.REQUESTED;
    }
  }

  /**
   * How the machine list is received.
   *
   * @param pollInterval time within which a list has to be received to count as current; after a
   *     failed watch, four times as long
   */
  public record Discovery(DiscoveryMode mode, Duration pollInterval) {
    /** Whether the list has to be watched. */
    public boolean isWatched() {
      return mode == DiscoveryMode.WATCH;
    }
  }

  /**
   * Attempts and final responses.
   *
   * @param maxAttempts highest number of attempts sent for a VM
   * @param sendsRetryAfter whether a rejection may contain a retry-after
   */
  public record Attempts(int maxAttempts, boolean sendsRetryAfter, AcceptanceMode acceptance) {
    /** Whether an accepted VM already runs. */
    public boolean isRunningWhenAccepted() {
      return acceptance == AcceptanceMode.RUNNING;
    }
  }

  /**
   * Slow start of recently started machines.
   *
   * @param warmUpTime how long a machine warms up
   * @param overloadSpan span over which attempts are counted
   * @param initialShare share of {@code attemptsPerSpan} allowed at first
   * @param attemptsPerSpan attempts of all schedulers that a machine withstands per span
   */
  public record SlowStartSettings(
      Duration warmUpTime, Duration overloadSpan, double initialShare, double attemptsPerSpan) {}

  /** Load reports, probes, and gossip between schedulers. */
  public record Monitoring(
      LoadReportMode loadReports, boolean probesAllowed, boolean gossipAllowed) {
    /** Whether probes may be sent and return load reports. */
    public boolean probesReportLoad() {
      return probesAllowed && loadReports != LoadReportMode.OFF;
    }
  }

  /**
   * Prices of the resources that a placement uses; 0 if it costs nothing.
   *
   * @param machineInUse a machine in use
   * @param otherZone a placement in another zone
   * @param gossipMessage 256 bytes of gossip at one receiver
   */
  public record Prices(double machineInUse, double otherZone, double gossipMessage) {}
}
