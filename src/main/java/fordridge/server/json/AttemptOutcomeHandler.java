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
import fordridge.scheduling.OfferObstacle;
import fordridge.session.PendingResponses;
import java.time.Duration;
import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;

/**
 * Reports what the connections to machines conclude on attempts to the scheduler, and to clients
 * what they wait for. It is called from within an input; all it does is entered behind it. Confined
 * to the event loop.
 */
final class AttemptOutcomeHandler implements MachineConnectionListener {
  private final SchedulerEventLoop loop;
  private final SchedulerInputs<String> inputs;
  private final PendingResponses<?> pendingResponses;
  private final ClientResponder clients;
  private final ActiveRequests requests;
  private final RequestLog requestLog;
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
      RequestLog requestLog) {
    this.loop = loop;
    this.inputs = inputs;
    this.pendingResponses = pendingResponses;
    this.clients = clients;
    this.requests = requests;
    this.requestLog = requestLog;
  }

  /** To be called once, before the first outcome. */
  void attach(MachineRegistry machines) {
    this.machines = machines;
  }

  @Override
  public boolean confirmSend(PlacementAttempt attempt) {
    Optional<OfferObstacle> obstacle = inputs.scheduler.confirmSend(attempt);
    if (obstacle.isPresent()) {
      requestLog.offerWithdrawn(attempt, machineIdOf(attempt), obstacle.get(), loop.clock());
    }
    return obstacle.isEmpty();
  }

  @Override
  public void attemptAccepted(PlacementAttempt attempt, String description) {
    loop.enterBehind(
        () -> {
          if (!attempt.isInFlight() || attempt.vm.isFinished) {
            // Nobody waits for it: it must not run on without an owner.
            requestLog.vms().acceptedTooLate(attempt, machineIdOf(attempt));
            machines.poolOf(attempt).terminate(attempt, loop.now());
            return;
          }
          requestLog.vms().accepted(attempt, machineIdOf(attempt), loop.clock());
          inputs.scheduler.attemptAccepted(attempt);
          requests.accepted(attempt.vm);
          clients.accept(attempt.vm, description);
        });
  }

  @Override
  public void attemptEnded(PlacementAttempt attempt, Outcome outcome, OutcomeReason reason) {
    loop.enterBehind(
        () -> {
          if (!attempt.isInFlight()) {
            return;
          }
          Vm vm = attempt.vm;
          boolean wasAccepted = attempt.acceptedAt != null;
          count(outcome);
          if (!wasAccepted) {
            logEnd(attempt, outcome, reason);
          }
          inputs.scheduler.attemptEnded(attempt, outcome, reason, wasAccepted || vm.isFinished);
          if (wasAccepted && requests.find(vm.id) == vm) {
            // A client that has ended its VM itself is owed nothing more, and nothing is sent.
            String notice = clients.notifyTerminated(vm, outcome, loop.now());
            logEndOfVm(attempt, outcome, reason, notice);
          } else if (wasAccepted) {
            logEndOfVm(attempt, outcome, reason, "not owed, its id is another's");
          }
          requests.forgetIfOver(vm);
        });
  }

  @Override
  public void unknownVmEnded(VmTermination termination, Machine machine) {
    requestLog.vms().unknownEnded(termination, machines.handleOf(machine).id());
    loop.enterBehind(
        () -> {
          Vm vm = requests.find(termination.vmId());
          boolean ranUnanswered = vm != null && hasLostAttempt(vm, machine);
          inputs.scheduler.endConfirmed(termination.vmId(), machine);
          if (ranUnanswered && pendingResponses.isAwaitingResponse(vm.id)) {
            // It ran after all, and is over: what was done since to place it again is taken back.
            failOver(vm);
          }
        });
  }

  /**
   * Whether an attempt on the machine ended with its connection, and without the machine's word.
   */
  private static boolean hasLostAttempt(Vm vm, Machine machine) {
    return vm.attempts.stream()
        .anyMatch(
            attempt ->
                attempt.machine == machine
                    && attempt.outcome == Outcome.RESET
                    && attempt.mayStillRun);
  }

  /** The VM has run and is over: its request fails, and nothing more is sent for it. */
  private void failOver(Vm vm) {
    requestLog.failed(vm, loop.clock());
    clients.fail(vm);
    requests.abandon(vm, machines);
  }

  @Override
  public void unknownVmAccepted(String vmId, Machine machine) {
    requestLog.vms().unknownAccepted(vmId, machines.handleOf(machine).id());
  }

  @Override
  public void attemptEndedUnanswered(
      PlacementAttempt attempt, Outcome outcome, OutcomeReason reason) {
    loop.enterBehind(
        () -> {
          if (!attempt.isInFlight()) {
            return;
          }
          Vm vm = attempt.vm;
          count(outcome);
          logEnd(attempt, outcome, reason);
          requestLog.vms().endedUnanswered(attempt, machineIdOf(attempt), outcome, reason);
          inputs.scheduler.attemptEnded(attempt, outcome, reason, true);
          if (pendingResponses.isAwaitingResponse(vm.id)) {
            failOver(vm);
          } else {
            requests.forgetIfOver(vm);
          }
        });
  }

  @Override
  public void attemptWithdrawn(PlacementAttempt attempt, boolean hasGoneOut) {
    requestLog.vms().withdrawn(attempt, machineIdOf(attempt), hasGoneOut);
  }

  @Override
  public void releaseSent(String vmId, Machine machine) {
    requestLog.vms().releaseSent(vmId, machines.handleOf(machine).id());
  }

  @Override
  public void releaseSettled(String vmId, Machine machine) {
    requestLog.vms().releaseSettled(vmId, machines.handleOf(machine).id());
    loop.enterBehind(() -> inputs.scheduler.endConfirmed(vmId, machine));
  }

  @Override
  public void machineFailed(Machine machine, MachineFailure failure, int runningVms) {
    requestLog.vms().machineFailed(machines.handleOf(machine).id(), failure, runningVms);
  }

  private String machineIdOf(PlacementAttempt attempt) {
    return machines.handleOf(attempt.machine).id();
  }

  private void logEnd(PlacementAttempt attempt, Outcome outcome, OutcomeReason reason) {
    requestLog.attemptEnded(attempt, machineIdOf(attempt), outcome, reason, loop.clock());
  }

  private void logEndOfVm(
      PlacementAttempt attempt, Outcome outcome, OutcomeReason reason, String notified) {
    requestLog.vms().ended(attempt, machineIdOf(attempt), outcome, reason, "notice " + notified);
  }

  private void count(Outcome outcome) {
    outcomeCounts.merge(outcome, 1L, Long::sum);
  }

  @Override
  public void probeCompleted(
      Machine machine, boolean healthy, boolean withLoadReport, Duration roundTrip) {
    loop.enterBehind(
        () -> {
          if (healthy) {
            passedProbes++;
          } else {
            failedProbes++;
          }
          inputs.scheduler.probeCompleted(machine, healthy, withLoadReport);
        });
  }

  /** How many attempts had each outcome since the start. */
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
