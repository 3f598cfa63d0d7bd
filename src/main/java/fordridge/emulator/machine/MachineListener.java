package fordridge.emulator.machine;

/** Hears what the machine has to report; called within the calls of {@link MachineModel}. */
public interface MachineListener {
  /** An offer is accepted; the VM will start. */
  void accepted(HostedVm vm);

  /** An offer is refused. */
  void refused(HostedVm vm, RefusalReason reason);

  /** A VM runs. */
  void started(HostedVm vm);

  /** A VM ended, or was given up before it ran. */
  void finished(HostedVm vm, VmEnd end, boolean hasRun);

  /** A VM would use so many cores and so much memory. */
  void usage(HostedVm vm, double cores, double memory);

  /** A VM gets this share of the service it needs. */
  void degraded(HostedVm vm, double share);

  /** This share of the machine's memory is used. */
  void memoryPressure(HostedVm vm, double share);

  /** A probe was examined. */
  void loadReport(String scheduler, long probeNumber);

  /** The machine went down under too many offers while it was warming up. */
  void overloaded();
}
