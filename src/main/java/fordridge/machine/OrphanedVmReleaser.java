package fordridge.machine;

import fordridge.model.Machine;
import java.time.Duration;
import java.util.List;

/**
 * Requests a machine to release orphaned VMs: those that may run there although their attempts were
 * given up, see {@link UnsettledAttempts}. Releases are sent in batches on any open connection,
 * each batch followed by a health check whose answer proves that the machine has read it. Not
 * thread-safe.
 */
final class OrphanedVmReleaser {
  private final Machine machine;
  private final VmExecutions executions;
  private final UnsettledAttempts unsettled;
  private final ConnectionSet connections;
  private final MachineTransport transport;
  private final MachineConnectionListener listener;

  /**
   * Earliest time for the next release; set after the machine was unreachable or has not answered a
   * health check.
   */
  private Duration notBefore = Duration.ZERO;

  OrphanedVmReleaser(
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
    sendHealthCheck(connection, List.of(vmId), now);
  }

  /** Sends the pending releases if they are due and a connection is writable. */
  void releaseIfDue(Duration now) {
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
    sendHealthCheck(connection, vmIds, now);
  }

  private void sendHealthCheck(MachineConnection connection, List<String> vmIds, Duration now) {
    long healthCheckNumber = connection.pingSent(now);
    transport.ping(connection);
    vmIds.forEach(vmId -> unsettled.released(vmId, connection, healthCheckNumber));
  }

  /** A health check on the connection was not answered in time. */
  void healthCheckTimedOut(MachineConnection connection, Duration releaseNotBefore) {
    unsettled.connectionClosed(connection);
    waitUntil(releaseNotBefore);
  }

  /** Defers releases until that time. */
  void waitUntil(Duration releaseNotBefore) {
    notBefore = releaseNotBefore;
  }

  /** Whether a connection has to be opened to send pending releases. */
  boolean needsConnection(Duration now) {
    return isDue(now) && connections.newestOpen().isEmpty() && !connections.hasOpening();
  }
}
