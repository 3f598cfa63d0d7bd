package fordridge.machine;

import java.time.Duration;
import java.util.Optional;

/**
 * Keeps a connection that was not established within the connect timeout: nothing waits for it any
 * more, but the machine may accept it late. Without it, a machine whose connections all take longer
 * than the timeout would never be reached, as each attempt starts from nothing. At most one
 * connection to a machine is kept, beside the newer attempts. Not thread-safe.
 */
final class LateConnection {
  private final MachineTransport transport;
  private MachineConnection kept;

  LateConnection(MachineTransport transport) {
    this.transport = transport;
  }

  boolean isEmpty() {
    return kept == null;
  }

  /** Keeps the connection; returns false if another one is kept already. */
  boolean keep(MachineConnection connection) {
    if (kept != null) {
      return false;
    }
    kept = connection;
    return true;
  }

  /** No longer keeps the connection, as it was established or has failed; false if it was not. */
  boolean remove(MachineConnection connection) {
    if (kept != connection) {
      return false;
    }
    kept = null;
    return true;
  }

  /** Closes the connection if its time is over; returns it if it was closed. */
  Optional<MachineConnection> closeIfOverdue(Duration now) {
    boolean isOverdue =
        kept != null
            && now.minus(kept.openedAt()).compareTo(ConnectionTimeouts.MAX_CONNECT_TIME) >= 0
            && !transport.isConnected(kept);
    return isOverdue ? close() : Optional.empty();
  }

  /** Closes the connection, if one is kept, and returns it. */
  Optional<MachineConnection> close() {
    if (kept == null) {
      return Optional.empty();
    }
    MachineConnection closed = kept;
    kept = null;
    closed.closed();
    transport.close(closed, MachineConnectionCloseReason.CONNECT_TIMED_OUT);
    return Optional.of(closed);
  }
}
