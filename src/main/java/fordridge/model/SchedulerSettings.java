package fordridge.model;

import java.time.Duration;
import java.util.List;

/**
 * Everything that a deployment tells the scheduler, typed and complete.
 *
 * @param schedulerCount schedulers that share the cluster, this one among them
 * @param position this scheduler's number among them, from 0
 * @param zone the zone that this scheduler is in
 * @param machineKinds the kinds of machine with their sizes
 * @param priorityClasses at least one
 * @param tenants names of the tenants; one empty name where there are none
 * @param detectionTimeout after this long a fault, or a change at a machine, counts as known
 */
public record SchedulerSettings(
    double schedulerCount,
    long position,
    String zone,
    List<MachineKind> machineKinds,
    List<PriorityClass> priorityClasses,
    List<String> tenants,
    Duration detectionTimeout,
    Capacity capacity,
    Discovery discovery,
    Attempts attempts,
    SlowStart slowStart,
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

  /** Whether some priority class cannot do without that kind of machine. */
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

  /** What an accepted attempt proves. */
  public enum AcceptanceMode {
    /** A machine accepts a VM when it runs. */
    RUNNING,
    /** A machine accepts a VM when it is admitted; that it runs is reported later. */
    ADMITTED
  }

  /** What load reports count. */
  public enum LoadReportBasis {
    USED,
    REQUESTED
  }

  /** How load reports come. */
  public enum LoadReportMode {
    OFF,
    WITH_RESPONSES,
    WITH_PROBES
  }

  /** How the machine list comes. */
  public enum DiscoveryMode {
    /** It is sent unasked. */
    PUSH,
    /** It must be watched. */
    WATCH
  }

  /**
   * What machines accept and report.
   *
   * @param acceptedCoresFactor requested cores that a machine accepts, as a multiple of its size
   * @param acceptedMemoryFactor the same of memory
   * @param listsFreeCapacity whether the machine list has the free capacity of each machine
   * @param reportBasis what load reports count
   * @param meanVmCores cores that a VM requests on average
   */
  public record Capacity(
      double acceptedCoresFactor,
      double acceptedMemoryFactor,
      boolean listsFreeCapacity,
      LoadReportBasis reportBasis,
      double meanVmCores) {

    /** Whether load reports count what is requested, not what is used. */
    public boolean reportsCountRequests() {
      return reportBasis == LoadReportBasis.REQUESTED;
    }
  }

  /**
   * The machine list.
   *
   * @param pollInterval a list must be fetched within this span to count as current
   */
  public record Discovery(DiscoveryMode mode, Duration pollInterval) {
    /** Whether the list must be watched. */
    public boolean isWatched() {
      return mode == DiscoveryMode.WATCH;
    }
  }

  /**
   * Attempts and final responses.
   *
   * @param maxAttempts attempts that a VM may get
   * @param sendsRetryAfter whether a rejection may say when to request again
   */
  public record Attempts(int maxAttempts, boolean sendsRetryAfter, AcceptanceMode acceptance) {
    /** Whether a VM runs when its machine accepts it. */
    public boolean acceptedIsRunning() {
      return acceptance == AcceptanceMode.RUNNING;
    }
  }

  /**
   * Slow start of machines that came up recently.
   *
   * @param warmUpTime how long a machine warms up
   * @param overloadSpan the span over which attempts are counted
   * @param initialShare the share of {@code attemptsPerSpan} that it bears at first
   * @param attemptsPerSpan attempts of all schedulers that a warm machine bears in a span
   */
  public record SlowStart(
      Duration warmUpTime, Duration overloadSpan, double initialShare, double attemptsPerSpan) {}

  /** Load reports, probes, and gossip between schedulers. */
  public record Monitoring(
      LoadReportMode loadReports, boolean probesAllowed, boolean gossipAllowed) {
    /** Whether a probe may be sent and brings a load report. */
    public boolean probesReportLoad() {
      return probesAllowed && loadReports != LoadReportMode.OFF;
    }
  }

  /**
   * Prices of what a placement causes; 0 where it costs nothing.
   *
   * @param machineInUse a machine in use
   * @param otherZone a placement in another zone
   * @param gossipMessage 256 bytes of gossip at one receiver
   */
  public record Prices(double machineInUse, double otherZone, double gossipMessage) {}
}
