package fordridge.machine;

import fordridge.model.Machine;
import fordridge.model.PlacementAttempt;
import fordridge.model.PlacementAttempt.Outcome;
import fordridge.model.PlacementAttempt.OutcomeReason;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * What is known about the execution of each VM on one machine. The machine's messages name a VM by
 * its id and may arrive on any connection; each advances the state of the VM, which never goes
 * back. A VM that is known to run is not automatically placed again; its client receives exactly
 * one notification, that its request failed or that the VM ended.
 *
 * <pre>
 * state    accepted  reported  end of running VM  rejected, reset    connection fails   times out
 * SENT     RUNNING   KNOWN     ended, unanswered  may be retried     may be retried     withdrawn
 * KNOWN    RUNNING   -         ended, unanswered  ended, unanswered  ended, unanswered  -
 * RUNNING  -         -         ended              -                  -                  -
 * unknown  released  -         kept for adoption  -                  -                  -
 * </pre>
 *
 * <p>SENT is a request that a {@link MachineConnection} carries. KNOWN is such a request whose VM
 * the machine has reported to run. RUNNING VMs are in {@link RunningVms}. A termination notice
 * counts as the end of a running VM if {@link VmTermination#provesExecution} holds or if it arrives
 * on another connection than the request's.
 *
 * <p>An attempt that ends without a message of the machine becomes one of the {@link
 * UnsettledAttempts}. Not thread-safe.
 */
final class VmExecutions {
  private final Machine machine;
  private final ConnectionSet connections;
  private final MachineConnectionListener listener;
  private final RunningVms runningVms;
  private final UnsettledAttempts unsettled;

  /**
   * Creates the state of a machine without VMs.
   *
   * @param connections the connections to the machine, which the caller adds and removes
   * @param retained the counts that all machines share
   */
  VmExecutions(
      Machine machine,
      ConnectionSet connections,
      RetainedEntries retained,
      MachineConnectionListener listener) {
    runningVms = new RunningVms(retained);
    unsettled = new UnsettledAttempts(retained.unsettledAttempts);
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

  // Messages from the machine; the result is the connection on which the ended request was sent

  /** The machine accepted a VM; one without a pending request that isn't running is released. */
  Optional<MachineConnection> accepted(
      MachineConnection receivedOn, String vmId, String description, Duration now) {
    Optional<MachineConnection> sentOn = connections.findRequestConnection(vmId, receivedOn);
    if (sentOn.isPresent()) {
      unsettled.settle(vmId);
      PlacementAttempt attempt = sentOn.get().remove(vmId).orElseThrow().attempt();
      runningVms.add(attempt, sentOn.get());
      listener.attemptAccepted(attempt, description);
    } else if (runningVms.find(vmId).isEmpty()) {
      unsettled.add(vmId, UnsettledReason.ACCEPTED_UNASKED, now);
      listener.unknownVmAccepted(vmId, machine);
    }
    return sentOn;
  }

  /** The machine sent a report on a VM, which it does only for a running VM. */
  void reported(MachineConnection receivedOn, String vmId) {
    connections
        .findRequestConnection(vmId, receivedOn)
        .flatMap(sentOn -> sentOn.find(vmId))
        .ifPresent(PlacementRequest::markReportedRunning);
  }

  /** The machine ended a placement request or a VM. */
  Optional<MachineConnection> terminated(
      MachineConnection receivedOn, VmTermination termination, Duration now) {
    String vmId = termination.vmId();
    if (receivedOn.findSent(vmId).isPresent()) {
      endRequest(receivedOn, termination, termination.provesExecution());
      return Optional.of(receivedOn);
    }
    boolean isRunning = runningVms.find(vmId).isPresent();
    if (!isRunning && settleByTermination(termination)) {
      return Optional.empty();
    }
    if (termination.outcomeIfRunning().isEmpty()) {
      return Optional.empty();
    }
    Optional<MachineConnection> sentOn =
        isRunning ? Optional.empty() : connections.findRequestConnection(vmId, receivedOn);
    // On another connection than the request's, a machine sends messages about running VMs only.
    sentOn.ifPresentOrElse(
        found -> endRequest(found, termination, true), () -> endRunning(termination, now));
    return sentOn;
  }

  /**
   * Settles the attempt of a VM that was given up and that the machine has now ended. Returns
   * whether the notice needs no further action: the VM did not run to completion, and a release was
   * written, so that the release may have ended it.
   */
  private boolean settleByTermination(VmTermination termination) {
    Optional<Boolean> wasReleased = unsettled.settle(termination.vmId());
    boolean ranToCompletion =
        termination.outcomeIfRunning().filter(outcome -> outcome == Outcome.DONE).isPresent();
    boolean needsNoFurtherAction = wasReleased.isPresent() && wasReleased.get() && !ranToCompletion;
    if (needsNoFurtherAction) {
      listener.releaseSettled(termination.vmId(), machine);
    }
    return needsNoFurtherAction;
  }

  /** The machine acknowledged a termination request, and so has stopped the VM. */
  void terminationAcknowledged(String vmId) {
    if (unsettled.settle(vmId).isPresent()) {
      listener.releaseSettled(vmId, machine);
    }
    if (runningVms.isTerminating(vmId)) {
      runningVms.remove(vmId).ifPresent(attempt -> end(attempt, Outcome.CANCELLED));
    }
  }

  private void endRequest(
      MachineConnection sentOn, VmTermination termination, boolean provesExecution) {
    PlacementRequest request = sentOn.remove(termination.vmId()).orElseThrow();
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
            () -> listener.unknownVmTerminated(termination, machine));
  }

  // Requests from clients

  /** Adopts a VM that runs on the machine according to a client. */
  void adopt(PlacementAttempt attempt, Duration now) {
    unsettled.settle(attempt.vm.id);
    runningVms.adopt(attempt, now).ifPresent(termination -> endRunning(termination, now));
  }

  /**
   * A client hands over a VM, which replaces any attempt of that VM here: one that is running,
   * being terminated or unanswered ends as cancelled, and nothing is sent to the machine.
   */
  void supersede(String vmId) {
    Optional<MachineConnection> sentOn = connections.findRequestConnection(vmId);
    Optional<PlacementAttempt> superseded =
        sentOn.isPresent()
            ? sentOn.get().remove(vmId).map(PlacementRequest::attempt)
            : runningVms.remove(vmId);
    superseded.ifPresent(attempt -> end(attempt, Outcome.CANCELLED));
  }

  // Events without a message from the machine

  /** Withdraws the requests that were not sent yet on the connection. */
  void withdrawUnsent(MachineConnection connection) {
    for (PlacementRequest request : connection.unsentRequests()) {
      withdraw(connection, request);
    }
  }

  /** Withdraws a request that was not sent yet. */
  void withdraw(MachineConnection connection, PlacementRequest request) {
    connection.remove(request.attempt().vm.id);
    end(request.attempt(), ExecutionEvidence.WITHDRAWN_BEFORE_SEND.outcomeOnFailure());
  }

  /** Ends the requests that the connection carries: they will not be answered. */
  void requestsLost(MachineConnection connection, Duration now) {
    unsettled.connectionClosed(connection);
    for (PlacementRequest request : connection.takePlacementRequests()) {
      if (request.evidence().mayStillRun()) {
        unsettled.add(request.attempt().vm.id, UnsettledReason.CONNECTION_LOST, now);
      }
      if (request.isKnownToRun()) {
        endLostUnanswered(request.attempt());
      } else {
        endWithoutReport(request.attempt(), request.evidence());
      }
    }
  }

  private void endLostUnanswered(PlacementAttempt attempt) {
    attempt.mayStillRun = true;
    listener.attemptEndedUnanswered(
        attempt, ExecutionEvidence.RUNNING.outcomeOnFailure(), OutcomeReason.UNSPECIFIED);
  }

  /** The VM is considered lost, though the machine sent no notice of its end. */
  void vmLost(String vmId) {
    runningVms
        .remove(vmId)
        .ifPresent(attempt -> endWithoutReport(attempt, ExecutionEvidence.RUNNING));
  }

  /** The VMs that the process has accepted or written about to which the connections lead now. */
  List<PlacementAttempt> vmsOfCurrentProcess(ProcessIncarnations incarnations) {
    List<PlacementAttempt> found = new ArrayList<>();
    for (PlacementAttempt attempt : runningVms.all()) {
      if (runningVms.setUpConnection(attempt.vm.id).filter(incarnations::isCurrent).isPresent()) {
        found.add(attempt);
      }
    }
    return found;
  }

  /** The process that listened earlier has ended: all VMs but those given are lost. */
  void vmsLostExcept(List<PlacementAttempt> kept) {
    for (PlacementAttempt attempt : runningVms.all()) {
      if (!kept.contains(attempt)) {
        vmLost(attempt.vm.id);
      }
    }
  }

  /** The machine has failed; its VMs are lost or, if it is unreachable, may still run. */
  void allVmsLost(MachineFailure failure, Duration now) {
    for (PlacementAttempt attempt : runningVms.all()) {
      unsettled.add(attempt.vm.id, UnsettledReason.UNREACHABLE, now);
      vmLost(attempt.vm.id);
    }
    if (failure != MachineFailure.UNREACHABLE) {
      unsettled.settleAll();
    }
  }

  /** The machine restarted at that time: VMs that it accepted earlier are lost. */
  void vmsLostBefore(Duration startedAt) {
    for (PlacementAttempt attempt : runningVms.all()) {
      if (attempt.acceptedAt != null && attempt.acceptedAt.compareTo(startedAt) < 0) {
        vmLost(attempt.vm.id);
      }
    }
  }

  /**
   * Ends the attempts whose termination the machine has not confirmed in time, as it may not have
   * received the request, and drops the expired notices of unknown VMs.
   */
  void endUnconfirmedTerminations(Duration now) {
    runningVms.expireUnclaimedTerminations(now);
    List<PlacementAttempt> unconfirmed = runningVms.takeUnconfirmed(now);
    for (PlacementAttempt attempt : unconfirmed) {
      attempt.mayStillRun = true;
      unsettled.add(attempt.vm.id, UnsettledReason.TERMINATION_UNCONFIRMED, now);
      end(attempt, Outcome.CANCELLED);
    }
  }

  // Release of orphaned VMs

  /** Returns the ids of the VMs whose release is pending, except those with an owner here. */
  List<String> releasable() {
    return unsettled.pending(
        vmId ->
            runningVms.find(vmId).isEmpty() && connections.findRequestConnection(vmId).isEmpty());
  }

  /**
   * The machine answered a health check on the connection, and so has read everything that was
   * written to it before the check.
   */
  void healthCheckAnswered(MachineConnection connection) {
    for (String vmId :
        unsettled.settleAnswered(connection, connection.answeredHealthCheckCount())) {
      listener.releaseSettled(vmId, machine);
    }
  }

  /** Ends a failed attempt whose result the machine has not reported. */
  private void endWithoutReport(PlacementAttempt attempt, ExecutionEvidence evidence) {
    attempt.mayStillRun = evidence.mayStillRun();
    end(attempt, evidence.outcomeOnFailure());
  }

  /** Ends an attempt for a reason that the machine did not give. */
  void end(PlacementAttempt attempt, Outcome outcome) {
    listener.attemptEnded(attempt, outcome, OutcomeReason.UNSPECIFIED);
  }
}
