package fordridge.server.grpc;

import fordridge.machine.MachineStream;
import fordridge.machine.MachineStreamSettings;
import fordridge.machine.ReconnectPacer;
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
 * All machines that an instance has heard of, its streams to them, and the reconciliation with what
 * an earlier incarnation of the instance left running on them. Confined to the event loop.
 */
final class MachineRegistry {
  private final InstanceContext context;
  private final MachineStreamSettings streamSettings;

  /** Written on the event loop only; gauges read it from other threads. */
  private final Map<Machine, MachineHandle> handles = new ConcurrentHashMap<>();

  /** Machines whose reconciliation is scheduled or done: each is asked once for its inventory. */
  private final Set<Machine> reconciliationScheduled = new HashSet<>();

  private final ReconnectPacer<Machine> reconciliation = new ReconnectPacer<>();

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

  /** The machine of that name; it is added if it is new. */
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

  /** Streams that are established now. */
  int establishedStreams() {
    int established = 0;
    for (MachineHandle handle : handles.values()) {
      established += handle.stream().state() == MachineStream.State.ESTABLISHED ? 1 : 0;
    }
    return established;
  }

  /** Whether every machine of the first list has sent its inventory, or is gone. */
  boolean isReconciled() {
    return reconciliation.isComplete();
  }

  /** The first list names the machines that an earlier incarnation may have used. */
  void startReconciliation(Set<Machine> listed) {
    if (reconciliation.start(listed)) {
      listed.forEach(machine -> context.scheduler.inputs().scheduler.inventoryAwaited(machine));
    }
  }

  /** Asks a machine once for its inventory, at a time spread over the settling time. */
  void scheduleReconciliation(MachineHandle handle) {
    Machine machine = handle.machine();
    if (!reconciliationScheduled.add(machine)) {
      return;
    }
    long spreadMillis = context.settings().cluster().unknownOutcomeRetryAfter().toMillis();
    context.loop.schedule(
        Duration.ofMillis(Math.floorMod(machine.id ^ context.seed, spreadMillis)),
        () -> {
          reconciliation.schedule(machine);
          reconcileNext();
        });
  }

  /** The machine is gone: there is nothing to reconcile with. */
  void machineGone(Machine machine) {
    reconciliation.reconciled(machine);
    context.scheduler.inputs().scheduler.inventoryReceived(machine);
  }

  /** The machine sent its inventory. */
  void reconciled(MachineHandle handle) {
    reconciliation.reconciled(handle.machine());
    context.scheduler.inputs().scheduler.inventoryReceived(handle.machine());
    reconcileNext();
  }

  /** The machine's stream broke or did not come up: others get their turn. */
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

  /** Adds to an offer what the machine needs to know of the VM's priority and client. */
  void describeVm(PlacementAttempt attempt, Offer.Builder offer) {
    offer.setPriority(
        context.settings().priorityClasses().get(attempt.vm.priorityClass).priority());
    offer.setClient(context.clients.clientOf(attempt.vm).orElse(""));
  }

  void closeAll() {
    for (MachineHandle handle : handles.values()) {
      handle.transport().close("the placer ends");
    }
  }
}
