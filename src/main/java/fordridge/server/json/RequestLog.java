package fordridge.server.json;

import fordridge.model.HostedService;
import fordridge.model.PlacementAttempt;
import fordridge.model.PlacementAttempt.Outcome;
import fordridge.model.PlacementAttempt.OutcomeReason;
import fordridge.model.Vm;
import fordridge.scheduling.OfferObstacle;
import java.time.Duration;
import java.util.Collection;
import java.util.EnumMap;
import java.util.Map;
import java.util.StringJoiner;
import java.util.function.Consumer;

/**
 * Logs the state transitions of requests that took long or did not end with a VM, with the ids by
 * which they can be followed at clients and machines, and counts all transitions. Lines are
 * bounded, see {@link BoundedLog}. Confined to the event loop.
 */
final class RequestLog {
  /** What became of a VM that a client handed over. */
  enum Handover {
    ADOPTED,
    /** It is known to run: its client has come on another connection. */
    REBOUND,
    /** Its request is pending on the same connection. */
    PENDING_HERE,
    /** It names no machine. */
    WITHOUT_MACHINE
  }

  /** An offer that is written later than this after its request was read is logged. */
  private static final Duration SLOW_OFFER = Duration.ofMillis(100);

  private final BoundedLog log;
  private final VmLog vms;
  private final Map<Handover, Long> handovers = new EnumMap<>(Handover.class);
  private final Map<Outcome, Long> outcomesBeforeAcceptance = new EnumMap<>(Outcome.class);
  private final Map<OfferObstacle, Long> withdrawnOffers = new EnumMap<>(OfferObstacle.class);
  private Duration slowestOffer = Duration.ZERO;
  private long offers;
  private long rejected;
  private long failed;
  private long abandoned;

  RequestLog(Consumer<String> log) {
    this.log = new BoundedLog(log);
    vms = new VmLog(log, System::nanoTime);
  }

  /** Where the state transitions of VMs that run are logged. */
  VmLog vms() {
    return vms;
  }

  /** A client handed over a VM that runs on the machine. */
  void handoverReceived(Vm vm, String machineId, Handover result) {
    handovers.merge(result, 1L, Long::sum);
    if (result == Handover.PENDING_HERE || result == Handover.WITHOUT_MACHINE) {
      write("handover ignored", vm, "machine " + machineId + ", " + result);
    }
  }

  /** The offer of an attempt is being written to its machine. */
  void offerWritten(Vm vm, String machineId, HostedService hosted, Duration now) {
    offers++;
    if (vm.lastAttempt() != null) {
      vms.offered(vm.lastAttempt(), machineId);
    }
    Duration underway = now.minus(vm.arrivedAt);
    if (underway.compareTo(slowestOffer) > 0) {
      slowestOffer = underway;
    }
    if (underway.compareTo(SLOW_OFFER) > 0 && vm.lastAttempt() != null) {
      Duration sinceDecision = now.minus(vm.lastAttempt().sentAt);
      write(
          "slow offer",
          vm,
          "machine "
              + machineId
              + ", written "
              + underway.toMillis()
              + " ms after it was read, "
              + sinceDecision.toMillis()
              + " ms after it was decided, hosted there of the service "
              + (hosted == null ? 0 : hosted.count));
    }
  }

  /** An attempt that was decided may not be sent any more. */
  void offerWithdrawn(
      PlacementAttempt attempt, String machineId, OfferObstacle obstacle, Duration now) {
    withdrawnOffers.merge(obstacle, 1L, Long::sum);
    write(
        "offer not sent",
        attempt.vm,
        "machine "
            + machineId
            + ", "
            + obstacle
            + ", "
            + now.minus(attempt.sentAt).toMillis()
            + " ms after it was decided");
  }

  /** An attempt ended without having been accepted. */
  void attemptEnded(
      PlacementAttempt attempt,
      String machineId,
      Outcome outcome,
      OutcomeReason reason,
      Duration now) {
    outcomesBeforeAcceptance.merge(outcome, 1L, Long::sum);
    vms.attemptEnded(attempt, machineId, outcome, reason, now);
  }

  /** The client was told that its request is rejected. */
  void rejected(Vm vm, Duration now) {
    rejected++;
    vms.requestEnded(vm.id, "rejected", describeWait(vm, now));
  }

  /** The client was told that its request has failed. */
  void failed(Vm vm, Duration now) {
    failed++;
    vms.requestEnded(vm.id, "failed", describeWait(vm, now));
  }

  /** The client's connection closed under these requests. */
  void abandoned(Collection<String> vmIds) {
    abandoned += vmIds.size();
    vmIds.forEach(vmId -> vms.requestEnded(vmId, "abandoned", "its client's connection closed"));
  }

  /** The client withdrew its request. */
  void withdrawnByClient(String vmId) {
    abandoned++;
    vms.requestEnded(vmId, "abandoned", "withdrawn by its client");
  }

  /** A request was rejected, as the maximum number is pending. */
  void overCapacity(Vm vm) {
    rejected++;
    vms.requestEnded(vm.id, "rejected", "too many are pending");
  }

  /** A client's connection closed, with VMs that run on. */
  void clientLeft(int remotePort, int runningVms) {
    log.write("client left", "connection " + remotePort + ", running VMs " + runningVms);
  }

  private static String describeWait(Vm vm, Duration now) {
    StringJoiner outcomes = new StringJoiner(" ", "[", "]");
    for (PlacementAttempt attempt : vm.attempts) {
      outcomes.add(attempt.outcome == null ? "IN_FLIGHT" : attempt.outcome.name());
    }
    return "after "
        + now.minus(vm.arrivedAt).toMillis()
        + " ms, "
        + vm.deadline.minus(now).toMillis()
        + " ms left, attempts "
        + outcomes;
  }

  private void write(String event, Vm vm, String details) {
    log.write(
        event,
        "vm "
            + vm.id
            + ", class "
            + vm.priorityClass
            + ", service "
            + Long.toHexString(vm.service)
            + ", "
            + details);
  }

  /** The counts since the start and the slowest offer since the last call, for the status line. */
  String takeSummary() {
    String summary =
        "handovers "
            + handovers
            + ", offers written "
            + offers
            + ", slowest "
            + slowestOffer.toMillis()
            + " ms after its request, not sent "
            + withdrawnOffers
            + ", attempts ended before acceptance "
            + outcomesBeforeAcceptance
            + ", rejected "
            + rejected
            + ", failed "
            + failed
            + ", abandoned "
            + abandoned
            + ", log lines left out "
            + (log.suppressedLines() + vms.suppressedLines())
            + ", "
            + vms.summary();
    slowestOffer = Duration.ZERO;
    log.startPeriod();
    return summary;
  }
}
