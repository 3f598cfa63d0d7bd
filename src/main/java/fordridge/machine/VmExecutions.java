package fordridge.machine;

import fordridge.model.Machine;
import fordridge.model.PlacementAttempt;
import fordridge.model.PlacementAttempt.Outcome;
import fordridge.model.PlacementAttempt.OutcomeReason;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

/**
 * What is known of the execution of each VM on one machine. The machine speaks of a VM by its id,
 * on whichever connection: its word is applied to the life that the VM has there, which only goes
 * forward. Where a VM is known to run it is not placed again by itself, and its client is owed one
 * word: that its request failed, or that the VM is over.
 *
 * <pre>
 * state     accepted  reported  end that a VM has   rejected, reset  connection fails  times out
 * SENT      RUNNING   KNOWN     over, unanswered    may be repeated  may be repeated   withdrawn
 * KNOWN     RUNNING   -         over, unanswered    over, unanswered over, unanswered  -
 * RUNNING   -         -         over                -                -                 -
 * unknown   -         -         kept for an owner   -                -                 -
 * </pre>
 *
 * <p>SENT and KNOWN are requests that a {@link MachineConnection} carries, RUNNING is in {@link
 * RunningVms}. An end that a VM has is one that {@link VmTermination#provesExecution}, or that
 * comes on another connection than the request's. Not thread-safe.
 */
final class VmExecutions {
  private final Machine machine;
  private final ConnectionSet connections;
  private final MachineConnectionListener listener;
  private final RunningVms runningVms = new RunningVms();

  /** Nothing runs; {@code connections} are those to the machine, which the caller changes. */
  VmExecutions(Machine machine, ConnectionSet connections, MachineConnectionListener listener) {
    this.machine = machine;
    this.connections = connections;
    this.listener = listener;
  }

  RunningVms runningVms() {
    return runningVms;
  }

  // Words of the machine; the result is the connection of the request that ended by it

  /** The machine accepted a VM. */
  Optional<MachineConnection> accepted(MachineConnection heardOn, String vmId, String description) {
    Optional<MachineConnection> carrier = connections.findCarrier(vmId, heardOn);
    if (carrier.isPresent()) {
      PlacementAttempt attempt = carrier.get().remove(vmId).orElseThrow().attempt();
      runningVms.add(attempt);
      listener.attemptAccepted(attempt, description);
    } else if (runningVms.find(vmId).isEmpty()) {
      listener.unknownVmAccepted(vmId, machine);
    }
    return carrier;
  }

  /** The machine reported on a VM, as it does only for one that runs. */
  void reported(MachineConnection heardOn, String vmId) {
    connections
        .findCarrier(vmId, heardOn)
        .flatMap(carrier -> carrier.find(vmId))
        .ifPresent(PlacementRequest::markReportedRunning);
  }

  /** The machine ended a placement request or a VM. */
  Optional<MachineConnection> terminated(
      MachineConnection heardOn, VmTermination termination, Duration now) {
    String vmId = termination.vmId();
    if (heardOn.findSent(vmId).isPresent()) {
      endRequest(heardOn, termination, termination.provesExecution());
      return Optional.of(heardOn);
    }
    if (termination.outcomeIfRunning().isEmpty()) {
      return Optional.empty();
    }
    Optional<MachineConnection> carrier =
        runningVms.find(vmId).isPresent()
            ? Optional.empty()
            : connections.findCarrier(vmId, heardOn);
    // On another connection than the request's a machine speaks of VMs that run, and of no others.
    carrier.ifPresentOrElse(
        found -> endRequest(found, termination, true), () -> endRunning(termination, now));
    return carrier;
  }

  /** The machine heard that a VM is to be terminated, and so has cut it. */
  void terminationAcknowledged(String vmId) {
    if (runningVms.isTerminating(vmId)) {
      runningVms.remove(vmId).ifPresent(attempt -> end(attempt, Outcome.CANCELLED));
    }
  }

  private void endRequest(
      MachineConnection carrier, VmTermination termination, boolean provesExecution) {
    PlacementRequest request = carrier.remove(termination.vmId()).orElseThrow();
    Optional<Outcome> outcomeIfRunning = termination.outcomeIfRunning();
    if (outcomeIfRunning.isPresent() && (provesExecution || request.isKnownToRun())) {
      listener.attemptEndedUnanswered(
          request.attempt(), outcomeIfRunning.get(), termination.reason());
    } else {
      listener.attemptEnded(
          request.attempt(), termination.outcomeIfPending(), termination.reason());
    }
  }

  private void endRunning(VmTermination termination, Duration now) {
    Outcome outcome = termination.outcomeIfRunning().orElseThrow();
    runningVms
        .terminated(termination, now)
        .ifPresentOrElse(
            attempt -> listener.attemptEnded(attempt, outcome, termination.reason()),
            () -> listener.unknownVmEnded(termination, machine));
  }

  // Words of clients

  /** Takes over a VM that a client says runs on the machine. */
  void adopt(PlacementAttempt attempt, Duration now) {
    runningVms.adopt(attempt, now).ifPresent(termination -> endRunning(termination, now));
  }

  /**
   * A client that hands a VM over takes the place of whoever had it here before: an attempt that is
   * running, being terminated or unanswered ends as cancelled, and the machine is not told.
   */
  void supersede(String vmId) {
    Optional<MachineConnection> carrier = connections.findCarrier(vmId);
    Optional<PlacementAttempt> superseded =
        carrier.isPresent()
            ? carrier.get().remove(vmId).map(PlacementRequest::attempt)
            : runningVms.remove(vmId);
    superseded.ifPresent(attempt -> end(attempt, Outcome.CANCELLED));
  }

  // Conclusions without a word of the machine

  /** The requests that the connection carries will get no answer. */
  void requestsLost(MachineConnection connection) {
    for (PlacementRequest request : connection.takePlacementRequests()) {
      if (request.isKnownToRun()) {
        lostUnanswered(request.attempt());
      } else {
        endWithoutWord(request.attempt(), request.evidence());
      }
    }
  }

  private void lostUnanswered(PlacementAttempt attempt) {
    attempt.mayStillRun = true;
    listener.attemptEndedUnanswered(
        attempt, ExecutionEvidence.RUNNING.outcomeOnFailure(), OutcomeReason.UNSPECIFIED);
  }

  /** The VM is known to run no longer, by other means than the machine's own notice. */
  void vmLost(String vmId) {
    runningVms
        .remove(vmId)
        .ifPresent(attempt -> endWithoutWord(attempt, ExecutionEvidence.RUNNING));
  }

  /** The process of the machine is gone, with all that ran there. */
  void allVmsLost() {
    for (PlacementAttempt attempt : runningVms.all()) {
      vmLost(attempt.vm.id);
    }
  }

  /** The machine started anew at that time: VMs that were accepted before are lost. */
  void vmsLostBefore(Duration startedAt) {
    for (PlacementAttempt attempt : runningVms.all()) {
      if (attempt.acceptedAt != null && attempt.acceptedAt.compareTo(startedAt) < 0) {
        vmLost(attempt.vm.id);
      }
    }
  }

  /** Ends the VMs whose termination the machine has not confirmed, and may not have heard of. */
  void endUnconfirmed(Duration now) {
    List<PlacementAttempt> unconfirmed = runningVms.takeUnconfirmed(now);
    for (PlacementAttempt attempt : unconfirmed) {
      attempt.mayStillRun = true;
      end(attempt, Outcome.CANCELLED);
    }
  }

  /** It failed, and the machine has not said what became of it. */
  private void endWithoutWord(PlacementAttempt attempt, ExecutionEvidence evidence) {
    attempt.mayStillRun = evidence.mayStillRun();
    end(attempt, evidence.outcomeOnFailure());
  }

  /** Ends an attempt for a reason of this scheduler. */
  void end(PlacementAttempt attempt, Outcome outcome) {
    listener.attemptEnded(attempt, outcome, OutcomeReason.UNSPECIFIED);
  }
}
