package fordridge.grpc;

import fordridge.machine.AttemptId;
import fordridge.machine.ReportedVm;
import fordridge.model.PlacementAttempt.Outcome;
import fordridge.model.PlacementAttempt.OutcomeReason;
import fordridge.session.ClientResponse;
import fordridge.session.ClientSession;
import fordridge.v1.Bound;
import fordridge.v1.ClaimName;
import fordridge.v1.Denied;
import fordridge.v1.Ended;
import fordridge.v1.Errored;
import fordridge.v1.Finished;
import fordridge.v1.Held;
import fordridge.v1.Moved;
import fordridge.v1.PlacerMessage;
import fordridge.v1.Refused;
import java.time.Duration;

/** Converts between protocol messages and the types of the scheduler. */
final class ProtoConversions {
  private static final long NANOS_PER_MICRO = 1000;

  private ProtoConversions() {}

  /** The duration in whole microseconds, rounded down; 0 for a negative one. */
  static long toMicros(Duration duration) {
    return duration.isNegative() ? 0 : duration.toNanos() / NANOS_PER_MICRO;
  }

  static AttemptId toAttemptId(ClaimName name) {
    return new AttemptId(name.getVm(), name.getNumber());
  }

  static ClaimName toClaimName(AttemptId id) {
    return ClaimName.newBuilder().setVm(id.vmId()).setNumber(id.number()).build();
  }

  static ReportedVm toReportedVm(Held held) {
    ReportedVm.State state =
        switch (held.getState()) {
          case RUNNING -> ReportedVm.State.RUNNING;
          case ENDED -> ReportedVm.State.ENDED;
          case REFUSED -> ReportedVm.State.REJECTED;
          default -> ReportedVm.State.QUEUED;
        };
    return new ReportedVm(
        toAttemptId(held.getClaim()),
        state,
        held.getFlavour(),
        held.getService(),
        held.getCustomer(),
        held.getCores(),
        held.getMemory(),
        held.getClient());
  }

  static OutcomeReason toOutcomeReason(Refused.Reason reason) {
    return switch (reason) {
      case NO_CORES -> OutcomeReason.INSUFFICIENT_CORES;
      case NO_MEMORY -> OutcomeReason.INSUFFICIENT_MEMORY;
      case LINE_FULL -> OutcomeReason.QUEUE_FULL;
      case NOT_HERE -> OutcomeReason.NOT_ELIGIBLE;
      default -> OutcomeReason.UNSPECIFIED;
    };
  }

  static Outcome toOutcome(Finished finished) {
    return switch (finished.getHow()) {
      case DONE -> Outcome.DONE;
      case CANCELLED -> finished.getRan() ? Outcome.CANCELLED : Outcome.NOT_SENT;
      case EVICTED, PUSHED_OUT, SENT_AWAY -> finished.getRan() ? Outcome.RESET : Outcome.FULL;
      default -> Outcome.ERROR;
    };
  }

  static OutcomeReason toOutcomeReason(Finished.How how) {
    return switch (how) {
      case EVICTED -> OutcomeReason.EVICTED;
      case PUSHED_OUT -> OutcomeReason.PREEMPTED;
      case SENT_AWAY -> OutcomeReason.DRAINED;
      default -> OutcomeReason.UNSPECIFIED;
    };
  }

  static PlacerMessage toPlacerMessage(ClientSession.NumberedResponse numbered) {
    PlacerMessage.Builder message = PlacerMessage.newBuilder().setSeq(numbered.sequence());
    ClientResponse response = numbered.response();
    if (response instanceof ClientResponse.Accepted accepted) {
      message.setBound(
          Bound.newBuilder()
              .setVm(accepted.vm())
              .setMachine(accepted.machine())
              .setClaim(accepted.attemptNumber())
              .setTookUs(toMicros(accepted.startLatency())));
    } else if (response instanceof ClientResponse.Rejected rejected) {
      message.setDenied(
          Denied.newBuilder()
              .setVm(rejected.vm())
              .setRetryAfterUs(toMicros(rejected.retryAfter()))
              .setReason(rejected.reason()));
    } else if (response instanceof ClientResponse.Failed failed) {
      message.setErrored(Errored.newBuilder().setVm(failed.vm()).setReason(failed.reason()));
    } else if (response instanceof ClientResponse.Terminated terminated) {
      setTermination(message, terminated);
    }
    return message.build();
  }

  private static void setTermination(
      PlacerMessage.Builder message, ClientResponse.Terminated terminated) {
    String vm = terminated.vm();
    switch (terminated.cause()) {
      case MIGRATED -> message.setMoved(Moved.newBuilder().setVm(vm));
      case COMPLETED -> message.setEnded(ended(vm, Ended.How.DONE));
      case EVICTED -> message.setEnded(ended(vm, Ended.How.EVICTED));
      case PREEMPTED -> message.setEnded(ended(vm, Ended.How.PUSHED_OUT));
      case DRAINED -> message.setEnded(ended(vm, Ended.How.SENT_AWAY));
      case LOST -> message.setEnded(ended(vm, Ended.How.LOST));
      case EXITED_WITH_ERROR -> message.setEnded(ended(vm, Ended.How.ERROR));
    }
  }

  private static Ended.Builder ended(String vm, Ended.How how) {
    return Ended.newBuilder().setVm(vm).setHow(how);
  }
}
