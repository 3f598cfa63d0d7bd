package fordridge.server.json;

import fordridge.json.MachineListEvent;
import fordridge.machine.ConnectFailure;
import fordridge.machine.MachineCloseReason;
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
 * Logs what becomes of each VM, by its id, in a short line a state transition, {@code vm ID EVENT
 * MACHINE DETAILS}: offered, accepted, ended, who was notified and who has acknowledged it, and how
 * each connection to a machine ended. The lines are bounded by their bytes alone, see {@link
 * LogByteBudget}, so that a busy second hides no id. Counts all transitions. Confined to the event
 * loop.
 */
final class VmLog {
  /** Reasons of lost connections are free text: beyond so many events all others count as one. */
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
            + (attempt.mayStillRun ? ", may run" : "")
            + " after "
            + now.minus(attempt.sentAt).toMillis()
            + " ms");
  }

  /** The withdrawal of an attempt was written, or waits behind earlier output. */
  void withdrawn(PlacementAttempt attempt, String machineId, boolean hasGoneOut) {
    write(
        attempt.vm.id,
        hasGoneOut ? "withdrawal sent" : "withdrawal queued",
        describe(attempt, machineId));
  }

  /** The machine accepted the VM, and its client is told. */
  void accepted(PlacementAttempt attempt, String machineId, Duration now) {
    write(
        attempt.vm.id,
        "accepted",
        describe(attempt, machineId) + " after " + now.minus(attempt.sentAt).toMillis() + " ms");
  }

  /** The machine accepted the VM, and nobody waits for it any more. */
  void acceptedTooLate(PlacementAttempt attempt, String machineId) {
    write(attempt.vm.id, "accepted too late", describe(attempt, machineId));
  }

  /** A machine accepted a VM that is not requested from it, or no longer. */
  void unknownAccepted(String vmId, String machineId) {
    write(vmId, "acceptance ignored", machineId);
  }

  /** An attempt's time is over, and its machine has shown that the VM runs. */
  void answerAwaited(PlacementAttempt attempt, String machineId) {
    write(attempt.vm.id, "answer awaited", describe(attempt, machineId));
  }

  /** The request has its final response, or nobody waits for one any more. */
  void requestEnded(String vmId, String how, String details) {
    write(vmId, how, details);
  }

  // VMs that run

  /** A VM that runs is over, by its machine's word or a conclusion of this scheduler. */
  void ended(
      PlacementAttempt attempt,
      String machineId,
      Outcome outcome,
      OutcomeReason reason,
      String notified) {
    write(
        attempt.vm.id,
        "ended",
        machineId
            + ", "
            + describe(outcome, reason)
            + (attempt.mayStillRun ? ", without the machine's word" : "")
            + ", "
            + notified);
  }

  /** A VM ran and is over, or was lost, without an answer to its placement request. */
  void endedUnanswered(
      PlacementAttempt attempt, String machineId, Outcome outcome, OutcomeReason reason) {
    write(
        attempt.vm.id,
        "ended unanswered",
        describe(attempt, machineId) + ", " + describe(outcome, reason));
  }

  /** A machine ended a VM that is not known to run there. */
  void unknownEnded(VmTermination termination, String machineId) {
    write(
        termination.vmId(),
        "unknown, ended",
        machineId + ", " + describe(termination.outcomeIfPending(), termination.reason()));
  }

  /** The machine is asked to release a VM that may run there and that nobody owns. */
  void releaseSent(String vmId, String machineId) {
    write(vmId, "release sent", machineId);
  }

  /** The machine has read or said that such a VM is released. */
  void releaseSettled(String vmId, String machineId) {
    write(vmId, "release settled", machineId);
  }

  /** A client ended a VM that runs. */
  void endedByClient(PlacementAttempt attempt, String machineId) {
    write(attempt.vm.id, "ended by its client", machineId);
  }

  /** A client hands a VM over; late after the first moments of this scheduler. */
  void handedOver(String vmId, String machineId, String result, boolean isLate, int remotePort) {
    write(
        vmId,
        isLate ? "late handover" : "handover",
        machineId + ", " + result + ", connection " + remotePort);
  }

  /** A VM is being stopped, and its client told to request it anew. */
  void migrated(String vmId, int remotePort) {
    write(vmId, "migrated", "notice sent to " + remotePort);
  }

  // Notices

  /** A termination notice that waited for a connection is sent. */
  void noticeSentLate(TerminationNotice notice, int remotePort) {
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

  /** A termination notice is no longer worth sending, or gave way to later ones. */
  void noticeDropped(TerminationNotice notice, String reason) {
    write(notice.vmId(), "notice dropped", reason);
  }

  // Machines and their connections

  /** A connection to a machine came up. */
  void machineConnectionUp(String machineId, Duration openedFor) {
    count("connection up");
    writeConnection(machineId, "up", openedFor);
  }

  /** A connection to a machine did not come up. */
  void machineConnectionFailed(String machineId, ConnectFailure failure, Duration openedFor) {
    count("connection failed " + failure);
    writeConnection(machineId, "failed " + failure, openedFor);
  }

  /** A connection to a machine broke; with the requests that it carried. */
  void machineConnectionLost(
      String machineId, String reason, Duration openedFor, Collection<String> vmIds) {
    count("connection lost (" + reason.replaceAll("[:'].*", "") + ")");
    String requests = vmIds.isEmpty() ? "" : ", requests " + String.join(" ", vmIds);
    writeConnection(machineId, "lost, " + reason + requests, openedFor);
  }

  /** This scheduler closes a connection to a machine. */
  void machineConnectionClosed(String machineId, MachineCloseReason reason, Duration openedFor) {
    count("connection closed " + reason);
    writeConnection(machineId, "closed " + reason, openedFor);
  }

  /** Nothing runs on a machine any more, or it can't be told. */
  void machineFailed(String machineId, MachineFailure failure, int runningVms) {
    count("machine failed " + failure);
    if (runningVms > 0) {
      writeLine("machine " + machineId + " failed " + failure + ", running VMs " + runningVms);
    }
  }

  /** A change of the machine list came, with the machines that it names by life cycle. */
  void machineListChanged(MachineListEvent event) {
    Map<Machine.Lifecycle, StringJoiner> machines = new TreeMap<>();
    for (MachineListEvent.Entry entry : event.machines()) {
      machines.computeIfAbsent(entry.lifecycle(), key -> new StringJoiner(" ")).add(entry.id());
    }
    machines.remove(Machine.Lifecycle.LIVE);
    if (!machines.isEmpty()) {
      writeLine("machine list: " + machines);
    }
  }

  private void writeConnection(String machineId, String event, Duration openedFor) {
    writeLine("connection " + machineId + " " + event + " after " + openedFor.toMillis() + " ms");
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

  /** Lines that were left out since the start. */
  long suppressedLines() {
    return budget.exceededCount();
  }

  /** How often each transition happened since the start, for the status line. */
  String summary() {
    return "vm transitions " + counts;
  }
}
