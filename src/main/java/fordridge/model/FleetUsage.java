package fordridge.model;

import java.util.List;
import java.util.function.ToDoubleFunction;

/** Means over the live machines, and the learned use of requested resources. */
public final class FleetUsage {
  /** Mean used cores of this scheduler's VMs, as a share of the requested cores. */
  public RunningMean usedCoresRatio;

  /** The same for memory. */
  public RunningMean usedMemoryRatio;

  /** Share of the machines that have a fresh load report. */
  public double reportingShare;

  /** Mean share of cores in use on machines with a fresh report; NaN before the first refresh. */
  public double meanUsedCores = Double.NaN;

  /** The same for memory. */
  public double meanUsedMemory = Double.NaN;

  /**
   * Used cores per requested core on machines with a fresh report, or {@link #usedCoresRatio} if
   * nothing is requested there.
   */
  public double usedPerRequestedCore;

  /** The same for memory. */
  public double usedPerRequestedMemory;

  /** Cores requested on all live machines. */
  public double requestedCores;

  /** Mean fault severity of the live machines. */
  public double meanFaultSeverity;

  /**
   * Recomputes the means.
   *
   * @param reporting the live machines that have a fresh report
   */
  public void refresh(
      List<Machine> live,
      List<Machine> reporting,
      ToDoubleFunction<Machine> usedCores,
      ToDoubleFunction<Machine> usedMemory) {
    reportingShare = reporting.size() / Math.max(1.0, live.size());
    requestedCores = MachineLists.mean(live, Machine::requestedCores) * live.size();
    meanUsedCores = MachineLists.mean(reporting, m -> usedCores.applyAsDouble(m) / m.cores);
    meanUsedMemory = MachineLists.mean(reporting, m -> usedMemory.applyAsDouble(m) / m.memory);
    double meanRequestedCores = MachineLists.mean(reporting, m -> 1 - m.freeCores / m.cores);
    double meanRequestedMemory = MachineLists.mean(reporting, m -> 1 - m.freeMemory / m.memory);
    usedPerRequestedCore =
        meanRequestedCores > 0 ? meanUsedCores / meanRequestedCores : usedCoresRatio.value();
    usedPerRequestedMemory =
        meanRequestedMemory > 0 ? meanUsedMemory / meanRequestedMemory : usedMemoryRatio.value();
  }
}
