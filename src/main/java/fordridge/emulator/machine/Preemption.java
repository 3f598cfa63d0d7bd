package fordridge.emulator.machine;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/** Chooses the VMs that give way to one of higher priority. */
final class Preemption {
  /** Sums of requests may be off by rounding of this size. */
  static final double ROUNDING = 1e-9;

  private Preemption() {}

  /**
   * The VMs to stop so that so many cores and so much memory become free: lower priorities first,
   * the latest started first among equals. Empty if all of lower priority would not be enough.
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
    return missingCores <= ROUNDING && missingMemory <= ROUNDING;
  }
}
