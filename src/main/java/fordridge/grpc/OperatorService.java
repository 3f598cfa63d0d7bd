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
 * The gRPC service for operators' queries on constraints: on which machines a VM may be placed and
 * why not on the others, and which running VMs violate a constraint or could be placed better. Runs
 * on the scheduler's event loop.
 */
public final class OperatorService extends OperatingGrpc.OperatingImplBase {
  /**
   * A VM that runs or has an attempt in flight, or a hypothetical one.
   *
   * @param attempt the VM's attempt, by which the constraint index counts it; null if hypothetical
   * @param id the scheduler's id of the VM, CLIENT/VM; empty if hypothetical
   * @param machine the name of the attempt's machine; empty if hypothetical
   */
  public record RunningVm(Object attempt, String id, VmAttributes attributes, String machine) {}

  /** The scheduler's state that queries read; called on the scheduler's event loop. */
  public interface ClusterView {
    /** The constraints in force. */
    ConstraintIndex constraints();

    /** The version of the constraints in force. */
    int constraintsVersion();

    /** Names of the machines in the current machine list. */
    List<String> machineNames();

    /** The VM and the machine of an attempt that the constraint index counts. */
    RunningVm describeAttempt(Object attempt);

    /** The VM with that id, CLIENT/VM, if it runs or has an attempt in flight. */
    Optional<RunningVm> findRunningVm(String id);
  }

  private final ClusterView cluster;

  /** Creates the service for one scheduler instance. */
  public OperatorService(ClusterView cluster) {
    this.cluster = cluster;
  }

  @Override
  public void explain(ExplainRequest request, StreamObserver<ExplainReply> responses) {
    Optional<RunningVm> vm = requestedVm(request);
    if (vm.isEmpty()) {
      responses.onError(
          Status.NOT_FOUND
              .withDescription(
                  "no VM '" + request.getVm() + "' runs or is being placed by this scheduler")
              .asRuntimeException());
      return;
    }
    responses.onNext(explain(vm.get()));
    responses.onCompleted();
  }

  /** The VM that the request names, or a hypothetical one with the attributes that it gives. */
  private Optional<RunningVm> requestedVm(ExplainRequest request) {
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
    constraints.runWithoutAttempt(
        vm.attempt(),
        () -> cluster.machineNames().forEach(machine -> reply.addSpots(spot(vm, machine))));
    constraints
        .findViolatingPlacements()
        .forEach((attempt, reasons) -> reply.addMisfits(misfit(attempt, reasons)));
    constraints
        .findImprovablePlacements(ConstraintIndex.MAX_REPORTED_IMPROVABLE_PLACEMENTS)
        .forEach((attempt, reasons) -> reply.addStrayed(misfit(attempt, reasons)));
    return reply.build();
  }

  private Spot spot(RunningVm vm, String machine) {
    ConstraintIndex constraints = cluster.constraints();
    return Spot.newBuilder()
        .setMachine(machine)
        .setAllowed(constraints.isAllowed(vm.attributes(), machine))
        .setUnfit(constraints.preferencePenalty(vm.attributes(), machine))
        .addAllReasons(descriptions(constraints.explainRejection(vm.attributes(), machine)))
        .build();
  }

  private Misfit misfit(Object attempt, List<RejectionReason> reasons) {
    RunningVm vm = cluster.describeAttempt(attempt);
    return Misfit.newBuilder()
        .setVm(vm.id())
        .setMachine(vm.machine())
        .addAllReasons(descriptions(reasons))
        .build();
  }

  private static List<String> descriptions(List<RejectionReason> reasons) {
    return reasons.stream().map(RejectionReason::toString).toList();
  }
}
