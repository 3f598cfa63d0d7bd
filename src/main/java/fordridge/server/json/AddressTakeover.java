package fordridge.server.json;

import fordridge.model.PlacementAttempt;
import fordridge.model.Vm;
import fordridge.runtime.SchedulerInputs;
import java.time.Duration;
import java.util.List;

/**
 * Hands VMs over from one machine id to another: those that a new process has accepted at the
 * address of an earlier machine, before the machine list told of it. Confined to the event loop.
 */
final class AddressTakeover {
  private final MachineHandle previous;
  private final MachineHandle successor;

  /** A takeover that is still to be carried out. */
  AddressTakeover(MachineHandle previous, MachineHandle successor) {
    this.previous = previous;
    this.successor = successor;
  }

  /** Places no VM near the successor until it is known which VMs it runs. */
  void start(SchedulerInputs<String> inputs) {
    if (previous.pool().processEnd().isWaiting()) {
      inputs.scheduler.inventoryAwaited(successor.machine());
    }
  }

  /** Carries the takeover out if the successor's process has answered; returns whether it ended. */
  boolean advance(
      SchedulerInputs<String> inputs,
      ActiveRequests requests,
      MachineRegistry machines,
      Duration now) {
    boolean isConfirmed = previous.pool().processEnd().isSuccessorConfirmed();
    if (!isConfirmed && previous.pool().processEnd().isWaiting()) {
      return false;
    }
    if (isConfirmed) {
      run(inputs, requests, machines, now);
    }
    inputs.scheduler.inventoryReceived(successor.machine());
    return true;
  }

  /**
   * Hands the VMs over; the scheduler has to know the successor's place in the cluster. VMs whose
   * class the successor may not run are terminated there, and their clients notified.
   */
  private void run(
      SchedulerInputs<String> inputs,
      ActiveRequests requests,
      MachineRegistry machines,
      Duration now) {
    previous.setSuccessor(successor);
    for (PlacementAttempt attempt : previous.pool().processEnd().successorVms()) {
      if (attempt.isInFlight() && requests.find(attempt.vm.id) == attempt.vm) {
        handOver(attempt.vm, inputs, requests, machines, now);
      }
    }
    List<String> orphans = previous.pool().processEnd().successorTookOver(now);
    successor.pool().processEnd().addOrphans(orphans, now);
  }

  private void handOver(
      Vm vm,
      SchedulerInputs<String> inputs,
      ActiveRequests requests,
      MachineRegistry machines,
      Duration now) {
    Vm adopted = vm.copyOfRequest();
    requests.supersede(vm, previous, machines);
    requests.addRunning(adopted);
    inputs.scheduler.vmAdopted(adopted, successor.machine());
    successor.pool().adopt(adopted.acceptedAttempt, now);
    if (!inputs.scheduler.isKindAllowed(adopted, successor.machine())) {
      successor.pool().terminate(adopted.acceptedAttempt, now);
    }
  }
}
