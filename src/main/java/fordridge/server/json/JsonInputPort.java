package fordridge.server.json;

import fordridge.eventloop.InputGate;
import fordridge.eventloop.InputGate.ReadResult;
import fordridge.eventloop.SocketPoller;
import fordridge.json.ClientServer;
import fordridge.runtime.InputKind;
import java.time.Duration;

/**
 * The input that the {@link InputGate} reads before a decision: all sockets of the event loop,
 * until all that clients had sent when it began was read, and all connections that waited then were
 * accepted. Confined to the event loop.
 */
final class JsonInputPort implements InputGate.Port {
  private final SchedulerEventLoop loop;
  private final SocketPoller poller;
  private ClientServer clients;

  /** Whether a read of all input that had arrived has begun, and needs another pass. */
  private boolean isReadStarted;

  JsonInputPort(SchedulerEventLoop loop, SocketPoller poller) {
    this.loop = loop;
    this.poller = poller;
  }

  /** Sets the server whose connections have to be read to their end. */
  void setClients(ClientServer newClients) {
    clients = newClients;
  }

  @Override
  public ReadResult readSockets() {
    if (clients == null) {
      poller.readReady();
      return ReadResult.COMPLETE;
    }
    if (!isReadStarted) {
      isReadStarted = true;
      clients.startRead();
    }
    clients.startReadPass();
    poller.readReady();
    if (clients.hasUnreadInput()) {
      return ReadResult.INCOMPLETE;
    }
    isReadStarted = false;
    return clients.isAcceptFailing() ? ReadResult.REFUSED : ReadResult.COMPLETE;
  }

  @Override
  public Duration clock() {
    return loop.clock();
  }

  @Override
  public void refreshTime() {
    loop.refreshTime();
  }

  @Override
  public void submit(InputKind kind, Runnable input) {
    loop.submit(kind, input);
  }
}
