package fordridge.server.json;

import fordridge.eventloop.EventLoopTimers.Timer;
import fordridge.json.RequestPayload;
import fordridge.model.PlacementAttempt;
import fordridge.model.PlacementAttempt.Outcome;
import fordridge.model.SharedLimit;
import fordridge.model.Vm;
import fordridge.runtime.SchedulerInputs;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The pending requests and running VMs, with the payload and the response deadline of each pending
 * request. Confined to the event loop.
 */
final class ActiveRequests {
  /** What a request retains only while it is pending; the timer fails it at its deadline. */
  private static final class PendingRequest {
    final Vm vm;
    final RequestPayload payload;
    final Timer responseDeadline;

    /** Whether the scheduler does not know of the request yet. */
    boolean isHeld;

    PendingRequest(Vm vm, RequestPayload payload, Timer responseDeadline) {
      this.vm = vm;
      this.payload = payload;
      this.responseDeadline = responseDeadline;
    }
  }

  private final SchedulerEventLoop loop;
  private final SchedulerInputs<String> inputs;
  private final int maxVms;
  private final SharedLimit handoverLimit;
  private final AttemptTimers attemptTimers;
  private final RequestLog requestLog;

  /** By VM id, until a machine has accepted the VM. */
  private final Map<String, PendingRequest> pendingRequests = new HashMap<>();

  ActiveRequests(
      SchedulerEventLoop loop,
      SchedulerInputs<String> inputs,
      HeapBudget heap,
      AttemptTimers attemptTimers,
      RequestLog requestLog) {
    maxVms = heap.maxVms();
    handoverLimit = heap.handoverLimit();
    this.attemptTimers = attemptTimers;
    this.requestLog = requestLog;
    this.loop = loop;
    this.inputs = inputs;
  }

  /** The timers of the attempts. */
  AttemptTimers attemptTimers() {
    return attemptTimers;
  }

  /** The log of the requests' state transitions. */
  RequestLog log() {
    return requestLog;
  }

  /** Adds a request that was admitted, with the timer that fails it at its deadline. */
  void add(Vm vm, RequestPayload payload, Timer responseDeadline) {
    PendingRequest previous =
        pendingRequests.put(vm.id, new PendingRequest(vm, payload, responseDeadline));
    if (previous != null) {
      previous.responseDeadline.cancel();
    }
    inputs.addVm(vm);
  }

  /** Keeps a request that was added from the scheduler until {@link #takeHeld}. */
  void hold(Vm vm) {
    pendingRequests.get(vm.id).isHeld = true;
  }

  /** The VM of this id if its request is held, which it no longer is after the call. */
  Optional<Vm> takeHeld(String vmId) {
    PendingRequest request = pendingRequests.get(vmId);
    if (request == null || !request.isHeld) {
      return Optional.empty();
    }
    request.isHeld = false;
    return Optional.of(request.vm);
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
    PendingRequest request = pendingRequests.get(vm.id);
    return request == null ? null : request.payload;
  }

  /** A machine has accepted the VM: its request is not forwarded again and has its response. */
  void requestAccepted(Vm vm) {
    dropPendingRequest(vm);
  }

  private void dropPendingRequest(Vm vm) {
    PendingRequest request = pendingRequests.get(vm.id);
    if (request != null && request.vm == vm) {
      pendingRequests.remove(vm.id);
      request.responseDeadline.cancel();
    }
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
          inputs.removeIfFinished(vm);
          if (inputs.findVm(vm.id) != vm) {
            dropPendingRequest(vm);
          }
        });
  }

  /** Whether no further VM may be known: as many are pending, running or being terminated. */
  boolean isFull() {
    return inputs.vmCount() >= maxVms;
  }

  /**
   * Whether a client may hand over one more VM.
   *
   * @param vmsOfConnection the VMs of the client's connection, without that one
   */
  boolean admitsHandover(int vmsOfConnection) {
    return handoverLimit.admits(inputs.vmCount() + 1L, vmsOfConnection + 1L);
  }

  /** The number of VMs and pending requests that are retained. */
  int retainedCount() {
    return inputs.vmCount() + pendingRequests.size();
  }
}
