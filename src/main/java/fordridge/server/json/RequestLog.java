package fordridge.server.json;

import fordridge.model.HostedService;
import fordridge.model.PlacementAttempt;
import fordridge.model.PlacementAttempt.Outcome;
import fordridge.model.PlacementAttempt.OutcomeReason;
import fordridge.model.Vm;
import fordridge.scheduling.NotSentReason;
import java.time.Duration;
import java.util.Collection;
import java.util.EnumMap;
import java.util.Map;
import java.util.StringJoiner;
import java.util.function.Consumer;

/**
 * Logs the state transitions of requests that took long or did not lead to a VM, with the ids that
 * clients and machines log as well, and counts all transitions. The number of lines is limited, see
 * {@link BoundedLog}. Confined to the event loop.
 */
final class RequestLog {
  /** The result of a client's handover of a running VM. */
  enum Handover {
    ADOPTED,
    /** The VM is known to run; its client uses another connection from now on. */
    REBOUND,
    /** The request for the VM is pending on the same connection. */
    PENDING_HERE,
    /** The handover names no machine. */
    WITHOUT_MACHINE,
    /** Too many VMs are known, of all clients or of this one. */
    TOO_MANY_VMS,
    /** The machine is not listed, and too many such machines are known, or its id is too long. */
    UNKNOWN_MACHINE
  }

  /** An offer is logged as slow if it is written later than this after its request was read. */
  private static final Duration SLOW_OFFER_THRESHOLD = Duration.ofMillis(100);

  private final BoundedLog log;
  private final VmLog vmLog;
  private final Map<Handover, Long> handovers = new EnumMap<>(Handover.class);
  private final Map<Outcome, Long> outcomesBeforeAcceptance = new EnumMap<>(Outcome.class);
  private final Map<NotSentReason, Long> withdrawnOffers = new EnumMap<>(NotSentReason.class);
  private Duration maxOfferDelay = Duration.ZERO;
  private long writtenOffers;
  private long rejected;
  private long failed;
  private long abandoned;

  RequestLog(Consumer<String> log) {
    this.log = new BoundedLog(log);
    vmLog = new VmLog(log, System::nanoTime);
  }

  /** The log of the state transitions of each VM. */
  VmLog vmLog() {
    return vmLog;
  }

  /** A client handed over a VM that runs on the machine. */
  void handoverReceived(Vm vm, String machineId, Handover result) {
    handovers.merge(result, 1L, Long::sum);
    if (result != Handover.ADOPTED && result != Handover.REBOUND) {
      write("handover ignored", vm, "machine " + machineId + ", " + result);
    }
  }

  /** The offer of an attempt is being written to its machine. */
  void offerWritten(Vm vm, String machineId, HostedService hostedService, Duration now) {
    writtenOffers++;
    if (vm.lastAttempt() != null) {
      vmLog.offered(vm.lastAttempt(), machineId);
    }
    Duration sinceArrival = now.minus(vm.arrivedAt);
    if (sinceArrival.compareTo(maxOfferDelay) > 0) {
      maxOfferDelay = sinceArrival;
    }
    if (sinceArrival.compareTo(SLOW_OFFER_THRESHOLD) > 0 && vm.lastAttempt() != null) {
      Duration sinceDecision = now.minus(vm.lastAttempt().sentAt);
      write(
          "slow offer",
          vm,
          "machine "
              + machineId
              + ", written "
              + sinceArrival.toMillis()
              + " ms after the request was read, "
              + sinceDecision.toMillis()
              + " ms after the decision, VMs of the service on the machine "
              + (hostedService == null ? 0 : hostedService.count));
    }
  }

  /** An attempt was decided on, but must not be sent any more. */
  void offerWithdrawn(
      PlacementAttempt attempt, String machineId, NotSentReason reason, Duration now) {
    withdrawnOffers.merge(reason, 1L, Long::sum);
    write(
        "offer not sent",
        attempt.vm,
        "machine "
            + machineId
            + ", "
            + reason
            + ", "
            + now.minus(attempt.sentAt).toMillis()
            + " ms after the decision");
  }

  /** An attempt ended without having been accepted. */
  void attemptEnded(
      PlacementAttempt attempt,
      String machineId,
      Outcome outcome,
      OutcomeReason reason,
      Duration now) {
    outcomesBeforeAcceptance.merge(outcome, 1L, Long::sum);
    vmLog.attemptEnded(attempt, machineId, outcome, reason, now);
  }

  /** The rejection of the request was sent to its client. */
  void rejected(Vm vm, Duration now) {
    rejected++;
    vmLog.requestEnded(vm.id, "rejected", describeWait(vm, now));
  }

  /** The failure of the request was sent to its client. */
  void failed(Vm vm, Duration now) {
    failed++;
    vmLog.requestEnded(vm.id, "failed", describeWait(vm, now));
  }

  /** The client's connection closed while these requests were pending. */
  void abandoned(Collection<String> vmIds) {
    abandoned += vmIds.size();
    vmIds.forEach(vmId -> vmLog.requestEnded(vmId, "abandoned", "client connection closed"));
  }

  /** The client withdrew its request. */
  void withdrawnByClient(String vmId) {
    abandoned++;
    vmLog.requestEnded(vmId, "abandoned", "withdrawn by the client");
  }

  /** A request was rejected, as the maximum number of requests is pending. */
  void overCapacity(Vm vm) {
    rejected++;
    vmLog.requestEnded(vm.id, "rejected", "too many requests are pending");
  }

  /** A request was rejected, as the memory for requests and VMs is used up. */
  void outOfMemory(Vm vm, long bytes, String held) {
    rejected++;
    vmLog.requestEnded(vm.id, "rejected", "memory for requests and VMs is used up");
    log.write("request rejected for memory", "bytes " + bytes + ", " + held);
  }

  /** A client's connection closed while VMs of the client run. */
  void clientLeft(int remotePort, int runningVms) {
    log.write("client disconnected", "connection " + remotePort + ", running VMs " + runningVms);
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
            + writtenOffers
            + ", slowest "
            + maxOfferDelay.toMillis()
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
            + (log.suppressedLines() + vmLog.suppressedLines())
            + ", "
            + vmLog.summary();
    maxOfferDelay = Duration.ZERO;
    log.startPeriod();
    return summary;
  }
}
