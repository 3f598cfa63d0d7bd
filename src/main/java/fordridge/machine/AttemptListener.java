package fordridge.machine;

import fordridge.model.Machine;
import fordridge.model.PlacementAttempt;
import fordridge.model.PlacementAttempt.Outcome;
import fordridge.model.PlacementAttempt.OutcomeReason;
import java.time.Duration;

/**
 * Receives the events that are common to the JSON lines and the gRPC protocol: attempts that end
 * and health checks that complete. All methods are called on the thread that calls the {@link
 * MachineConnectionPool} or the {@link MachineStream}.
 */
public interface AttemptListener {
  /**
   * Returns whether a queued attempt may still be sent, decided on the current state. Called
   * immediately before its offer is written; if false, the attempt ends as {@link
   * Outcome#NOT_SENT}.
   */
  boolean confirmSend(PlacementAttempt attempt);

  /** The attempt has its outcome; called at most once for each attempt. */
  void attemptEnded(PlacementAttempt attempt, Outcome outcome, OutcomeReason reason);

  /**
   * A health check was answered, failed or timed out.
   *
   * @param withLoadReport whether the answer contained a load report
   * @param roundTrip time since the health check was requested
   */
  void probeCompleted(Machine machine, boolean healthy, boolean withLoadReport, Duration roundTrip);
}
