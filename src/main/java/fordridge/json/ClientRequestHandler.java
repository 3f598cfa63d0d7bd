package fordridge.json;

/**
 * Receives what clients request. All methods are called on the event loop, in the order in which
 * the sockets were read.
 */
public interface ClientRequestHandler {
  /** Whether the scheduler has started; health checks say so. */
  boolean isReady();

  /** Whether the connection has a pending request or a running VM. */
  boolean isInUse(ClientConnection connection);

  /** A client requests the placement of a VM. */
  void placementRequested(ClientConnection connection, ClientRequest request);

  /** A client withdraws a pending request, or ends a running VM. */
  void terminationRequested(ClientConnection connection, String vmId);

  /** A client has received the termination notice of a VM. */
  void terminationAcknowledged(ClientConnection connection, String vmId);

  /** The connection is closed, from either side; called once for each. */
  void connectionClosed(ClientConnection connection);

  /**
   * The connection received what can't be decoded; it is closed once what is written now is out.
   */
  void malformedInputReceived(ClientConnection connection);
}
