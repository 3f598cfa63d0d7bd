package fordridge.model;

import java.util.List;
import java.util.function.ToDoubleFunction;

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

  /**
   * Use per requested core and per requested memory on these machines; what was learned of our own
   * VMs where nothing is requested there.
   */
  public double usedPerRequestedCore;

  public double usedPerRequestedMemory;

  /** Cores requested on all machines. */
  public double requestedCores;

  /** Mean severity of faults. */
  public double meanFaultSeverity;

  /** Takes the means anew; {@code reporting} are those of the live machines with a fresh report. */
  public void refresh(
      List<Machine> live,
      List<Machine> reporting,
      ToDoubleFunction<Machine> usedCores,
      ToDoubleFunction<Machine> usedMemory) {
    reportingShare = reporting.size() / Math.max(1.0, live.size());
    requestedCores = MachineLists.mean(live, Machine::requestedCores) * live.size();
    meanUsedCores = MachineLists.mean(reporting, m -> usedCores.applyAsDouble(m) / m.cores);
    meanUsedMemory = MachineLists.mean(reporting, m -> usedMemory.applyAsDouble(m) / m.memory);
    double cores = MachineLists.mean(reporting, m -> 1 - m.freeCores / m.cores);
    double memory = MachineLists.mean(reporting, m -> 1 - m.freeMemory / m.memory);
    usedPerRequestedCore = cores > 0 ? meanUsedCores / cores : usedCoresRatio.value();
    usedPerRequestedMemory = memory > 0 ? meanUsedMemory / memory : usedMemoryRatio.value();
  }
}
