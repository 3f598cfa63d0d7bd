package fordridge.machine;

import java.time.Duration;

/**
 * Sends the placement requests that are queued on a connection, or withdraws them. A request that
 * was sent can't be taken back. Stateless; not thread-safe.
 */
final class PlacementRequestSender {
  private final VmExecutions executions;
  private final MachineTransport transport;
  private final MachineConnectionListener listener;

  PlacementRequestSender(
      VmExecutions executions, MachineTransport transport, MachineConnectionListener listener) {
    this.executions = executions;
    this.transport = transport;
    this.listener = listener;
  }

  /** Sends the queued requests that are still valid, as far as the connection is writable. */
  void sendPending(MachineConnection connection, Duration now) {
    for (PlacementRequest request : connection.unsentRequests()) {
      if (!connection.isOpen() || !transport.isWritable(connection)) {
        return;
      }
      if (listener.confirmSend(request.attempt())) {
        send(connection, request, now);
      } else {
        executions.withdraw(connection, request);
      }
    }
  }

  private void send(MachineConnection connection, PlacementRequest request, Duration now) {
    connection.markUsed(now);
    Duration timeLeft = request.answerDeadline().minus(now);
    if (transport.requestPlacement(connection, request.attempt(), timeLeft)) {
      request.markSent();
    }
  }
}
