package fordridge.server.grpc;

import fordridge.machine.MachineStream;
import fordridge.machine.MachineStreamSettings;
import fordridge.machine.ReconciliationPacer;
import fordridge.model.Machine;
import fordridge.model.PlacementAttempt;
import fordridge.settings.ConnectionSettings;
import fordridge.settings.DeploymentSettings;
import fordridge.v1.Offer;
import java.time.Duration;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * All machines that an instance knows, its streams to them, and the reconciliation with the VMs
 * that an earlier incarnation of the instance left running on them. Confined to the event loop.
 */
final class MachineRegistry {
  private final InstanceContext context;
  private final MachineStreamSettings streamSettings;

  /** Written on the event loop only; gauges read it from other threads. */
  private final Map<Machine, MachineHandle> handles = new ConcurrentHashMap<>();

  /** Machines whose reconciliation was scheduled, which is done once for each machine. */
  private final Set<Machine> reconciliationScheduled = new HashSet<>();

  private final ReconciliationPacer<Machine> reconciliation = new ReconciliationPacer<>();

  MachineRegistry(InstanceContext context) {
    this.context = context;
    streamSettings = streamSettings(context.settings());
  }

  private static MachineStreamSettings streamSettings(DeploymentSettings settings) {
    ConnectionSettings connections = settings.connections();
    return new MachineStreamSettings(
        connections.connectTimeout(),
        connections.idleTimeout(),
        connections.minReconnectDelay(),
        connections.maxReconnectDelay(),
        connections.unknownOutcomeTimeout(),
        connections.connectTimeout(),
        connections.maxQueuedOffers(),
        settings.cluster().confirmsOnAcceptance());
  }

  MachineStreamSettings streamSettings() {
    return streamSettings;
  }

  /** Returns the machine with that name, and adds it if it is not known yet. */
  MachineHandle findOrAdd(String name) {
    Machine machine = context.scheduler.inputs().machine(name);
    return handles.computeIfAbsent(machine, added -> new MachineHandle(context, name, added));
  }

  MachineHandle get(Machine machine) {
    return handles.get(machine);
  }

  String nameOf(Machine machine) {
    return handles.get(machine).name();
  }

  Collection<MachineHandle> all() {
    return List.copyOf(handles.values());
  }

  /** The number of streams that are currently established. */
  int establishedStreams() {
    int established = 0;
    for (MachineHandle handle : handles.values()) {
      established += handle.stream().state() == MachineStream.State.ESTABLISHED ? 1 : 0;
    }
    return established;
  }

  /** Whether every machine of the first machine list has sent its inventory or is gone. */
  boolean isReconciled() {
    return reconciliation.isComplete();
  }

  /**
   * Starts the reconciliation with the machines of the first machine list, which an earlier
   * incarnation may have used; later calls are ignored.
   */
  void startReconciliation(Set<Machine> listed) {
    if (reconciliation.start(listed)) {
      listed.forEach(machine -> context.scheduler.inputs().scheduler.inventoryAwaited(machine));
    }
  }

  /**
   * Schedules the reconciliation with a machine, once for each machine, at a time by which the
   * machines are spread over the detection timeout.
   */
  void scheduleReconciliation(MachineHandle handle) {
    Machine machine = handle.machine();
    if (!reconciliationScheduled.add(machine)) {
      return;
    }
    long spreadMillis = context.settings().cluster().detectionTimeout().toMillis();
    context.loop.schedule(
        Duration.ofMillis(Math.floorMod(machine.id ^ context.seed, spreadMillis)),
        () -> {
          reconciliation.schedule(machine);
          reconcileNext();
        });
  }

  /** The machine is gone: its reconciliation is complete. */
  void machineGone(Machine machine) {
    reconciliation.reconciled(machine);
    context.scheduler.inputs().scheduler.inventoryReceived(machine);
  }

  /** The machine sent its inventory: its reconciliation is complete, and the next one starts. */
  void inventoryReceived(MachineHandle handle) {
    reconciliation.reconciled(handle.machine());
    context.scheduler.inputs().scheduler.inventoryReceived(handle.machine());
    reconcileNext();
  }

  /** The machine's stream broke or could not be opened: the next machine is reconciled. */
  void connectionFailed(MachineHandle handle) {
    reconciliation.connectionFailed(handle.machine());
    reconcileNext();
  }

  private void reconcileNext() {
    for (Optional<Machine> next = reconciliation.next();
        next.isPresent();
        next = reconciliation.next()) {
      MachineHandle handle = handles.get(next.get());
      handle.stream().reconcile(context.loop.now());
      handle.scheduleTick();
    }
  }

  /** Adds the VM's priority and client to an offer. */
  void completeOffer(PlacementAttempt attempt, Offer.Builder offer) {
    offer.setPriority(
        context.settings().priorityClasses().get(attempt.vm.priorityClass).priority());
    offer.setClient(context.clients.clientOf(attempt.vm).orElse(""));
  }

  void closeAll() {
    for (MachineHandle handle : handles.values()) {
      handle.transport().close("the scheduler was closed");
    }
  }
}
