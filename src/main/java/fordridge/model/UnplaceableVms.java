package fordridge.model;

import java.util.ArrayList;
import java.util.List;

/** VMs for which no machine has capacity; they stand for all that request no less. */
public final class UnplaceableVms {
  private final List<Vm> vms = new ArrayList<>();

  /** Adds one. */
  public void add(Vm vm) {
    vms.add(vm);
  }

  /** Forgets all, as capacity may have grown. */
  public void clear() {
    vms.clear();
  }

  /** Whether it holds a VM of the same priority class that requests no more. */
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
