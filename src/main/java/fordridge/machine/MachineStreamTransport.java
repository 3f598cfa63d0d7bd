package fordridge.machine;

import fordridge.model.PlacementAttempt;
import java.time.Duration;

/** Output port of a {@link MachineStream}: what it may do with the stream to its machine. */
public interface MachineStreamTransport {
  /** Starts to connect; the outcome is reported to the {@link MachineStream} later. */
  void connect();

  /** Closes the stream; nothing more is reported of it. */
  void close(String reason);

  /** Whether a message would be written now rather than be queued by the transport. */
  boolean isReady();

  /** Offers a VM that the machine has to answer for within {@code timeLeft}. */
  void offer(PlacementAttempt attempt, AttemptId attemptId, Duration timeLeft);

  /** Withdraws an attempt, whatever became of it on the machine. */
  void cancel(AttemptId attemptId);

  /** Asks the machine to terminate a running VM. */
  void terminate(AttemptId attemptId);

  /** Sends a health check. */
  void probe();
}
