package fordridge.server.json;

import fordridge.json.MachineListEvent;
import fordridge.machine.ConnectFailure;
import fordridge.machine.MachineConnectionCloseReason;
import fordridge.machine.MachineFailure;
import fordridge.machine.VmTermination;
import fordridge.model.Machine;
import fordridge.model.PlacementAttempt;
import fordridge.model.PlacementAttempt.Outcome;
import fordridge.model.PlacementAttempt.OutcomeReason;
import fordridge.session.PendingResponses.TerminationNotice;
import java.time.Duration;
import java.util.Collection;
import java.util.Map;
import java.util.StringJoiner;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * Logs the state transitions of each VM by its id, each in a short line {@code vm ID EVENT:
 * DETAILS}: that it was offered, accepted and ended, which client was notified and has acknowledged
 * the notice. Also logs the events of each connection to a machine. The lines are limited by their
 * bytes alone, see {@link LogByteBudget}, so that all ids of a busy second are logged. Counts all
 * transitions. Confined to the event loop.
 */
final class VmLog {
  /**
   * How many events are counted apart; all others are counted as one. The reasons of lost
   * connections are free text, so that there is no other bound.
   */
  static final int MAX_COUNTED_EVENTS = 64;

  private static final String OTHER_EVENTS = "other";

  private final Consumer<String> log;
  private final LogByteBudget budget;
  private final Map<String, Long> counts = new TreeMap<>();

  VmLog(Consumer<String> log, LongSupplier nanoTime) {
    this.log = log;
    budget = new LogByteBudget(nanoTime);
  }

  // Requests and attempts

  /** The offer of an attempt is being written to its machine. */
  void offered(PlacementAttempt attempt, String machineId) {
    write(attempt.vm.id, "offered", machineId + " #" + attempt.number);
  }

  /** An attempt ended without having been accepted; one that was never sent is only counted. */
  void attemptEnded(
      PlacementAttempt attempt,
      String machineId,
      Outcome outcome,
      OutcomeReason reason,
      Duration now) {
    if (outcome == Outcome.NOT_SENT) {
      count("attempt not sent");
      return;
    }
    write(
        attempt.vm.id,
        "attempt ended",
        describe(attempt, machineId)
            + ", "
            + describe(outcome, reason)
            + (attempt.mayStillRun ? ", may still run" : "")
            + " after "
            + now.minus(attempt.sentAt).toMillis()
            + " ms");
  }

  /** The withdrawal of an attempt was sent, or is queued behind earlier output. */
  void withdrawn(PlacementAttempt attempt, String machineId, boolean isFlushed) {
    write(
        attempt.vm.id,
        isFlushed ? "withdrawal sent" : "withdrawal queued",
        describe(attempt, machineId));
  }

  /** The machine accepted the VM, and the acceptance is sent to its client. */
  void accepted(PlacementAttempt attempt, String machineId, Duration now) {
    write(
        attempt.vm.id,
        "accepted",
        describe(attempt, machineId) + " after " + now.minus(attempt.sentAt).toMillis() + " ms");
  }

  /** The machine accepted the VM when no client waited for it any more. */
  void acceptedTooLate(PlacementAttempt attempt, String machineId) {
    write(attempt.vm.id, "accepted too late", describe(attempt, machineId));
  }

  /** A machine accepted a VM that is not or no longer requested from it. */
  void unknownVmAccepted(String vmId, String machineId) {
    write(vmId, "acceptance ignored", machineId);
  }

  /** An attempt timed out, but its machine has shown that the VM runs. */
  void lateAnswerAwaited(PlacementAttempt attempt, String machineId) {
    write(attempt.vm.id, "late answer awaited", describe(attempt, machineId));
  }

  /** The request has its final response, or its client does not wait for one any more. */
  void requestEnded(String vmId, String event, String details) {
    write(vmId, event, details);
  }

  // Running VMs

  /** A running VM has ended, as its machine has reported or this scheduler has concluded. */
  void ended(
      PlacementAttempt attempt,
      String machineId,
      Outcome outcome,
      OutcomeReason reason,
      String noticeStatus) {
    write(
        attempt.vm.id,
        "ended",
        machineId
            + ", "
            + describe(outcome, reason)
            + (attempt.mayStillRun ? ", not confirmed by the machine" : "")
            + ", "
            + noticeStatus);
  }

  /** A VM ran and has ended, or was lost, without an answer to its placement request. */
  void endedUnanswered(
      PlacementAttempt attempt, String machineId, Outcome outcome, OutcomeReason reason) {
    write(
        attempt.vm.id,
        "ended unanswered",
        describe(attempt, machineId) + ", " + describe(outcome, reason));
  }

  /** A machine reported the end of a VM that is not known to run there. */
  void unknownVmTerminated(VmTermination termination, String machineId) {
    write(
        termination.vmId(),
        "unknown VM ended",
        machineId + ", " + describe(termination.outcomeIfPending(), termination.reason()));
  }

  /** The machine is asked to release a VM that may run there and that nobody owns. */
  void releaseSent(String vmId, String machineId) {
    write(vmId, "release sent", machineId);
  }

  /** The machine has read the release of such a VM, or has confirmed it. */
  void releaseSettled(String vmId, String machineId) {
    write(vmId, "release settled", machineId);
  }

  /** A client ended a running VM. */
  void terminatedByClient(PlacementAttempt attempt, String machineId) {
    write(attempt.vm.id, "ended by the client", machineId);
  }

  /**
   * A client handed a running VM over; it is late if the handover window after the start has
   * passed.
   */
  void handedOver(String vmId, String machineId, String result, boolean isLate, int remotePort) {
    write(
        vmId,
        isLate ? "late handover" : "handover",
        machineId + ", " + result + ", connection " + remotePort);
  }

  /** A VM is being stopped, and its client was notified to request it again. */
  void migrated(String vmId, int remotePort) {
    write(vmId, "migrated", "notice sent to " + remotePort);
  }

  // Notices

  /** A deferred termination notice is sent. */
  void deferredNoticeSent(TerminationNotice notice, int remotePort) {
    write(notice.vmId(), "deferred notice sent", "to " + remotePort);
  }

  /** A termination notice was not acknowledged in time and is sent on another connection. */
  void noticeResent(TerminationNotice notice, int remotePort) {
    write(notice.vmId(), "notice resent", "to " + remotePort);
  }

  /** A client has acknowledged a termination notice. */
  void noticeAcknowledged(String vmId, int remotePort) {
    write(vmId, "notice acknowledged", "by " + remotePort);
  }

  /** A termination notice has expired, or was displaced by newer ones. */
  void noticeDropped(TerminationNotice notice, String reason) {
    write(notice.vmId(), "notice dropped", reason);
  }

  // Machines and their connections

  /** A connection to a machine was established. */
  void machineConnectionUp(String machineId, Duration openFor) {
    count("connection up");
    writeConnection(machineId, "up", openFor);
  }

  /** A connection to a machine could not be established. */
  void machineConnectionFailed(String machineId, ConnectFailure failure, Duration openFor) {
    count("connection failed " + failure);
    writeConnection(machineId, "failed " + failure, openFor);
  }

  /** A connection to a machine was lost, with the requests that it carried. */
  void machineConnectionLost(
      String machineId, String reason, Duration openFor, Collection<String> vmIds) {
    count("connection lost (" + reason.replaceAll("[:'].*", "") + ")");
    String requests = vmIds.isEmpty() ? "" : ", requests " + String.join(" ", vmIds);
    writeConnection(machineId, "lost, " + reason + requests, openFor);
  }

  /** This scheduler closes a connection to a machine. */
  void machineConnectionClosed(
      String machineId, MachineConnectionCloseReason reason, Duration openFor) {
    count("connection closed " + reason);
    writeConnection(machineId, "closed " + reason, openFor);
  }

  /** A machine has failed: nothing runs there any more, or it is unreachable. */
  void machineFailed(String machineId, MachineFailure failure, int runningVms) {
    count("machine failed " + failure);
    if (runningVms > 0) {
      writeLine("machine " + machineId + " failed " + failure + ", running VMs " + runningVms);
    }
  }

  /** The machine list changed; logs the machines that are not live, by life cycle. */
  void machineListChanged(MachineListEvent event) {
    Map<Machine.Lifecycle, StringJoiner> machineIdsByLifecycle = new TreeMap<>();
    for (MachineListEvent.MachineEntry entry : event.machines()) {
      machineIdsByLifecycle
          .computeIfAbsent(entry.lifecycle(), key -> new StringJoiner(" "))
          .add(entry.id());
    }
    machineIdsByLifecycle.remove(Machine.Lifecycle.LIVE);
    if (!machineIdsByLifecycle.isEmpty()) {
      writeLine("machine list: " + machineIdsByLifecycle);
    }
  }

  private void writeConnection(String machineId, String event, Duration openFor) {
    writeLine("connection " + machineId + " " + event + " after " + openFor.toMillis() + " ms");
  }

  private static String describe(PlacementAttempt attempt, String machineId) {
    return machineId + " #" + attempt.number;
  }

  private static String describe(Outcome outcome, OutcomeReason reason) {
    return outcome + (reason == OutcomeReason.UNSPECIFIED ? "" : " " + reason);
  }

  private void write(String vmId, String event, String details) {
    count(event);
    writeLine("vm " + vmId + " " + event + ": " + details);
  }

  private void writeLine(String line) {
    if (budget.take(line.length())) {
      log.accept(line);
    }
  }

  private void count(String event) {
    boolean hasOwnCount = counts.containsKey(event) || counts.size() < MAX_COUNTED_EVENTS;
    counts.merge(hasOwnCount ? event : OTHER_EVENTS, 1L, Long::sum);
  }

  /** The number of lines suppressed since the start. */
  long suppressedLines() {
    return budget.exceededCount();
  }

  /** How often each transition happened since the start, for the status line. */
  String summary() {
    return "vm transitions " + counts;
  }
}
