package fordridge.machine;

/**
 * Tells apart the processes that listen at a machine's address one after another. All connections
 * to a process are reset when it ends, so connections that overlap in time lead to one process; one
 * that is established after the loss of all earlier ones may lead to another. Not thread-safe.
 *
 * <p>A process whose connections were all reset by the network has several incarnations here. That
 * a new incarnation has begun therefore does not prove that the VMs of an earlier one are over.
 */
final class ProcessIncarnations {
  private static final int FIRST = 0;

  private final ConnectionSet connections;
  private int current = FIRST;
  private boolean hasBegun;

  ProcessIncarnations(ConnectionSet connections) {
    this.connections = connections;
  }

  /** A connection of the set is about to be established. */
  void connectionEstablishing(MachineConnection connection) {
    if (hasBegun && !connections.hasEstablished()) {
      current++;
    }
    hasBegun = true;
    connection.setIncarnation(current);
  }

  /**
   * Whether another process than the machine's first one may listen at the address, and has an
   * established connection.
   */
  boolean mayHaveSuccessor() {
    return current > FIRST && connections.hasEstablished();
  }

  /** Whether any process has an established connection. */
  boolean isConnected() {
    return connections.hasEstablished();
  }

  /** Whether the connection leads to the process that was connected to last. */
  boolean isCurrent(MachineConnection connection) {
    return connection.incarnation() == current;
  }
}
