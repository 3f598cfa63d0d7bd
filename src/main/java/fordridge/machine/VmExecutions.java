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
 * unknown   released  -         kept for an owner   -                -                 -
 * </pre>
 *
 * <p>An attempt that ends without the machine's word goes on in {@link UnsettledAttempts}.
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
  private final UnsettledAttempts unsettled = new UnsettledAttempts();

  /** Nothing runs; {@code connections} are those to the machine, which the caller changes. */
  VmExecutions(Machine machine, ConnectionSet connections, MachineConnectionListener listener) {
    this.machine = machine;
    this.connections = connections;
    this.listener = listener;
  }

  RunningVms runningVms() {
    return runningVms;
  }

  UnsettledAttempts unsettled() {
    return unsettled;
  }

  // Words of the machine; the result is the connection of the request that ended by it

  /** The machine accepted a VM. */
  Optional<MachineConnection> accepted(
      MachineConnection heardOn, String vmId, String description, Duration now) {
    Optional<MachineConnection> carrier = connections.findCarrier(vmId, heardOn);
    if (carrier.isPresent()) {
      unsettled.settle(vmId);
      PlacementAttempt attempt = carrier.get().remove(vmId).orElseThrow().attempt();
      runningVms.add(attempt);
      listener.attemptAccepted(attempt, description);
    } else if (runningVms.find(vmId).isEmpty()) {
      unsettled.add(vmId, UnsettledReason.ACCEPTED_UNASKED, now);
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
    boolean isRunning = runningVms.find(vmId).isPresent();
    if (!isRunning && settledByWord(termination)) {
      return Optional.empty();
    }
    if (termination.outcomeIfRunning().isEmpty()) {
      return Optional.empty();
    }
    Optional<MachineConnection> carrier =
        isRunning ? Optional.empty() : connections.findCarrier(vmId, heardOn);
    // On another connection than the request's a machine speaks of VMs that run, and of no others.
    carrier.ifPresentOrElse(
        found -> endRequest(found, termination, true), () -> endRunning(termination, now));
    return carrier;
  }

  /**
   * Whether the machine has ended a VM that was given up, and nothing more follows from it: the end
   * is that of a request, or may be this scheduler's own doing, as the VM was to be released.
   */
  private boolean settledByWord(VmTermination termination) {
    Optional<Boolean> wasReleased = unsettled.settle(termination.vmId());
    boolean endedByItself =
        termination.outcomeIfRunning().filter(outcome -> outcome == Outcome.DONE).isPresent();
    boolean isNoEndOfItsOwn = wasReleased.isPresent() && wasReleased.get() && !endedByItself;
    if (isNoEndOfItsOwn) {
      listener.releaseSettled(termination.vmId(), machine);
    }
    return isNoEndOfItsOwn;
  }

  /** The machine heard that a VM is to be terminated, and so has cut it. */
  void terminationAcknowledged(String vmId) {
    if (unsettled.settle(vmId).isPresent()) {
      listener.releaseSettled(vmId, machine);
    }
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
    unsettled.settle(attempt.vm.id);
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
  void requestsLost(MachineConnection connection, Duration now) {
    unsettled.connectionEnded(connection);
    for (PlacementRequest request : connection.takePlacementRequests()) {
      if (request.evidence().mayStillRun()) {
        unsettled.add(request.attempt().vm.id, UnsettledReason.CONNECTION_LOST, now);
      }
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

  /** The machine has failed, with all that ran there or so that it can't be told. */
  void allVmsLost(MachineFailure failure, Duration now) {
    for (PlacementAttempt attempt : runningVms.all()) {
      unsettled.add(attempt.vm.id, UnsettledReason.UNREACHABLE, now);
      vmLost(attempt.vm.id);
    }
    if (failure != MachineFailure.UNREACHABLE) {
      unsettled.settleAll();
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
      unsettled.add(attempt.vm.id, UnsettledReason.TERMINATION_UNCONFIRMED, now);
      end(attempt, Outcome.CANCELLED);
    }
  }

  // Release of what was given up

  /** The ids of the VMs whose release is to be written: not those that somebody owns here. */
  List<String> releasable() {
    return unsettled.pending(
        vmId -> runningVms.find(vmId).isEmpty() && connections.findCarrier(vmId).isEmpty());
  }

  /** The machine has read what was written to the connection before that health check. */
  void readByMachine(MachineConnection connection) {
    for (String vmId : unsettled.settleRead(connection, connection.answeredHealthCheckCount())) {
      listener.releaseSettled(vmId, machine);
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
