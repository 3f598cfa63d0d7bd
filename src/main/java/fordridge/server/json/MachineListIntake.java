package fordridge.server.json;

import fordridge.json.MachineListEvent;
import fordridge.json.MachineListWatcher;
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
import java.util.Optional;
import java.util.Set;

/**
 * Submits changes of the machine list as inputs: applies them to the connections to the machines
 * first, then to the scheduler. Confined to the event loop.
 */
final class MachineListIntake implements MachineListWatcher.Listener {
  private final SchedulerEventLoop loop;
  private final SchedulerInputs<String> inputs;
  private final MachineRegistry machines;
  private final ActiveRequests requests;
  private final MachineStartTimes startTimes;

  /** The machine that the list last named at each address; bounded by the number of addresses. */
  private final Map<InetSocketAddress, MachineHandle> handlesByAddress = new HashMap<>();

  private final VmLog log;

  /** The address that each machine has lost to another one last. */
  private final Map<MachineHandle, InetSocketAddress> lostAddresses = new HashMap<>();

  /** The takeovers of addresses that are not completed; each machine has at most one. */
  private final List<AddressTakeover> pendingTakeovers = new ArrayList<>();

  /** Whether events come from the watch rather than from the configuration. */
  private boolean isWatching;

  /**
   * The longest time after the announcement of a machine's drain at which a placement request may
   * have been written to it. An upper bound, as the time of the announcement is not known.
   */
  private Duration maxOfferDelayAfterDrain = Duration.ZERO;

  MachineListIntake(
      SchedulerEventLoop loop,
      SchedulerInputs<String> inputs,
      MachineRegistry machines,
      ActiveRequests requests,
      long startedAtEpochMillis,
      VmLog log) {
    this.loop = loop;
    this.log = log;
    this.inputs = inputs;
    this.machines = machines;
    this.requests = requests;
    startTimes = new MachineStartTimes(startedAtEpochMillis);
  }

  /** Called once the list of the configuration is read: from now on changes come from the watch. */
  void markWatching() {
    isWatching = true;
  }

  @Override
  public void machineListChanged(MachineListEvent event) {
    if (isWatching) {
      log.machineListChanged(event);
    }
    List<ListedMachine<String>> listed = new ArrayList<>(event.machines().size());
    for (MachineListEvent.MachineEntry entry : event.machines()) {
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
    loop.submitMachineListChange(
        () -> {
          List<AddressTakeover> takeovers = updateConnections(event, listed);
          inputs.machineListReceived(event.isComplete(), false, listed);
          takeovers.forEach(each -> each.start(inputs));
          pendingTakeovers.addAll(takeovers);
        });
  }

  /** Completes the takeovers of addresses that are confirmed; to be called periodically. */
  void advanceTakeovers() {
    pendingTakeovers.removeIf(each -> each.advance(inputs, requests, machines, loop.now()));
  }

  /** The machine's start time by the scheduler's clock; null if it is not known. */
  private Duration startedAt(MachineListEvent.MachineEntry entry) {
    if (entry.lifecycle() == Machine.Lifecycle.GONE) {
      startTimes.machineRemoved(entry.id());
      return null;
    }
    return entry.startedAtEpochMillis() == 0
        ? null
        : startTimes.startedAt(entry.id(), entry.startedAtEpochMillis(), isWatching, loop.clock());
  }

  private List<AddressTakeover> updateConnections(
      MachineListEvent event, List<ListedMachine<String>> listed) {
    List<AddressTakeover> takeovers = new ArrayList<>();
    Set<String> listedIds = new HashSet<>();
    for (int i = 0; i < listed.size(); i++) {
      ListedMachine<String> entry = listed.get(i);
      listedIds.add(entry.key());
      MachineHandle handle = machines.findOrAdd(entry.key());
      // Before the end of the machine that had the address: its VMs may be the new machine's.
      if (event.machines().get(i).address() != null) {
        setAddress(handle, event.machines().get(i)).ifPresent(takeovers::add);
      }
    }
    for (ListedMachine<String> entry : listed) {
      updateConnections(machines.findOrAdd(entry.key()), entry);
    }
    if (event.isComplete()) {
      for (MachineHandle handle : machines.all()) {
        if (!listedIds.contains(handle.id())) {
          handle.pool().machineListed(Machine.Lifecycle.GONE, loop.now());
        }
      }
    }
    return takeovers;
  }

  /**
   * Assigns an address to a machine. An address has one machine: the one that had it before is
   * gone, even if the list has not reported that yet. Returns its takeover, if there is one.
   */
  private Optional<AddressTakeover> setAddress(
      MachineHandle handle, MachineListEvent.MachineEntry entry) {
    if (entry.lifecycle() == Machine.Lifecycle.GONE) {
      return Optional.empty();
    }
    Optional<AddressTakeover> takeover = Optional.empty();
    if (hasLostAddressTo(handlesByAddress.get(entry.address()), handle, entry.address())) {
      return Optional.empty();
    }
    MachineHandle previous = handlesByAddress.put(entry.address(), handle);
    if (previous != null
        && previous != handle
        && entry.address().equals(previous.client().address())) {
      previous.client().setAddress(null);
      lostAddresses.put(previous, entry.address());
      takeover = Optional.of(new AddressTakeover(previous, handle));
      previous.pool().addressReassigned(loop.now());
    }
    handle.client().setAddress(entry.address());
    return takeover;
  }

  /** Whether the machine had the address before its present holder, which is not gone. */
  private boolean hasLostAddressTo(
      MachineHandle holder, MachineHandle handle, InetSocketAddress address) {
    return holder != null
        && holder != handle
        && address.equals(lostAddresses.get(handle))
        && holder.machine().lifecycle != Machine.Lifecycle.GONE;
  }

  private void updateConnections(MachineHandle handle, ListedMachine<String> entry) {
    Machine machine = handle.machine();
    if (entry.lifecycle() != Machine.Lifecycle.LIVE
        && machine.lifecycle == Machine.Lifecycle.LIVE) {
      recordOfferDelayAfterDrain(handle);
    }
    boolean isRestarted = entry.startedAt() != null && !entry.startedAt().equals(machine.startedAt);
    handle.pool().machineListed(entry.lifecycle(), loop.now());
    if (isRestarted) {
      handle.pool().machineRestarted(entry.startedAt());
    }
  }

  /** Measures from the last read of the list, as the drain was announced at some time after it. */
  private void recordOfferDelayAfterDrain(MachineHandle handle) {
    if (handle.lastOfferAt().isPresent()) {
      Duration after = handle.lastOfferAt().get().minus(loop.machineListReadAt());
      maxOfferDelayAfterDrain = Durations.max(maxOfferDelayAfterDrain, after);
    }
  }

  Duration maxOfferDelayAfterDrain() {
    return maxOfferDelayAfterDrain;
  }
}
