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
 * The requests and VMs that are not over: what is forwarded of each to machines, and how one is
 * given up and forgotten. Confined to the event loop.
 */
final class ActiveRequests {
  private final SchedulerEventLoop loop;
  private final SchedulerInputs<String> inputs;
  private final RequestLog requestLog;

  /** By VM, until a machine has accepted it. */
  private final Map<String, RequestPayload> payloads = new HashMap<>();

  ActiveRequests(SchedulerEventLoop loop, SchedulerInputs<String> inputs, RequestLog requestLog) {
    this.requestLog = requestLog;
    this.loop = loop;
    this.inputs = inputs;
  }

  /** Where the state transitions of requests are logged. */
  RequestLog log() {
    return requestLog;
  }

  /** Adds a request that was admitted. */
  void add(Vm vm, RequestPayload payload) {
    payloads.put(vm.id, payload);
    inputs.add(vm);
  }

  /** Adds a VM that runs already. */
  void addRunning(Vm vm) {
    inputs.add(vm);
  }

  /** The VM of this id, or null if it is not active. */
  Vm find(String vmId) {
    return inputs.vm(vmId);
  }

  /** What is forwarded to a machine of the request. */
  RequestPayload payloadOf(Vm vm) {
    return payloads.get(vm.id);
  }

  /** A machine has accepted the VM: its request is not forwarded again. */
  void accepted(Vm vm) {
    payloads.remove(vm.id);
  }

  /** Nobody waits for the VM any more: its attempts are cancelled. */
  void abandon(Vm vm, MachineRegistry machines) {
    inputs.scheduler.clientLeft(vm);
    for (PlacementAttempt attempt : List.copyOf(vm.attempts)) {
      if (attempt.isInFlight()) {
        machines.poolOf(attempt).cancel(attempt, Outcome.CANCELLED, loop.now());
      }
    }
    forgetIfOver(vm);
  }

  /**
   * A client hands the VM over by which it was requested or ended before: its attempt on that
   * machine gives way to the handover, others are cancelled.
   */
  void supersede(Vm vm, MachineHandle runningAt, MachineRegistry machines) {
    inputs.scheduler.clientLeft(vm);
    runningAt.pool().supersede(vm.id);
    abandon(vm, machines);
  }

  /** Forgets the VM, behind what is being entered, unless it still has attempts in flight. */
  void forgetIfOver(Vm vm) {
    loop.enterBehind(
        () -> {
          if (inputs.forget(vm) || inputs.vm(vm.id) == null) {
            payloads.remove(vm.id);
          }
        });
  }

  /** The number of VMs and payloads that are kept. */
  int size() {
    return inputs.size() + payloads.size();
  }
}
