package fordridge.server.grpc;

import fordridge.constraint.ConstraintIndex;
import fordridge.constraint.GroupFeasibility;
import fordridge.constraint.GroupMember;
import fordridge.constraint.GroupPlan;
import fordridge.constraint.MachineCapacity;
import fordridge.model.Machine;
import fordridge.model.PlacementAttempt;
import fordridge.model.PlacementAttempt.Outcome;
import fordridge.model.Vm;
import fordridge.session.ClientResponse;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Performs a group's actions on its members. Plans are computed on the planner's threads from
 * copies of the state; everything else is confined to the event loop.
 */
final class GroupActions implements GroupCoordinator.Actions {
  private final InstanceContext context;
  private final Executor planner;

  GroupActions(InstanceContext context, Executor planner) {
    this.context = context;
    this.planner = planner;
  }

  @Override
  public void plan(List<Vm> members, Consumer<GroupPlan> listener) {
    GroupPlan withoutConstraints =
        GroupPlan.withoutRestrictions(members.stream().map(vm -> vm.id).toList());
    if (members.stream().noneMatch(context.constraints::isConstrained)) {
      listener.accept(withoutConstraints);
      return;
    }
    Supplier<GroupPlan> computation = computation(members);
    try {
      planner.execute(() -> compute(computation, withoutConstraints, listener));
    } catch (RejectedExecutionException e) {
      context.log.debug().setCause(e).log("group planner overloaded, placing without a plan");
      listener.accept(withoutConstraints);
    }
  }

  private Supplier<GroupPlan> computation(List<Vm> members) {
    List<GroupMember> groupMembers = members.stream().map(GroupActions::groupMember).toList();
    ConstraintIndex index = context.constraints.index();
    GroupFeasibility withFreeCapacity = index.groupFeasibility(groupMembers, this::freeCapacity);
    GroupFeasibility withFullCapacity = index.groupFeasibility(groupMembers, this::fullCapacity);
    long deadlineNanos = System.nanoTime() + GroupPlan.TIME_LIMIT.toNanos();
    return () ->
        GroupPlan.compute(
            withFreeCapacity,
            withFullCapacity,
            groupMembers,
            () -> System.nanoTime() - deadlineNanos > 0);
  }

  private static GroupMember groupMember(Vm vm) {
    return new GroupMember(vm.id, ConstraintState.attributesOf(vm), vm.cores, vm.memory);
  }

  private MachineCapacity freeCapacity(String machineName) {
    Machine machine = context.scheduler.inputs().machine(machineName);
    return new MachineCapacity(
        machine.freeCores - machine.reservedSinceList.cores(),
        machine.freeMemory - machine.reservedSinceList.memory());
  }

  private MachineCapacity fullCapacity(String machineName) {
    Machine machine = context.scheduler.inputs().machine(machineName);
    return new MachineCapacity(machine.cores, machine.memory);
  }

  /** Computes a plan on a planner thread, and passes it to the listener on the event loop. */
  private void compute(
      Supplier<GroupPlan> computation, GroupPlan fallback, Consumer<GroupPlan> listener) {
    GroupPlan plan = computeOr(fallback, computation);
    try {
      context.loop.submit(() -> listener.accept(plan));
    } catch (RejectedExecutionException e) {
      context.log.debug().setCause(e).log("group plan dropped: the event loop has ended");
    }
  }

  private GroupPlan computeOr(GroupPlan fallback, Supplier<GroupPlan> computation) {
    try {
      return computation.get();
    } catch (RuntimeException e) {
      context.log.error().setCause(e).log("group planning failed, placing without a plan");
      return fallback;
    }
  }

  @Override
  public void schedule(Vm vm) {
    context.scheduler.vmRequested(vm);
  }

  @Override
  public void respond(Vm vm, ClientResponse response) {
    context.metrics.responseSent(response.kind());
    context.clients.respond(vm, name -> response);
  }

  @Override
  public void stop(Vm vm) {
    if (vm.acceptedAttempt != null && vm.acceptedAttempt.isInFlight()) {
      context.attempts.terminate(vm.acceptedAttempt);
    }
  }

  @Override
  public boolean cancel(Vm vm) {
    context.scheduler.requestAbandoned(vm);
    for (PlacementAttempt attempt : List.copyOf(vm.attempts)) {
      if (attempt.isInFlight()) {
        context.attempts.abandon(attempt, Outcome.CANCELLED);
      }
    }
    return vm.attempts.stream().anyMatch(attempt -> !attempt.hasNeverRun());
  }

  @Override
  public void forget(Vm vm) {
    context.loop.enqueue(
        () -> {
          context.groups.remove(vm);
          context.forget(vm);
          if (context.scheduler.inputs().findVm(vm.id) == null) {
            context.clients.unregister(vm);
          }
        });
  }

  @Override
  public String requestName(Vm vm) {
    return context.clients.requestName(vm);
  }
}
