package fordridge.grpc;

import fordridge.constraint.ConstraintIndex;
import fordridge.constraint.RejectionReason;
import fordridge.constraint.VmAttributes;
import fordridge.v1.ExplainReply;
import fordridge.v1.ExplainRequest;
import fordridge.v1.Misfit;
import fordridge.v1.OperatingGrpc;
import fordridge.v1.Spot;
import io.grpc.Status;
import io.grpc.stub.StreamObserver;
import java.util.List;
import java.util.Optional;

/**
 * Operators' queries on constraints: where VMs of a kind may go and why not elsewhere, and which
 * running VMs violate a constraint or could be placed better. On the scheduler's event loop.
 */
public final class OperatorService extends OperatingGrpc.OperatingImplBase {
  /**
   * A VM with an attempt in flight or running.
   *
   * @param attempt what the constraint index counts it by
   * @param id the scheduler's id of the VM, CLIENT/VM
   * @param machine the name of the attempt's machine
   */
  public record RunningVm(Object attempt, String id, VmAttributes attributes, String machine) {}

  /** What the queries read of a scheduler; called on its event loop. */
  public interface ClusterView {
    /** The constraints in force. */
    ConstraintIndex constraints();

    /** The version of the constraints in force. */
    int constraintsVersion();

    /** The machines listed now. */
    List<String> machineNames();

    /** The VM and the machine of an attempt that the constraint index counts. */
    RunningVm describeAttempt(Object attempt);

    /** The VM of that id, CLIENT/VM, if it runs or has an attempt in flight. */
    Optional<RunningVm> findRunningVm(String id);
  }

  private final ClusterView cluster;

  /** Creates the service for one scheduler instance. */
  public OperatorService(ClusterView cluster) {
    this.cluster = cluster;
  }

  @Override
  public void explain(ExplainRequest request, StreamObserver<ExplainReply> responses) {
    Optional<RunningVm> vm = subject(request);
    if (vm.isEmpty()) {
      responses.onError(
          Status.NOT_FOUND
              .withDescription("no VM '" + request.getVm() + "' runs here")
              .asRuntimeException());
      return;
    }
    responses.onNext(explain(vm.get()));
    responses.onCompleted();
  }

  /** The VM that the request names, or a hypothetical one of the kind that it describes. */
  private Optional<RunningVm> subject(ExplainRequest request) {
    if (!request.getVm().isEmpty()) {
      return cluster.findRunningVm(request.getVm());
    }
    return Optional.of(
        new RunningVm(
            null,
            "",
            new VmAttributes(request.getCustomer(), request.getFlavour(), request.getService()),
            ""));
  }

  private ExplainReply explain(RunningVm vm) {
    ConstraintIndex constraints = cluster.constraints();
    ExplainReply.Builder reply =
        ExplainReply.newBuilder().setVersion(cluster.constraintsVersion()).setRunsOn(vm.machine());
    constraints.withoutAttempt(
        vm.attempt(),
        () -> cluster.machineNames().forEach(machine -> reply.addSpots(spot(vm, machine))));
    constraints
        .findViolatingPlacements()
        .forEach((attempt, reasons) -> reply.addMisfits(misfit(attempt, reasons)));
    constraints
        .findImprovablePlacements(ConstraintIndex.MAX_IMPROVABLE_REPORTED)
        .forEach((attempt, reasons) -> reply.addStrayed(misfit(attempt, reasons)));
    return reply.build();
  }

  private Spot spot(RunningVm vm, String machine) {
    ConstraintIndex constraints = cluster.constraints();
    return Spot.newBuilder()
        .setMachine(machine)
        .setAllowed(constraints.isAllowed(vm.attributes(), machine))
        .setUnfit(constraints.preferencePenalty(vm.attributes(), machine))
        .addAllReasons(texts(constraints.explainRejection(vm.attributes(), machine)))
        .build();
  }

  private Misfit misfit(Object attempt, List<RejectionReason> reasons) {
    RunningVm vm = cluster.describeAttempt(attempt);
    return Misfit.newBuilder()
        .setVm(vm.id())
        .setMachine(vm.machine())
        .addAllReasons(texts(reasons))
        .build();
  }

  private static List<String> texts(List<RejectionReason> reasons) {
    return reasons.stream().map(RejectionReason::toString).toList();
  }
}
