package fordridge.model;

import java.time.Duration;

/** Backoff of the VMs of one tenant class from a machine that rejected one of them. */
public final class RejectionBackoff {
  /**
   * Current length of the backoff, which grows with each rejection and shrinks with each
   * acceptance.
   */
  public Duration span = Duration.ZERO;

  /** Earliest time of the next attempt. */
  public Duration until = Duration.ZERO;

  /** When the machine last accepted such a VM, null if it has not since the last rejection. */
  public Duration acceptedAt;

  /** Extends the backoff until the given time at least. */
  public void extendUntil(Duration time) {
    until = Durations.max(until, time);
  }
}
