package fordridge.machine;

import fordridge.model.PlacementAttempt;
import java.time.Duration;

/** Output port of a {@link MachineConnectionPool}: what it may do with connections to a machine. */
public interface MachineTransport {
  /** Whether the address is known and the process may open one more connection. */
  boolean canOpen();

  /** Starts to connect; the outcome is reported to the pool later. */
  void open(MachineConnection connection);

  /** Whether the connection is up, which the pool may not have been told yet. */
  boolean isConnected(MachineConnection connection);

  /**
   * Whether the next byte that is written goes out at once. If not, the pool is told once it does.
   */
  boolean isWritable(MachineConnection connection);

  /** Whether a connection that did not come up yet was kept from it on the scheduler's own host. */
  boolean failedLocally(MachineConnection connection);

  /** Closes the connection; nothing more is reported of it as a connection. */
  void close(MachineConnection connection, MachineCloseReason reason);

  /** Sends a placement request that the machine has to answer within {@code timeLeft}. */
  void requestPlacement(MachineConnection connection, PlacementAttempt attempt, Duration timeLeft);

  /** Withdraws a placement request that has no answer yet. */
  void cancel(MachineConnection connection, String vmId);

  /** Asks the machine to terminate a running VM. */
  void terminate(MachineConnection connection, String vmId);

  /** Sends a health check that asks for a load report. */
  void probe(MachineConnection connection);

  /** Sends a health check that asks for nothing but an answer. */
  void ping(MachineConnection connection);
}
