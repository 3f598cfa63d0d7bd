package fordridge.server.grpc;

import fordridge.discovery.MachineListSource;
import fordridge.model.Machine;
import fordridge.model.Machine.Lifecycle;
import fordridge.runtime.SchedulerInputs.ListedMachine;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Applies updates of the machine list to an instance. Confined to the event loop. */
final class MachineListIntake {
  private final InstanceContext context;
  private final Instant schedulerStartedAt = Instant.now();
  private boolean isStale = true;

  MachineListIntake(InstanceContext context) {
    this.context = context;
  }

  /** Whether the latest list may be older than its source allows, or none was received yet. */
  boolean isStale() {
    return isStale;
  }

  void listReceived(MachineListSource.Update list) {
    List<ListedMachine<String>> listed = new ArrayList<>(list.entries().size());
    Map<Machine, Lifecycle> lifecycles = new HashMap<>();
    for (MachineListSource.Entry entry : list.entries()) {
      MachineHandle handle = context.machines.findOrAdd(entry.name());
      lifecycles.put(handle.machine(), entry.lifecycle());
      handle.transport().setAddress(entry.address());
      listed.add(listedMachine(entry));
    }
    updateStreams(list, lifecycles);
    context.machines.startReconciliation(lifecycles.keySet());
    lifecycles.forEach(
        (machine, lifecycle) -> {
          if (lifecycle == Lifecycle.GONE) {
            context.machines.machineGone(machine);
          }
        });
    context.constraints.machineListReceived(list);
    context.scheduler.machineListReceived(list.isSnapshot(), list.isStale(), listed);
    isStale = list.isStale();
    if (isStale && !context.settings().cluster().isListPushed()) {
      context.scheduler.inputs().scheduler.machineListFailed();
    }
  }

  private ListedMachine<String> listedMachine(MachineListSource.Entry entry) {
    Duration machineStartedAt =
        entry.startedAt() == null ? null : Duration.between(schedulerStartedAt, entry.startedAt());
    return new ListedMachine<>(
        entry.name(),
        entry.zone(),
        entry.kind(),
        entry.cell(),
        entry.freeCores(),
        entry.freeMemory(),
        entry.lifecycle(),
        machineStartedAt);
  }

  private void updateStreams(MachineListSource.Update list, Map<Machine, Lifecycle> lifecycles) {
    for (MachineHandle handle : machinesConcerned(list, lifecycles)) {
      Lifecycle lifecycle = lifecycles.getOrDefault(handle.machine(), Lifecycle.GONE);
      handle.stream().machineListed(lifecycle == Lifecycle.GONE, context.loop.now());
      if (lifecycle != Lifecycle.LIVE) {
        handle.stream().machineDraining();
      }
      if (lifecycle == Lifecycle.GONE) {
        context.machines.machineGone(handle.machine());
      } else {
        context.machines.scheduleReconciliation(handle);
      }
      handle.scheduleTick();
    }
  }

  /** The machines that an update concerns; a snapshot concerns all, as those it omits are gone. */
  private Collection<MachineHandle> machinesConcerned(
      MachineListSource.Update list, Map<Machine, Lifecycle> lifecycles) {
    return list.isSnapshot()
        ? context.machines.all()
        : lifecycles.keySet().stream().map(context.machines::get).toList();
  }
}
