package fordridge.model;

/** Means over the machines that are live, and what was learned of the use of requests. */
public final class FleetUsage {
  /** Used cores and memory of this scheduler's VMs, as a share of what they request. */
  public RunningMean usedCoresRatio;

  public RunningMean usedMemoryRatio;

  /** Share of the machines that have a fresh load report. */
  public double reportingShare;

  /** Mean share of cores and memory in use on machines with a fresh report; NaN before. */
  public double meanUsedCores = Double.NaN;

  public double meanUsedMemory = Double.NaN;

  /** Use per requested core and per requested memory on these machines. */
  public double usedPerRequestedCore;

  public double usedPerRequestedMemory;

  /** Cores requested on all machines. */
  public double requestedCores;

  /** Mean severity of faults. */
  public double meanFaultSeverity;
}
