package fordridge.server.json;

import fordridge.json.ClientConnection;
import fordridge.json.TerminationCode;
import fordridge.model.PlacementAttempt.Outcome;
import fordridge.model.Vm;
import fordridge.session.PendingResponses;
import fordridge.session.PendingResponses.AddressedNotice;
import fordridge.session.PendingResponses.TerminationNotice;
import java.time.Duration;
import java.util.Optional;

/**
 * Sends each response and termination notice on the connection that {@link PendingResponses}
 * selects for it. Confined to the event loop.
 */
final class ClientResponder {
  private final PendingResponses<ClientConnection> pending;
  private final VmLog log;

  ClientResponder(PendingResponses<ClientConnection> pending, VmLog log) {
    this.pending = pending;
    this.log = log;
  }

  /** Whether input of the VM's client is left unread for a while, so that it may have left. */
  boolean isInputDelayed(Vm vm) {
    return pending.connectionOf(vm.id).filter(ClientConnection::isInputDelayed).isPresent();
  }

  void sendAccepted(Vm vm, String description) {
    Optional<ClientConnection> client = pending.takeAccepted(vm.id);
    if (client.isPresent()) {
      client.get().sendAccepted(vm.id, description);
    }
  }

  /** Rejects the request; {@code retryAfter} tells the client when to retry, unless it is zero. */
  void sendRejected(Vm vm, Duration retryAfter) {
    Optional<ClientConnection> client = pending.takeUnaccepted(vm.id);
    if (client.isPresent()) {
      client.get().sendRejected(vm.id, retryAfter);
    }
  }

  /** Fails the request; the VM may have run. */
  void sendFailed(Vm vm) {
    Optional<ClientConnection> client = pending.takeUnaccepted(vm.id);
    if (client.isPresent()) {
      client.get().sendTerminated(vm.id, TerminationCode.FAILED);
    }
  }

  /**
   * Sends the termination notice of a running VM that has ended. Returns what happened to the
   * notice, for the log.
   */
  String notifyTerminated(Vm vm, Outcome outcome, Duration now) {
    boolean isClientConnected = pending.isClientConnected(vm.id);
    Optional<ClientConnection> client = pending.vmTerminated(vm.id, outcome, now);
    if (client.isEmpty()) {
      return pending.isNoticeUndelivered(vm.id)
          ? "deferred, no connection available"
          : "not needed";
    }
    client.get().sendTerminated(vm.id, causeOf(outcome));
    return "sent to "
        + client.get().remotePort()
        + (isClientConnected ? "" : ", on another connection");
  }

  /**
   * Notifies the client of a running VM that the VM is being stopped and has to be requested again.
   * The notice needs no acknowledgement.
   */
  void notifyMigrated(Vm vm, Duration now) {
    Optional<ClientConnection> client = pending.vmTerminated(vm.id, Outcome.RESET, now);
    if (client.isPresent()) {
      log.migrated(vm.id, client.get().remotePort());
      client.get().sendMigration(vm.id);
      pending.noticeAcknowledged(vm.id, client.get());
    }
  }

  /** Sends the deferred notices, if a connection is open now. */
  void sendDeferredNotices(Duration now) {
    expireNotices(now);
    for (AddressedNotice<ClientConnection> due : pending.takeDeferredNotices(now)) {
      log.deferredNoticeSent(due.notice(), due.connection().remotePort());
      due.connection().sendTerminated(due.notice().vmId(), causeOf(due.notice().outcome()));
    }
  }

  /** Resends the notices that were not acknowledged in time, on other connections. */
  void resendOverdueNotices(Duration now) {
    for (AddressedNotice<ClientConnection> due : pending.takeOverdueNotices(now)) {
      log.noticeResent(due.notice(), due.connection().remotePort());
      due.connection().sendTerminated(due.notice().vmId(), causeOf(due.notice().outcome()));
    }
  }

  /** Drops the notices that have expired. */
  void expireNotices(Duration now) {
    for (TerminationNotice expired : pending.expireNotices(now)) {
      log.noticeDropped(expired, "expired without an acknowledgement");
    }
  }

  private static TerminationCode causeOf(Outcome outcome) {
    return outcome == Outcome.DONE ? TerminationCode.DONE : TerminationCode.RESET;
  }
}
