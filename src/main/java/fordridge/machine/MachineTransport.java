package fordridge.machine;

import fordridge.model.PlacementAttempt;
import java.time.Duration;

/** Output port of a {@link MachineConnectionPool}: the operations on connections to a machine. */
public interface MachineTransport {
  /** Whether the machine's address is known and the connection limit allows one more. */
  boolean canOpen();

  /** Starts to connect; the outcome is reported to the pool later. */
  void open(MachineConnection connection);

  /** Whether the connection is established; the pool may not have received that event yet. */
  boolean isConnected(MachineConnection connection);

  /**
   * Whether output written now is passed to the network at once. If not, {@link
   * MachineConnectionPool#connectionWritable} is called when it would be.
   */
  boolean isWritable(MachineConnection connection);

  /**
   * Whether a connection is not established yet because of an error on the scheduler's own host.
   */
  boolean failedLocally(MachineConnection connection);

  /** Closes the connection; no further events of the connection are reported. */
  void close(MachineConnection connection, MachineConnectionCloseReason reason);

  /**
   * Sends a placement request; the machine has to answer within {@code timeLeft}.
   *
   * @return whether the machine may receive the request; if not, the connection had failed before
   *     the whole request was passed to the network, and its loss is reported later
   */
  boolean requestPlacement(
      MachineConnection connection, PlacementAttempt attempt, Duration timeLeft);

  /** Withdraws an unanswered placement request. */
  void cancel(MachineConnection connection, String vmId);

  /** Asks the machine to terminate a running VM. */
  void terminate(MachineConnection connection, String vmId);

  /** Sends a health check that requests a load report. */
  void probe(MachineConnection connection);

  /** Sends a health check that requests only an answer. */
  void ping(MachineConnection connection);
}
