package fordridge.emulator.machine;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/** Chooses the VMs to preempt for a VM of higher priority. */
final class Preemption {
  /** The largest rounding error of a sum of requests; a shortage up to it is ignored. */
  static final double ROUNDING_TOLERANCE = 1e-9;

  private Preemption() {}

  /**
   * The VMs to stop so that the missing cores and memory become free: those of the lowest priority
   * first, among equal priorities the latest started first. Empty if stopping all VMs of lower
   * priority would not free enough.
   */
  static Optional<List<HostedVm>> victims(
      List<HostedVm> running, int priority, double missingCores, double missingMemory) {
    List<HostedVm> candidates = new ArrayList<>(running);
    candidates.removeIf(vm -> vm.offer().priority() >= priority);
    candidates.sort(
        Comparator.<HostedVm>comparingInt(vm -> vm.offer().priority())
            .thenComparing(HostedVm::runningSince, Comparator.reverseOrder()));
    List<HostedVm> victims = new ArrayList<>();
    double cores = missingCores;
    double memory = missingMemory;
    for (HostedVm candidate : candidates) {
      if (isEnough(cores, memory)) {
        break;
      }
      cores -= candidate.requestedCores();
      memory -= candidate.requestedMemory();
      victims.add(candidate);
    }
    return isEnough(cores, memory) ? Optional.of(victims) : Optional.empty();
  }

  private static boolean isEnough(double missingCores, double missingMemory) {
    return missingCores <= ROUNDING_TOLERANCE && missingMemory <= ROUNDING_TOLERANCE;
  }
}
