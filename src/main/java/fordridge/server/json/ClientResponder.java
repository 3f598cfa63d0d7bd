package fordridge.server.json;

import fordridge.json.ClientConnection;
import fordridge.json.TerminationCause;
import fordridge.model.PlacementAttempt.Outcome;
import fordridge.model.Vm;
import fordridge.session.PendingResponses;
import fordridge.session.PendingResponses.AddressedNotice;
import fordridge.session.PendingResponses.TerminationNotice;
import java.time.Duration;
import java.util.Optional;

/**
 * Sends each response and termination notice on the connection that {@link PendingResponses} names
 * for it. Confined to the event loop.
 */
final class ClientResponder {
  private final PendingResponses<ClientConnection> pending;
  private final VmLog log;

  ClientResponder(PendingResponses<ClientConnection> pending, VmLog log) {
    this.pending = pending;
    this.log = log;
  }

  void accept(Vm vm, String description) {
    Optional<ClientConnection> client = pending.takeAccepted(vm.id);
    if (client.isPresent()) {
      client.get().sendAccepted(vm.id, description);
    }
  }

  /** Rejects the request; it may be repeated after {@code retryAfter}, zero: no advice. */
  void reject(Vm vm, Duration retryAfter) {
    Optional<ClientConnection> client = pending.takeDeclined(vm.id);
    if (client.isPresent()) {
      client.get().sendRejected(vm.id, retryAfter);
    }
  }

  /** Fails the request, without a promise on whether the VM ran. */
  void fail(Vm vm) {
    Optional<ClientConnection> client = pending.takeDeclined(vm.id);
    if (client.isPresent()) {
      client.get().sendTerminated(vm.id, TerminationCause.FAILED);
    }
  }

  /** A running VM is over. What became of its notice, for the log. */
  String notifyTerminated(Vm vm, Outcome outcome, Duration now) {
    boolean isOwn = pending.hasOwnConnection(vm.id);
    Optional<ClientConnection> client = pending.vmTerminated(vm.id, outcome, now);
    if (client.isEmpty()) {
      return pending.isNoticeUndelivered(vm.id) ? "waits for a connection" : "not owed";
    }
    client.get().sendTerminated(vm.id, causeOf(outcome));
    return "sent to " + client.get().remotePort() + (isOwn ? "" : ", not its own connection");
  }

  /** A running VM is being stopped for its client to request it anew; needs no acknowledgement. */
  void notifyMigrated(Vm vm, Duration now) {
    Optional<ClientConnection> client = pending.vmTerminated(vm.id, Outcome.RESET, now);
    if (client.isPresent()) {
      log.migrated(vm.id, client.get().remotePort());
      client.get().sendMigration(vm.id);
      pending.noticeAcknowledged(vm.id, client.get());
    }
  }

  /** Sends the notices that have waited for a connection, if one is open now. */
  void sendDeferredNotices(Duration now) {
    expireNotices(now);
    for (AddressedNotice<ClientConnection> due : pending.takeDeferredNotices(now)) {
      log.noticeSentLate(due.notice(), due.connection().remotePort());
      due.connection().sendTerminated(due.notice().vmId(), causeOf(due.notice().outcome()));
    }
  }

  /** Sends the notices again that were not acknowledged in time, on other connections. */
  void resendOverdueNotices(Duration now) {
    for (AddressedNotice<ClientConnection> due : pending.takeOverdueNotices(now)) {
      log.noticeResent(due.notice(), due.connection().remotePort());
      due.connection().sendTerminated(due.notice().vmId(), causeOf(due.notice().outcome()));
    }
  }

  /** Drops the notices that are no longer worth sending. */
  void expireNotices(Duration now) {
    for (TerminationNotice expired : pending.expireNotices(now)) {
      log.noticeDropped(expired, "not acknowledged in its time");
    }
  }

  private static TerminationCause causeOf(Outcome outcome) {
    return outcome == Outcome.DONE ? TerminationCause.DONE : TerminationCause.RESET;
  }
}
