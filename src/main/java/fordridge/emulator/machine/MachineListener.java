package fordridge.emulator.machine;

/** Receives the reports of a machine, synchronously within calls to {@link MachineModel}. */
public interface MachineListener {
  /** An offer was accepted; the VM will start. */
  void accepted(HostedVm vm);

  /** An offer was refused. */
  void refused(HostedVm vm, RefusalReason reason);

  /** A VM started, or is reported as running again after a repeated offer. */
  void started(HostedVm vm);

  /** A VM ended, or its offer failed or was cancelled before it ran. */
  void finished(HostedVm vm, VmEnd end, boolean hasRun);

  /** A VM's demand for cores and memory was sampled. */
  void usage(HostedVm vm, double cores, double memory);

  /** A VM gets less than full service; the share is what it gets. */
  void degraded(HostedVm vm, double share);

  /** The machine is short of memory; the share is the used part of its memory. */
  void memoryPressure(HostedVm vm, double share);

  /** A probe was examined; the machine's load is to be reported to the scheduler. */
  void loadReport(String scheduler, long probeNumber);

  /** The machine crashed from too many offers while it was warming up. */
  void overloaded();
}
