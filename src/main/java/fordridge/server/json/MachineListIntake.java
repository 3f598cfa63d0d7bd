package fordridge.server.json;

import fordridge.json.EndpointWatcher;
import fordridge.json.MachineListEvent;
import fordridge.model.Durations;
import fordridge.model.Machine;
import fordridge.runtime.MachineStartTimes;
import fordridge.runtime.SchedulerInputs;
import fordridge.runtime.SchedulerInputs.ListedMachine;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Enters changes of the machine list: first the connections to the machines learn of them, then the
 * scheduler. Confined to the event loop.
 */
final class MachineListIntake implements EndpointWatcher.Listener {
  private final SchedulerEventLoop loop;
  private final SchedulerInputs<String> inputs;
  private final MachineRegistry machines;

  private final MachineStartTimes startTimes;

  /** Whom the list named last at each address; as many as there are addresses. */
  private final Map<InetSocketAddress, MachineHandle> handlesByAddress = new HashMap<>();

  private final VmLog log;

  /** Whether what comes is told by the watch, not by the configuration. */
  private boolean isWatching;

  /**
   * The longest that a placement request may have been written after its machine's drain was
   * announced, as far as can be told from here.
   */
  private Duration latestOfferAfterDrain = Duration.ZERO;

  MachineListIntake(
      SchedulerEventLoop loop,
      SchedulerInputs<String> inputs,
      MachineRegistry machines,
      long startedAtEpochMillis,
      VmLog log) {
    this.loop = loop;
    this.log = log;
    this.inputs = inputs;
    this.machines = machines;
    startTimes = new MachineStartTimes(startedAtEpochMillis);
  }

  /** The list of the configuration is read: from now on changes are told by the watch. */
  void markWatching() {
    isWatching = true;
  }

  @Override
  public void machineListChanged(MachineListEvent event) {
    if (isWatching) {
      log.machineListChanged(event);
    }
    List<ListedMachine<String>> listed = new ArrayList<>(event.machines().size());
    for (MachineListEvent.Entry entry : event.machines()) {
      listed.add(
          new ListedMachine<>(
              entry.id(),
              entry.zone(),
              entry.kind(),
              entry.cell(),
              entry.freeCores(),
              entry.freeMemory(),
              entry.lifecycle(),
              startedAt(entry)));
    }
    loop.enterFromMachineList(
        () -> {
          updateConnections(event, listed);
          inputs.list(event.isComplete(), false, listed);
        });
  }

  /** By the scheduler's clock; null if it is not known. */
  private Duration startedAt(MachineListEvent.Entry entry) {
    if (entry.lifecycle() == Machine.Lifecycle.GONE) {
      startTimes.forget(entry.id());
      return null;
    }
    return entry.startedAtEpochMillis() == 0
        ? null
        : startTimes.startedAt(entry.id(), entry.startedAtEpochMillis(), isWatching, loop.clock());
  }

  private void updateConnections(MachineListEvent event, List<ListedMachine<String>> listed) {
    Set<String> listedIds = new HashSet<>();
    for (int i = 0; i < listed.size(); i++) {
      ListedMachine<String> entry = listed.get(i);
      listedIds.add(entry.key());
      MachineHandle handle = machines.findOrAdd(entry.key());
      if (event.machines().get(i).address() != null) {
        setAddress(handle, event.machines().get(i));
      }
      updateConnections(handle, entry);
    }
    if (event.isComplete()) {
      for (MachineHandle handle : machines.all()) {
        if (!listedIds.contains(handle.id())) {
          handle.pool().machineListed(Machine.Lifecycle.GONE, loop.now());
        }
      }
    }
  }

  /** An address has one machine: whoever had it before is gone, whenever the list says so. */
  private void setAddress(MachineHandle handle, MachineListEvent.Entry entry) {
    if (entry.lifecycle() == Machine.Lifecycle.GONE) {
      return;
    }
    MachineHandle former = handlesByAddress.put(entry.address(), handle);
    if (former != null && former != handle && entry.address().equals(former.client().address())) {
      former.client().setAddress(null);
      former.pool().addressTaken(loop.now());
    }
    handle.client().setAddress(entry.address());
  }

  private void updateConnections(MachineHandle handle, ListedMachine<String> entry) {
    Machine machine = handle.machine();
    if (entry.lifecycle() != Machine.Lifecycle.LIVE
        && machine.lifecycle == Machine.Lifecycle.LIVE) {
      recordLatestOffer(handle);
    }
    boolean isRestarted = entry.startedAt() != null && !entry.startedAt().equals(machine.startedAt);
    handle.pool().machineListed(entry.lifecycle(), loop.now());
    if (isRestarted) {
      handle.pool().machineRestarted(entry.startedAt());
    }
  }

  /** The drain was announced at some time after the list was last read. */
  private void recordLatestOffer(MachineHandle handle) {
    if (handle.lastOfferAt().isPresent()) {
      Duration after = handle.lastOfferAt().get().minus(loop.machineListReadAt());
      latestOfferAfterDrain = Durations.max(latestOfferAfterDrain, after);
    }
  }

  Duration latestOfferAfterDrain() {
    return latestOfferAfterDrain;
  }
}
