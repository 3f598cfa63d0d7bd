package fordridge.server.grpc;

import fordridge.machine.AttemptId;
import fordridge.machine.MachineStream;
import fordridge.model.Machine;
import fordridge.model.PlacementAttempt;
import fordridge.model.PlacementAttempt.Outcome;
import fordridge.model.Vm;
import fordridge.runtime.InputKind;
import fordridge.scheduling.SchedulerActions;
import fordridge.session.ClientResponse;
import fordridge.session.ClientResponse.Failed;
import fordridge.session.ClientResponse.Rejected;
import fordridge.session.ClientResponse.Terminated;
import fordridge.session.ClientResponse.TerminationCause;
import java.time.Duration;
import java.util.List;

/**
 * Performs the scheduler's actions on the streams of machines and clients. Whatever would call the
 * scheduler back is queued until the input that it is processing is done. Confined to the event
 * loop.
 */
final class GrpcSchedulerActions implements SchedulerActions {
  // Reasons in responses to clients; the texts are part of the protocol.
  private static final String NO_CAPACITY = "no room found in time";
  private static final String OUTCOME_UNKNOWN = "it may have run; its outcome is not known";

  private final InstanceContext context;
  private final GossipSender gossip;

  GrpcSchedulerActions(InstanceContext context, GossipSender gossip) {
    this.context = context;
    this.gossip = gossip;
  }

  @Override
  public void sendAttempt(PlacementAttempt attempt, Duration timeout) {
    context.metrics.offerSent();
    context.constraints.attemptSent(attempt);
    context.gate.submitAfterRead(
        InputKind.OFFER,
        () -> {
          if (attempt.isInFlight()) {
            offer(attempt, timeout);
          }
        });
    context.loop.schedule(
        timeout,
        () -> {
          if (isUnanswered(attempt)) {
            context.attempts.abandon(attempt, Outcome.TIMEOUT);
          }
        });
  }

  private void offer(PlacementAttempt attempt, Duration timeout) {
    MachineHandle machine = context.machines.get(attempt.machine);
    boolean isIdempotent =
        context.settings().priorityClasses().get(attempt.vm.priorityClass).isIdempotent();
    AttemptId id = new AttemptId(attempt.vm.id, attempt.number);
    MachineStream stream = machine.stream();
    stream.offer(attempt, id, isIdempotent, timeout, context.loop.now());
    machine.scheduleTick();
  }

  private static boolean isUnanswered(PlacementAttempt attempt) {
    return attempt.isInFlight() && attempt.acceptedAt == null;
  }

  @Override
  public double constraintPenalty(Vm vm, Machine machine) {
    return context.constraints.penalty(vm, machine);
  }

  @Override
  public boolean isSendQueueFull(Machine machine) {
    return context.machines.get(machine).stream().isQueueFull();
  }

  @Override
  public boolean isConstrained(Vm vm) {
    return context.constraints.isConstrained(vm);
  }

  @Override
  public void reject(Vm vm, Duration retryAfter) {
    context.loop.enqueue(() -> context.scheduler.vmRejected(vm, retryAfter));
    if (context.groups.isMember(vm)) {
      context.loop.enqueue(() -> context.groups.memberRejected(vm, NO_CAPACITY));
      return;
    }
    context.clients.respond(vm, name -> new Rejected(name, retryAfter, NO_CAPACITY));
    context.metrics.responseSent(ClientResponse.Kind.REJECTED);
    context.loop.enqueue(() -> context.forget(vm));
  }

  @Override
  public void fail(Vm vm) {
    context.loop.enqueue(() -> context.scheduler.vmFailed(vm));
    if (context.groups.isMember(vm)) {
      context.loop.enqueue(() -> context.groups.memberFailed(vm, OUTCOME_UNKNOWN));
      return;
    }
    context.clients.respond(vm, name -> new Failed(name, OUTCOME_UNKNOWN));
    context.metrics.responseSent(ClientResponse.Kind.FAILED);
    context.loop.enqueue(() -> context.forget(vm));
  }

  @Override
  public void migrate(Vm vm) {
    context.clients.respond(vm, name -> new Terminated(name, TerminationCause.MIGRATED));
    context.attempts.terminate(vm.acceptedAttempt);
  }

  @Override
  public void cancelAttempt(PlacementAttempt attempt) {
    context.loop.enqueue(
        () -> {
          if (isUnanswered(attempt)) {
            context.attempts.abandon(attempt, Outcome.CANCELLED);
          }
        });
  }

  @Override
  public void probe(Machine machine) {
    context.loop.enqueue(
        () -> {
          MachineHandle handle = context.machines.get(machine);
          handle.stream().probe(context.loop.now());
          handle.scheduleTick();
        });
  }

  @Override
  public void gossip(String message) {
    gossip.send(message);
  }

  @Override
  public void scheduleTimer(Duration delay) {
    context.loop.schedule(delay, context.scheduler.inputs().scheduler::timerFired);
  }

  @Override
  public void log(String line) {
    context.log.info().log(line);
  }

  /**
   * Answers with an empty change, or with a failure if the list may be stale: the source pushes the
   * list, so there is nothing to request.
   */
  @Override
  public void watchMachineList(boolean enabled) {
    context.loop.enqueue(
        () -> {
          if (context.machineList.isStale()) {
            context.scheduler.inputs().scheduler.machineListFailed();
          } else {
            context.scheduler.inputs().machineListReceived(false, false, List.of());
          }
        });
  }

  /** Does nothing, as the source pushes the list. */
  @Override
  public void fetchMachineList() {}
}
