package fordridge.machine;

import fordridge.model.Machine;
import fordridge.model.PlacementAttempt;
import fordridge.model.PlacementAttempt.Outcome;
import fordridge.model.PlacementAttempt.OutcomeReason;
import java.time.Duration;

/**
 * Receives what is concluded from the connections to a machine, whatever protocol they carry. All
 * methods are called on the thread that calls the pool or stream.
 */
public interface AttemptListener {
  /**
   * The first byte of the offer could be written at this instant: whether the attempt may still go,
   * by all that is known by now. If not, it ends as one that was not sent.
   */
  boolean confirmSend(PlacementAttempt attempt);

  /** The attempt has its outcome; called at most once for each attempt. */
  void attemptEnded(PlacementAttempt attempt, Outcome outcome, OutcomeReason reason);

  /**
   * A health check was answered, failed or timed out.
   *
   * @param withLoadReport whether the answer carried a load report
   * @param roundTrip time since the health check was requested
   */
  void probeCompleted(Machine machine, boolean healthy, boolean withLoadReport, Duration roundTrip);
}
