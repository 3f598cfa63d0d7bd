package fordridge.server.json;

import fordridge.json.RequestPayload;
import fordridge.model.PlacementAttempt;
import fordridge.model.PlacementAttempt.Outcome;
import fordridge.model.Vm;
import fordridge.runtime.SchedulerInputs;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The pending requests and running VMs, with the payload that is forwarded to machines for each
 * pending request. Confined to the event loop.
 */
final class ActiveRequests {
  private final SchedulerEventLoop loop;
  private final SchedulerInputs<String> inputs;
  private final RequestLog requestLog;

  /** By VM id, until a machine has accepted the VM. */
  private final Map<String, RequestPayload> payloads = new HashMap<>();

  ActiveRequests(SchedulerEventLoop loop, SchedulerInputs<String> inputs, RequestLog requestLog) {
    this.requestLog = requestLog;
    this.loop = loop;
    this.inputs = inputs;
  }

  /** The log of the requests' state transitions. */
  RequestLog log() {
    return requestLog;
  }

  /** Adds a request that was admitted. */
  void add(Vm vm, RequestPayload payload) {
    payloads.put(vm.id, payload);
    inputs.addVm(vm);
  }

  /** Adds a VM that runs already. */
  void addRunning(Vm vm) {
    inputs.addVm(vm);
  }

  /** The VM of this id, or null if it is not active. */
  Vm find(String vmId) {
    return inputs.findVm(vmId);
  }

  /** The part of the request that is forwarded to a machine; null once the VM was accepted. */
  RequestPayload payloadOf(Vm vm) {
    return payloads.get(vm.id);
  }

  /** Drops the payload of a VM that a machine has accepted: its request is not forwarded again. */
  void requestAccepted(Vm vm) {
    payloads.remove(vm.id);
  }

  /** Cancels the attempts of a VM that no client waits for any more. */
  void abandon(Vm vm, MachineRegistry machines) {
    inputs.scheduler.requestAbandoned(vm);
    for (PlacementAttempt attempt : List.copyOf(vm.attempts)) {
      if (attempt.isInFlight()) {
        machines.poolOf(attempt).cancel(attempt, Outcome.CANCELLED, loop.now());
      }
    }
    removeIfFinished(vm);
  }

  /**
   * Replaces a VM that a client now hands over as running and that has attempts left from an
   * earlier request. The attempt on the machine that runs the VM is superseded by the handover; the
   * others are cancelled.
   */
  void supersede(Vm vm, MachineHandle machine, MachineRegistry machines) {
    inputs.scheduler.requestAbandoned(vm);
    machine.pool().supersede(vm.id);
    abandon(vm, machines);
  }

  /** Removes the VM after the current input, unless it still has attempts in flight. */
  void removeIfFinished(Vm vm) {
    loop.enqueue(
        () -> {
          if (inputs.removeIfFinished(vm) || inputs.findVm(vm.id) == null) {
            payloads.remove(vm.id);
          }
        });
  }

  /** The number of VMs and payloads that are retained. */
  int retainedCount() {
    return inputs.vmCount() + payloads.size();
  }
}
