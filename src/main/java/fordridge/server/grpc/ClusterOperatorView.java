package fordridge.server.grpc;

import fordridge.constraint.ConstraintIndex;
import fordridge.grpc.OperatorService;
import fordridge.grpc.OperatorService.RunningVm;
import fordridge.model.PlacementAttempt;
import fordridge.model.Vm;
import java.util.List;
import java.util.Optional;

/** The state of an instance that operators' queries read. Confined to the event loop. */
final class ClusterOperatorView implements OperatorService.ClusterView {
  private final InstanceContext context;

  ClusterOperatorView(InstanceContext context) {
    this.context = context;
  }

  @Override
  public ConstraintIndex constraints() {
    return context.constraints.index();
  }

  @Override
  public int constraintsVersion() {
    return context.constraints.version();
  }

  @Override
  public List<String> machineNames() {
    return context.constraints.machineNames();
  }

  @Override
  public RunningVm describeAttempt(Object attempt) {
    return describe((PlacementAttempt) attempt);
  }

  @Override
  public Optional<RunningVm> findRunningVm(String id) {
    Vm vm = context.scheduler.inputs().findVm(id);
    if (vm == null || vm.attempts.isEmpty()) {
      return Optional.empty();
    }
    PlacementAttempt latest = vm.attempts.get(vm.attempts.size() - 1);
    return latest.isInFlight() ? Optional.of(describe(latest)) : Optional.empty();
  }

  private RunningVm describe(PlacementAttempt attempt) {
    Vm vm = attempt.vm;
    String machine = context.machines.nameOf(attempt.machine);
    return new RunningVm(attempt, vm.id, ConstraintState.attributesOf(vm), machine);
  }
}
