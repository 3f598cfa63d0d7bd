package fordridge.server.grpc;

import fordridge.machine.MachineStream;
import fordridge.machine.ReportedVm;
import fordridge.model.Machine;
import fordridge.model.PlacementAttempt;
import fordridge.model.PlacementAttempt.Outcome;
import fordridge.model.PlacementAttempt.OutcomeReason;
import fordridge.model.Vm;
import fordridge.scheduling.NotSentReason;
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
 * Handles the outcomes of placement attempts: reports each to the scheduler and to the constraint
 * state, and sends the client its response. Outcomes that a machine's stream reports while an input
 * is being processed are queued until that input has been processed. Confined to the event loop.
 */
final class AttemptOutcomeHandler implements MachineStream.Listener {
  /** Reason in a failed response; the text is part of the protocol. */
  private static final String ENDED_BEFORE_ACCEPTANCE =
      "the VM was over before its acceptance came";

  private final InstanceContext context;

  AttemptOutcomeHandler(InstanceContext context) {
    this.context = context;
  }

  /**
   * Stops waiting for an attempt and withdraws it from its machine. It ends as {@link
   * Outcome#UNREACHABLE}, which proves that the VM never ran, if its offer was not written;
   * otherwise with the given outcome.
   */
  void abandon(PlacementAttempt attempt, Outcome outcome) {
    MachineHandle machine = context.machines.get(attempt.machine);
    boolean neverSent = machine.stream().cancel(attempt, context.loop.now());
    // It counts against its machine until the machine confirms the cancellation; see
    // attemptReleased.
    attempt.mayStillRun = !neverSent;
    attemptEnded(attempt, neverSent ? Outcome.UNREACHABLE : outcome, OutcomeReason.UNSPECIFIED);
    machine.scheduleTick();
  }

  /** Stops an accepted VM that may still run. */
  void terminate(PlacementAttempt attempt) {
    context.machines.get(attempt.machine).stream().terminate(attempt, context.loop.now());
  }

  @Override
  public boolean confirmSend(PlacementAttempt attempt) {
    Optional<NotSentReason> notSentReason =
        context.scheduler.inputs().scheduler.confirmSend(attempt);
    notSentReason.ifPresent(reason -> logWithdrawal(attempt, reason));
    return notSentReason.isEmpty();
  }

  @Override
  public void attemptAccepted(PlacementAttempt attempt, boolean isRunning) {
    context.loop.enqueue(
        () -> {
          if (!attempt.isInFlight() || attempt.vm.isFinished) {
            return;
          }
          if (attempt.acceptedAt == null) {
            reportAcceptance(attempt);
          }
          if (isRunning && context.settings().cluster().confirmsOnAcceptance()) {
            context.scheduler.vmReported(attempt, Scheduler::vmStarted);
          }
        });
  }

  private void reportAcceptance(PlacementAttempt attempt) {
    Vm vm = attempt.vm;
    Duration startLatency = context.loop.now().minus(vm.arrivedAt);
    context.metrics.vmAccepted(startLatency);
    context.scheduler.attemptAccepted(attempt);
    if (context.clients.clientOf(vm).isEmpty()) {
      return;
    }
    String machine = context.machines.nameOf(attempt.machine);
    if (context.groups.isMember(vm)) {
      String name = context.clients.requestName(vm);
      context.groups.memberAccepted(vm, new Accepted(name, machine, attempt.number, startLatency));
    } else {
      context.metrics.responseSent(ClientResponse.Kind.ACCEPTED);
      context.clients.respond(
          vm, name -> new Accepted(name, machine, attempt.number, startLatency));
    }
  }

  @Override
  public void attemptEnded(PlacementAttempt attempt, Outcome outcome, OutcomeReason reason) {
    context.loop.enqueue(
        () -> {
          if (attempt.isInFlight()) {
            recordEnd(attempt, outcome, reason);
          }
        });
  }

  private void recordEnd(PlacementAttempt attempt, Outcome outcome, OutcomeReason reason) {
    boolean wasAccepted = attempt.acceptedAt != null;
    boolean endedBeforeAcceptance = !wasAccepted && hasRunAndEnded(outcome, reason);
    if (wasAccepted || endedBeforeAcceptance || isKnownNotToRun(outcome)) {
      context.constraints.attemptReleased(attempt);
    } else {
      context.constraints.attemptOutcomeUnknown(attempt);
    }
    context.metrics.attemptFinished(outcome);
    logEnd(attempt, outcome, reason);
    context.scheduler.attemptEnded(attempt, outcome, reason, wasAccepted || endedBeforeAcceptance);
    if (endedBeforeAcceptance) {
      failEndedBeforeAcceptance(attempt.vm);
    }
    if (wasAccepted && !context.groups.memberTerminated(attempt.vm)) {
      TerminationCause cause = terminationCause(outcome, reason);
      context.clients.respond(attempt.vm, name -> new Terminated(name, cause));
    }
    context.forget(attempt.vm);
  }

  /** Whether the machine reported that the attempt's VM has run and has ended. */
  private static boolean hasRunAndEnded(Outcome outcome, OutcomeReason reason) {
    return outcome == Outcome.DONE || (outcome == Outcome.RESET && reason.impliesVmHasRun());
  }

  /**
   * Fails a VM that ended before its acceptance arrived: it has run, so it must not be placed
   * again.
   */
  private void failEndedBeforeAcceptance(Vm vm) {
    if (context.groups.isMember(vm)) {
      context.groups.memberFailed(vm, ENDED_BEFORE_ACCEPTANCE);
    } else {
      context.metrics.responseSent(ClientResponse.Kind.FAILED);
      context.clients.respond(vm, name -> new Failed(name, ENDED_BEFORE_ACCEPTANCE));
    }
  }

  private static boolean isKnownNotToRun(Outcome outcome) {
    return outcome == Outcome.FULL || outcome == Outcome.UNREACHABLE || outcome == Outcome.NOT_SENT;
  }

  private void logWithdrawal(PlacementAttempt attempt, NotSentReason reason) {
    context.metrics.offerWithdrawn(reason.name().toLowerCase(Locale.ROOT));
    context
        .log
        .info()
        .addKeyValue("vm", attempt.vm.id)
        .addKeyValue("attempt", attempt.number)
        .addKeyValue("machine", context.machines.nameOf(attempt.machine))
        .addKeyValue("obstacle", reason)
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
    context.loop.enqueue(
        () -> {
          if (!attempt.isInFlight()) {
            context.constraints.attemptReleased(attempt);
            context.scheduler.inputs().scheduler.vmEndConfirmed(attempt.vm.id, attempt.machine);
            String machine = context.machines.nameOf(attempt.machine);
            context.scheduler.loadReported(attempt.machine, machine);
          }
        });
  }

  @Override
  public void unknownVmReported(ReportedVm reported, Machine machine) {
    MachineHandle handle = context.machines.get(machine);
    if (context.scheduler.inputs().findVm(reported.attemptId().vmId()) != null
        || !context.settings().priorityClasses().containsKey(reported.priorityClass())) {
      // Not adopted: either the client requested the VM again before its machine reconnected, so
      // that another VM has this id, or its priority class is no longer configured.
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
    context.loop.enqueue(
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
