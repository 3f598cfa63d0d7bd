package fordridge.server.grpc;

import fordridge.machine.MachineStream;
import fordridge.machine.ReportedVm;
import fordridge.model.Machine;
import fordridge.model.PlacementAttempt;
import fordridge.model.PlacementAttempt.Outcome;
import fordridge.model.PlacementAttempt.OutcomeReason;
import fordridge.model.Vm;
import fordridge.scheduling.OfferObstacle;
import fordridge.scheduling.Scheduler;
import fordridge.session.ClientResponse;
import fordridge.session.ClientResponse.Accepted;
import fordridge.session.ClientResponse.Failed;
import fordridge.session.ClientResponse.Terminated;
import fordridge.session.ClientResponse.TerminationCause;
import java.time.Duration;
import java.util.Locale;
import java.util.Optional;

/**
 * Takes in what becomes of placement attempts: tells the scheduler and the constraints, and
 * notifies the clients. What the machines' streams conclude while an input is processed is queued
 * behind it. Confined to the event loop.
 */
final class AttemptTracker implements MachineStream.Listener {
  private static final String OVER_UNANSWERED = "the VM was over before its acceptance came";

  private final InstanceContext context;

  AttemptTracker(InstanceContext context) {
    this.context = context;
  }

  /**
   * Waits no longer for an attempt. If its offer was never written, it is known not to have run;
   * otherwise it ends with the given outcome.
   */
  void abandon(PlacementAttempt attempt, Outcome outcome) {
    MachineHandle machine = context.machines.get(attempt.machine);
    boolean neverWritten = machine.stream().cancel(attempt, context.loop.now());
    // Counts at its machine until that has confirmed the withdrawal, see attemptReleased.
    attempt.mayStillRun = !neverWritten;
    attemptEnded(attempt, neverWritten ? Outcome.UNREACHABLE : outcome, OutcomeReason.UNSPECIFIED);
    machine.scheduleTick();
  }

  /** Stops an accepted VM that may still run. */
  void terminate(PlacementAttempt attempt) {
    context.machines.get(attempt.machine).stream().terminate(attempt, context.loop.now());
  }

  @Override
  public boolean confirmSend(PlacementAttempt attempt) {
    Optional<OfferObstacle> obstacle = context.scheduler.inputs().scheduler.confirmSend(attempt);
    obstacle.ifPresent(found -> logWithdrawal(attempt, found));
    return obstacle.isEmpty();
  }

  @Override
  public void attemptAccepted(PlacementAttempt attempt, boolean isRunning) {
    context.loop.processBehind(
        () -> {
          if (!attempt.isInFlight() || attempt.vm.isFinished) {
            return;
          }
          if (attempt.acceptedAt == null) {
            firstAccepted(attempt);
          }
          if (isRunning && context.settings().cluster().confirmsOnAcceptance()) {
            context.scheduler.vmReported(attempt, Scheduler::vmStarted);
          }
        });
  }

  private void firstAccepted(PlacementAttempt attempt) {
    Vm vm = attempt.vm;
    Duration startLatency = context.loop.now().minus(vm.arrivedAt);
    context.metrics.vmAccepted(startLatency);
    context.scheduler.attemptAccepted(attempt);
    if (context.clients.clientOf(vm).isEmpty()) {
      return;
    }
    String machine = context.machines.nameOf(attempt.machine);
    if (context.groups.isMember(vm)) {
      String name = context.clients.nameAtClient(vm);
      context.groups.memberAccepted(vm, new Accepted(name, machine, attempt.number, startLatency));
    } else {
      context.metrics.responseSent(ClientResponse.Kind.ACCEPTED);
      context.clients.respond(
          vm, name -> new Accepted(name, machine, attempt.number, startLatency));
    }
  }

  @Override
  public void attemptEnded(PlacementAttempt attempt, Outcome outcome, OutcomeReason reason) {
    context.loop.processBehind(
        () -> {
          if (attempt.isInFlight()) {
            end(attempt, outcome, reason);
          }
        });
  }

  private void end(PlacementAttempt attempt, Outcome outcome, OutcomeReason reason) {
    boolean wasAccepted = attempt.acceptedAt != null;
    boolean isOverUnanswered = !wasAccepted && isOver(outcome, reason);
    if (wasAccepted || isOverUnanswered || isKnownNotToRun(outcome)) {
      context.constraints.attemptReleased(attempt);
    } else {
      context.constraints.attemptOutcomeUnknown(attempt);
    }
    context.metrics.attemptFinished(outcome);
    logEnd(attempt, outcome, reason);
    context.scheduler.attemptEnded(attempt, outcome, reason, wasAccepted || isOverUnanswered);
    if (isOverUnanswered) {
      failUnanswered(attempt.vm);
    }
    if (wasAccepted && !context.groups.memberTerminated(attempt.vm)) {
      TerminationCause cause = terminationCause(outcome, reason);
      context.clients.respond(attempt.vm, name -> new Terminated(name, cause));
    }
    context.forget(attempt.vm);
  }

  /** Whether the machine said of an attempt that its VM has run and is over. */
  private static boolean isOver(Outcome outcome, OutcomeReason reason) {
    return outcome == Outcome.DONE || (outcome == Outcome.RESET && reason.isOfRunningVm());
  }

  /** The VM is over and its acceptance never came: it must not be placed again. */
  private void failUnanswered(Vm vm) {
    if (context.groups.isMember(vm)) {
      context.groups.memberFailed(vm, OVER_UNANSWERED);
    } else {
      context.metrics.responseSent(ClientResponse.Kind.FAILED);
      context.clients.respond(vm, name -> new Failed(name, OVER_UNANSWERED));
    }
  }

  private static boolean isKnownNotToRun(Outcome outcome) {
    return outcome == Outcome.FULL || outcome == Outcome.UNREACHABLE || outcome == Outcome.NOT_SENT;
  }

  private void logWithdrawal(PlacementAttempt attempt, OfferObstacle obstacle) {
    context.metrics.offerWithdrawn(obstacle.name().toLowerCase(Locale.ROOT));
    context
        .log
        .info()
        .addKeyValue("vm", attempt.vm.id)
        .addKeyValue("attempt", attempt.number)
        .addKeyValue("machine", context.machines.nameOf(attempt.machine))
        .addKeyValue("obstacle", obstacle)
        .log("offer not sent");
  }

  private void logEnd(PlacementAttempt attempt, Outcome outcome, OutcomeReason reason) {
    context
        .log
        .debug()
        .addKeyValue("vm", attempt.vm.id)
        .addKeyValue("attempt", attempt.number)
        .addKeyValue("machine", context.machines.nameOf(attempt.machine))
        .addKeyValue("outcome", outcome)
        .addKeyValue("reason", reason)
        .log("attempt ended");
  }

  private static TerminationCause terminationCause(Outcome outcome, OutcomeReason reason) {
    return switch (reason) {
      case EVICTED -> TerminationCause.EVICTED;
      case PREEMPTED -> TerminationCause.PREEMPTED;
      case DRAINED -> TerminationCause.DRAINED;
      default ->
          switch (outcome) {
            case DONE, CANCELLED -> TerminationCause.COMPLETED;
            case ERROR -> TerminationCause.EXITED_WITH_ERROR;
            default -> TerminationCause.LOST;
          };
    };
  }

  @Override
  public void attemptReleased(PlacementAttempt attempt) {
    context.loop.processBehind(
        () -> {
          if (!attempt.isInFlight()) {
            context.constraints.attemptReleased(attempt);
            context.scheduler.inputs().scheduler.endConfirmed(attempt.vm.id, attempt.machine);
            String machine = context.machines.nameOf(attempt.machine);
            context.scheduler.loadReported(attempt.machine, machine);
          }
        });
  }

  @Override
  public void unknownVmReported(ReportedVm reported, Machine machine) {
    MachineHandle handle = context.machines.get(machine);
    if (context.scheduler.inputs().vm(reported.attemptId().vmId()) != null
        || !context.settings().priorityClasses().containsKey(reported.priorityClass())) {
      // Requested again before its machine reconnected, or of a priority class that is no longer
      // configured: it would belong to no client.
      handle.transport().cancel(reported.attemptId());
      return;
    }
    Vm vm = adoptedVm(reported);
    context.scheduler.vmAdopted(vm, machine, handle.name());
    handle.stream().adopt(reported.attemptId(), vm.acceptedAttempt);
    context.constraints.attemptSent(vm.acceptedAttempt);
    context.clients.vmAdopted(vm, reported.client(), handle.name(), reported.attemptId().number());
  }

  private Vm adoptedVm(ReportedVm reported) {
    Vm vm = new Vm(reported.attemptId().vmId());
    vm.priorityClass = reported.priorityClass();
    vm.tenant = reported.tenant();
    vm.service = reported.service();
    vm.cores = reported.cores();
    vm.memory = reported.memory();
    vm.arrivedAt = context.loop.now();
    vm.deadline = context.loop.now();
    return vm;
  }

  @Override
  public void probeCompleted(
      Machine machine, boolean healthy, boolean withLoadReport, Duration roundTrip) {
    context.loop.processBehind(
        () ->
            context.scheduler.probeCompleted(
                machine, context.machines.nameOf(machine), healthy, withLoadReport));
  }

  @Override
  public void connectionLost(Machine machine, String reason) {
    context
        .log
        .info()
        .addKeyValue("machine", context.machines.nameOf(machine))
        .addKeyValue("reason", reason)
        .log("machine connection lost");
  }
}
