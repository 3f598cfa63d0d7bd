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

/** What operators ask, answered from the book of rules on the placer's loop. */
public final class OperatorService extends OperatingGrpc.OperatingImplBase {
  /** A VM that runs: its claim, whose it is, what it is one of, and where. */
  public record Running(
      Object attempt, String tenant, String priorityClass, long service, String machine) {}

  /** The placer's side of it. */
  public interface ClusterView {
    ConstraintIndex book();

    int rulesVersion();

    /** Machines in the list now. */
    List<String> machines();

    /** A VM's name and its machine's, for a claim that the book counts. */
    List<String> named(Object attempt);

    /** A VM that is out or runs, by CLIENT/VM; null for others. */
    Running running(String vm);
  }

  private final ClusterView books;

  public OperatorService(ClusterView books) {
    this.books = books;
  }

  @Override
  public void explain(ExplainRequest r, StreamObserver<ExplainReply> to) {
    ConstraintIndex book = books.book();
    ExplainReply.Builder b = ExplainReply.newBuilder().setVersion(books.rulesVersion());
    Running vm =
        r.getVm().isEmpty()
            ? new Running(null, r.getCustomer(), r.getFlavour(), r.getService(), "")
            : books.running(r.getVm());
    if (vm == null) {
      to.onError(
          Status.NOT_FOUND
              .withDescription("no VM '" + r.getVm() + "' runs here")
              .asRuntimeException());
      return;
    }
    b.setRunsOn(vm.machine);
    book.withoutAttempt(
        vm.attempt,
        () -> {
          for (String m : books.machines()) {
            Spot.Builder s =
                Spot.newBuilder()
                    .setMachine(m)
                    .setAllowed(
                        book.isAllowed(
                            new VmAttributes(vm.tenant, vm.priorityClass, vm.service), m))
                    .setUnfit(
                        book.preferencePenalty(
                            new VmAttributes(vm.tenant, vm.priorityClass, vm.service), m));
            book.explainRejection(new VmAttributes(vm.tenant, vm.priorityClass, vm.service), m)
                .forEach(w -> s.addReasons(w.toString()));
            b.addSpots(s);
          }
        });
    book.findViolatingPlacements().forEach((attempt, why) -> b.addMisfits(misfit(attempt, why)));
    book.findImprovablePlacements(ConstraintIndex.MAX_IMPROVABLE_REPORTED)
        .forEach((attempt, why) -> b.addStrayed(misfit(attempt, why)));
    to.onNext(b.build());
    to.onCompleted();
  }

  private Misfit misfit(Object attempt, List<RejectionReason> why) {
    List<String> named = books.named(attempt);
    return Misfit.newBuilder()
        .setVm(named.get(0))
        .setMachine(named.get(1))
        .addAllReasons(why.stream().map(RejectionReason::toString).toList())
        .build();
  }
}
