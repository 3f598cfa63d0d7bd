package fordridge.json;

/**
 * Receives the requests of clients. All methods are called on the event loop, in the order in which
 * the sockets were read.
 */
public interface ClientRequestHandler {
  /** Whether the scheduler has started; reported in responses to health checks. */
  boolean isReady();

  /** Whether the connection has a pending request or a running VM. */
  boolean isInUse(ClientConnection connection);

  /** A client requests the placement of a VM. */
  void placementRequested(ClientConnection connection, ClientRequest request);

  /**
   * The input of a connection was read to its end after a time in which it was not read, see {@link
   * ClientConnection#isInputDelayed}: its client had not left until then.
   */
  void delayedInputRead(ClientConnection connection);

  /** A client withdraws a pending request or terminates a running VM. */
  void terminationRequested(ClientConnection connection, String vmId);

  /** A client acknowledges the termination notice of a VM. */
  void terminationAcknowledged(ClientConnection connection, String vmId);

  /** A connection was closed, by either side; called once for each connection. */
  void connectionClosed(ClientConnection connection);

  /**
   * A connection received input that can't be decoded; it is closed after the output written in
   * this call was sent.
   */
  void malformedInputReceived(ClientConnection connection);
}
