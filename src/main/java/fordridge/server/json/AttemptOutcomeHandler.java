package fordridge.server.json;

import fordridge.machine.MachineConnectionListener;
import fordridge.machine.MachineFailure;
import fordridge.machine.VmTermination;
import fordridge.model.Machine;
import fordridge.model.PlacementAttempt;
import fordridge.model.PlacementAttempt.Outcome;
import fordridge.model.PlacementAttempt.OutcomeReason;
import fordridge.model.Vm;
import fordridge.runtime.SchedulerInputs;
import fordridge.scheduling.NotSentReason;
import fordridge.session.PendingResponses;
import java.time.Duration;
import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;

/**
 * Reports the outcomes of attempts, as seen on the connections to machines, to the scheduler, and
 * sends clients the resulting responses and notices. Called while an input runs; what it changes is
 * queued to run after that input. Confined to the event loop.
 */
final class AttemptOutcomeHandler implements MachineConnectionListener {
  private final SchedulerEventLoop loop;
  private final SchedulerInputs<String> inputs;
  private final PendingResponses<?> pendingResponses;
  private final ClientResponder clients;
  private final ActiveRequests requests;
  private final RequestLog requestLog;
  private final AttemptTimers attemptTimers;
  private MachineRegistry machines;
  private final Map<Outcome, Long> outcomeCounts = new EnumMap<>(Outcome.class);
  private long passedProbes;
  private long failedProbes;

  AttemptOutcomeHandler(
      SchedulerEventLoop loop,
      SchedulerInputs<String> inputs,
      PendingResponses<?> pendingResponses,
      ClientResponder clients,
      ActiveRequests requests,
      RequestLog requestLog,
      AttemptTimers attemptTimers) {
    this.loop = loop;
    this.inputs = inputs;
    this.pendingResponses = pendingResponses;
    this.clients = clients;
    this.requests = requests;
    this.requestLog = requestLog;
    this.attemptTimers = attemptTimers;
  }

  /** Sets the machines; to be called once, before the first outcome. */
  void attach(MachineRegistry machines) {
    this.machines = machines;
  }

  @Override
  public boolean confirmSend(PlacementAttempt attempt) {
    Optional<NotSentReason> notSentReason =
        clients.isInputDelayed(attempt.vm)
            ? Optional.of(NotSentReason.CLIENT_INPUT_UNREAD)
            : inputs.scheduler.confirmSend(attempt);
    if (notSentReason.isPresent()) {
      requestLog.offerWithdrawn(attempt, machineIdOf(attempt), notSentReason.get(), loop.clock());
    }
    return notSentReason.isEmpty();
  }

  @Override
  public void attemptAccepted(PlacementAttempt attempt, String description) {
    loop.enqueue(
        () -> {
          attemptTimers.cancel(attempt);
          if (!attempt.isInFlight() || attempt.vm.isFinished) {
            // No client waits for the VM, and it must not run on without an owner.
            requestLog.vmLog().acceptedTooLate(attempt, machineIdOf(attempt));
            machines.poolOf(attempt).terminate(attempt, loop.now());
            return;
          }
          requestLog.vmLog().accepted(attempt, machineIdOf(attempt), loop.clock());
          inputs.scheduler.attemptAccepted(attempt);
          requests.requestAccepted(attempt.vm);
          clients.sendAccepted(attempt.vm, description);
        });
  }

  @Override
  public void attemptEnded(PlacementAttempt attempt, Outcome outcome, OutcomeReason reason) {
    loop.enqueue(
        () -> {
          attemptTimers.cancel(attempt);
          if (!attempt.isInFlight()) {
            return;
          }
          Vm vm = attempt.vm;
          boolean wasAccepted = attempt.acceptedAt != null;
          countOutcome(outcome);
          if (!wasAccepted) {
            logAttemptEnded(attempt, outcome, reason);
          }
          inputs.scheduler.attemptEnded(attempt, outcome, reason, wasAccepted || vm.isFinished);
          if (wasAccepted && requests.find(vm.id) == vm) {
            // No notice is sent to a client that has ended its VM itself.
            String noticeStatus = clients.notifyTerminated(vm, outcome, loop.now());
            logVmTerminated(attempt, outcome, reason, noticeStatus);
          } else if (wasAccepted) {
            logVmTerminated(attempt, outcome, reason, "not needed, its id belongs to another VM");
          }
          requests.removeIfFinished(vm);
        });
  }

  @Override
  public void unknownVmTerminated(VmTermination termination, Machine machine) {
    requestLog.vmLog().unknownVmTerminated(termination, machines.handleOf(machine).id());
    loop.enqueue(
        () -> {
          Vm vm = requests.find(termination.vmId());
          boolean wasLostUnanswered = vm != null && hasAttemptLostWithConnection(vm, machine);
          inputs.scheduler.vmEndConfirmed(termination.vmId(), machine);
          if (wasLostUnanswered && pendingResponses.isAwaitingResponse(vm.id)) {
            // The VM did run and has ended: the attempts made since to place it again are
            // cancelled.
            failAndAbandon(vm);
          }
        });
  }

  /**
   * Whether an attempt on the machine ended as its connection was lost, not confirmed by the
   * machine.
   */
  private static boolean hasAttemptLostWithConnection(Vm vm, Machine machine) {
    return vm.attempts.stream()
        .anyMatch(
            attempt ->
                attempt.machine == machine
                    && attempt.outcome == Outcome.RESET
                    && attempt.mayStillRun);
  }

  /** Fails the request of a VM that has run and ended, and cancels its other attempts. */
  private void failAndAbandon(Vm vm) {
    requestLog.failed(vm, loop.clock());
    clients.sendFailed(vm);
    requests.abandon(vm, machines);
  }

  @Override
  public void unknownVmAccepted(String vmId, Machine machine) {
    requestLog.vmLog().unknownVmAccepted(vmId, machines.handleOf(machine).id());
  }

  @Override
  public void attemptEndedUnanswered(
      PlacementAttempt attempt, Outcome outcome, OutcomeReason reason) {
    loop.enqueue(
        () -> {
          attemptTimers.cancel(attempt);
          if (!attempt.isInFlight()) {
            return;
          }
          Vm vm = attempt.vm;
          countOutcome(outcome);
          logAttemptEnded(attempt, outcome, reason);
          requestLog.vmLog().endedUnanswered(attempt, machineIdOf(attempt), outcome, reason);
          inputs.scheduler.attemptEnded(attempt, outcome, reason, true);
          if (pendingResponses.isAwaitingResponse(vm.id)) {
            failAndAbandon(vm);
          } else {
            requests.removeIfFinished(vm);
          }
        });
  }

  @Override
  public void attemptWithdrawn(PlacementAttempt attempt, boolean isFlushed) {
    requestLog.vmLog().withdrawn(attempt, machineIdOf(attempt), isFlushed);
  }

  @Override
  public void releaseSent(String vmId, Machine machine) {
    requestLog.vmLog().releaseSent(vmId, machines.handleOf(machine).id());
  }

  @Override
  public void releaseSettled(String vmId, Machine machine) {
    requestLog.vmLog().releaseSettled(vmId, machines.handleOf(machine).id());
    loop.enqueue(() -> inputs.scheduler.vmEndConfirmed(vmId, machine));
  }

  @Override
  public void machineFailed(Machine machine, MachineFailure failure, int runningVms) {
    requestLog.vmLog().machineFailed(machines.handleOf(machine).id(), failure, runningVms);
  }

  private String machineIdOf(PlacementAttempt attempt) {
    return machines.handleOf(attempt.machine).id();
  }

  private void logAttemptEnded(PlacementAttempt attempt, Outcome outcome, OutcomeReason reason) {
    requestLog.attemptEnded(attempt, machineIdOf(attempt), outcome, reason, loop.clock());
  }

  private void logVmTerminated(
      PlacementAttempt attempt, Outcome outcome, OutcomeReason reason, String noticeStatus) {
    requestLog
        .vmLog()
        .ended(attempt, machineIdOf(attempt), outcome, reason, "notice " + noticeStatus);
  }

  private void countOutcome(Outcome outcome) {
    outcomeCounts.merge(outcome, 1L, Long::sum);
  }

  @Override
  public void probeCompleted(
      Machine machine, boolean healthy, boolean withLoadReport, Duration roundTrip) {
    loop.enqueue(
        () -> {
          if (healthy) {
            passedProbes++;
          } else {
            failedProbes++;
          }
          inputs.scheduler.probeCompleted(machine, healthy, withLoadReport);
        });
  }

  /** The number of attempts per outcome since the start. */
  Map<Outcome, Long> outcomeCounts() {
    return outcomeCounts;
  }

  long passedProbes() {
    return passedProbes;
  }

  long failedProbes() {
    return failedProbes;
  }
}
