package fordridge.server.json;

import fordridge.machine.VmTermination;
import fordridge.model.PlacementAttempt;
import fordridge.model.PlacementAttempt.Outcome;
import fordridge.model.PlacementAttempt.OutcomeReason;
import fordridge.session.PendingResponses.TerminationNotice;
import java.util.Collection;
import java.util.Map;
import java.util.TreeMap;

/**
 * Logs the state transitions of VMs that run or may run, with the ids by which they can be followed
 * at clients and machines: who ended one, who was notified, what came of a VM that is not known,
 * and why connections to machines ended. Confined to the event loop.
 */
final class VmLog {
  /** Reasons of lost connections are free text: beyond so many events all others count as one. */
  static final int MAX_COUNTED_EVENTS = 64;

  private static final String OTHER_EVENTS = "other";

  private final BoundedLog log;
  private final Map<String, Long> counts = new TreeMap<>();

  VmLog(BoundedLog log) {
    this.log = log;
  }

  /** A VM that runs is over, by its machine's word or a conclusion of this scheduler. */
  void ended(
      PlacementAttempt attempt,
      String machineId,
      Outcome outcome,
      OutcomeReason reason,
      String notified) {
    write(
        "vm ended",
        "vm "
            + attempt.vm.id
            + ", machine "
            + machineId
            + ", "
            + describe(outcome, reason)
            + (attempt.mayStillRun ? ", without the machine's word" : "")
            + ", "
            + notified);
  }

  /** A machine ended a VM that is not known to run there. */
  void unknownEnded(VmTermination termination, String machineId) {
    write(
        "unknown vm ended",
        "vm "
            + termination.vmId()
            + ", machine "
            + machineId
            + ", "
            + describe(termination.outcomeIfPending(), termination.reason()));
  }

  /** A machine accepted a VM that is not requested from it, or no longer. */
  void unknownAccepted(String vmId, String machineId) {
    write("acceptance ignored", "vm " + vmId + ", machine " + machineId);
  }

  /** A VM ran and is over, or was lost, without an answer to its placement request. */
  void endedUnanswered(
      PlacementAttempt attempt, String machineId, Outcome outcome, OutcomeReason reason) {
    write(
        "vm ended unanswered",
        "vm "
            + attempt.vm.id
            + ", machine "
            + machineId
            + ", "
            + describe(outcome, reason)
            + ", attempt "
            + attempt.number);
  }

  /** An attempt's time is over, and its machine has shown that the VM runs. */
  void answerAwaited(PlacementAttempt attempt, String machineId) {
    write(
        "answer awaited",
        "vm " + attempt.vm.id + ", machine " + machineId + ", attempt " + attempt.number);
  }

  /** A client ended a VM that runs. */
  void endedByClient(PlacementAttempt attempt, String machineId) {
    write("vm ended by its client", "vm " + attempt.vm.id + ", machine " + machineId);
  }

  /** A client hands a VM over after the first moments of this scheduler. */
  void lateHandover(String vmId, String machineId, String result) {
    write("late handover", "vm " + vmId + ", machine " + machineId + ", " + result);
  }

  /** A termination notice was not acknowledged in time and is sent on another connection. */
  void noticeResent(TerminationNotice notice, int remotePort) {
    write("notice resent", "vm " + notice.vmId() + ", to " + remotePort);
  }

  /** A client's connection closed, with VMs that run on. */
  void clientLeft(int remotePort, int runningVms) {
    write("client left", "connection " + remotePort + ", running VMs " + runningVms);
  }

  /** A termination notice is no longer worth sending, or gave way to later ones. */
  void noticeDropped(TerminationNotice notice, String reason) {
    write("notice dropped", "vm " + notice.vmId() + ", " + reason);
  }

  /** A connection to a machine ended; with the requests that it carried. */
  void machineConnectionLost(String machineId, String reason, Collection<String> vmIds) {
    count("machine connection lost (" + reason.replaceAll("[:'].*", "") + ")");
    if (!vmIds.isEmpty()) {
      log.write(
          "machine connection lost",
          "machine " + machineId + ", " + reason + ", requests " + String.join(" ", vmIds));
    }
  }

  private static String describe(Outcome outcome, OutcomeReason reason) {
    return outcome + (reason == OutcomeReason.UNSPECIFIED ? "" : " " + reason);
  }

  private void write(String event, String details) {
    count(event);
    log.write(event, details);
  }

  private void count(String event) {
    boolean hasOwnCount = counts.containsKey(event) || counts.size() < MAX_COUNTED_EVENTS;
    counts.merge(hasOwnCount ? event : OTHER_EVENTS, 1L, Long::sum);
  }

  /** How often each transition happened since the start, for the status line. */
  String summary() {
    return "vm transitions " + counts;
  }
}
