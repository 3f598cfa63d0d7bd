package fordridge.model;

import java.util.ArrayList;
import java.util.List;

/**
 * VMs for which no machine has capacity; each stands for all VMs of its priority class that request
 * no less.
 */
public final class UnplaceableVms {
  private final List<Vm> vms = new ArrayList<>();

  /** Adds a VM for which no machine has capacity. */
  public void add(Vm vm) {
    vms.add(vm);
  }

  /** Removes all VMs, as capacity may have grown. */
  public void clear() {
    vms.clear();
  }

  /** Whether a VM of the same priority class that requests no more is unplaceable. */
  public boolean covers(Vm vm) {
    for (Vm other : vms) {
      if (other.priorityClass.equals(vm.priorityClass)
          && other.cores <= vm.cores
          && other.memory <= vm.memory) {
        return true;
      }
    }
    return false;
  }
}
