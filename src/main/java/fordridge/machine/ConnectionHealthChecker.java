package fordridge.machine;

import fordridge.model.Machine;
import java.time.Duration;
import java.util.Optional;

/**
 * Sends health checks on the connections to one machine: probes, whose results the scheduler waits
 * for, and checks that only need an answer. Not thread-safe.
 */
final class ConnectionHealthChecker {
  private final Machine machine;
  private final ConnectionSet connections;
  private final MachineTransport transport;
  private final MachineConnectionListener listener;

  ConnectionHealthChecker(
      Machine machine,
      ConnectionSet connections,
      MachineTransport transport,
      MachineConnectionListener listener) {
    this.machine = machine;
    this.connections = connections;
    this.transport = transport;
    this.listener = listener;
  }

  /** Probes on the connection once it is established; fails at once if there is none. */
  void probe(Optional<MachineConnection> connection, Duration now) {
    if (connection.isEmpty()) {
      listener.probeCompleted(machine, false, false, Duration.ZERO);
      return;
    }
    connection.get().probeRequested(now);
    if (connection.get().isOpen()) {
      transport.probe(connection.get());
    }
  }

  /** Sends the probe that waited for the connection, if any. */
  void connectionEstablished(MachineConnection connection) {
    if (connection.isProbing()) {
      transport.probe(connection);
    }
  }

  /**
   * Checks whether an established connection works. Tells a machine that only takes no further
   * connection from one that is gone or cut off.
   */
  void checkEstablished(Duration now) {
    connections
        .newestOpen()
        .filter(connection -> !connection.hasHealthCheck() && transport.isWritable(connection))
        .ifPresent(connection -> ping(connection, now));
  }

  /** Checks all established connections, however many health checks are pending there. */
  void checkEachEstablished(Duration now) {
    for (MachineConnection connection : connections.all()) {
      if (!connection.isOpening()) {
        ping(connection, now);
      }
    }
  }

  private void ping(MachineConnection connection, Duration now) {
    connection.pingSent(now);
    transport.ping(connection);
  }

  /** Fails the probes that wait for an answer on the connection. */
  void failProbes(MachineConnection connection, Duration now) {
    for (Duration roundTrip : connection.takeProbes(now)) {
      listener.probeCompleted(machine, false, false, roundTrip);
    }
  }
}
