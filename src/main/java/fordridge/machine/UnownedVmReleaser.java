package fordridge.machine;

import fordridge.model.Machine;
import java.time.Duration;
import java.util.List;

/**
 * Has a machine release the VMs that may run there and that nobody owns, see {@link
 * UnsettledAttempts}: on any open connection, with a health check behind each batch, whose answer
 * proves that it was read. Not thread-safe.
 */
final class UnownedVmReleaser {
  private final Machine machine;
  private final VmExecutions executions;
  private final UnsettledAttempts unsettled;
  private final ConnectionSet connections;
  private final MachineTransport transport;
  private final MachineConnectionListener listener;

  /** The machine can't be reached, or has not answered behind a release. */
  private Duration notBefore = Duration.ZERO;

  UnownedVmReleaser(
      Machine machine,
      VmExecutions executions,
      ConnectionSet connections,
      MachineTransport transport,
      MachineConnectionListener listener) {
    this.machine = machine;
    this.executions = executions;
    this.connections = connections;
    this.transport = transport;
    this.listener = listener;
    unsettled = executions.unsettled();
  }

  /** The withdrawal of an attempt was written to the connection. */
  void withdrawn(MachineConnection connection, String vmId, Duration now) {
    unsettled.add(vmId, UnsettledReason.WITHDRAWN, now);
    writtenTo(connection, List.of(vmId), now);
  }

  /** Writes what is to be released, where that can be done now. */
  void releaseWhereDue(Duration now) {
    if (isDue(now)) {
      connections
          .newestOpen()
          .filter(transport::isWritable)
          .ifPresent(connection -> releaseOn(connection, now));
    }
  }

  private boolean isDue(Duration now) {
    return !unsettled.isEmpty()
        && now.compareTo(notBefore) >= 0
        && !executions.releasable().isEmpty();
  }

  private void releaseOn(MachineConnection connection, Duration now) {
    List<String> vmIds = executions.releasable();
    for (String vmId : vmIds) {
      transport.terminate(connection, vmId);
      listener.releaseSent(vmId, machine);
    }
    writtenTo(connection, vmIds, now);
  }

  private void writtenTo(MachineConnection connection, List<String> vmIds, Duration now) {
    long checkNumber = connection.pingSent(now);
    transport.ping(connection);
    vmIds.forEach(vmId -> unsettled.released(vmId, connection, checkNumber));
  }

  /** A health check on the connection was not answered in time. */
  void checkTimedOut(MachineConnection connection, Duration nextNotBefore) {
    unsettled.connectionEnded(connection);
    waitUntil(nextNotBefore);
  }

  /** Nothing is to be released before that time. */
  void waitUntil(Duration nextNotBefore) {
    notBefore = nextNotBefore;
  }

  /** Whether a connection is to be opened for it. */
  boolean needsConnection(Duration now) {
    return isDue(now) && connections.newestOpen().isEmpty() && !connections.hasOpening();
  }
}
