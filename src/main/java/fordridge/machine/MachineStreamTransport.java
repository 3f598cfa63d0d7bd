package fordridge.machine;

import fordridge.model.PlacementAttempt;
import java.time.Duration;

/** Output port of a {@link MachineStream}: the operations on the stream to its machine. */
public interface MachineStreamTransport {
  /** Starts to connect; the outcome is reported to the {@link MachineStream} later. */
  void connect();

  /** Closes the stream; no further events of it are reported. */
  void close(String reason);

  /** Whether a message would be written at once rather than queued by the transport. */
  boolean isReady();

  /** Offers a VM; the machine has to answer within {@code timeLeft}. */
  void offer(PlacementAttempt attempt, AttemptId attemptId, Duration timeLeft);

  /** Cancels an attempt, whatever its state on the machine. */
  void cancel(AttemptId attemptId);

  /** Asks the machine to terminate a running VM. */
  void terminate(AttemptId attemptId);

  /** Sends a health check. */
  void probe();
}
