package fordridge.model;

import java.time.Duration;

/** For how long VMs of one tenant and priority class stay away from a machine that rejects them. */
public final class RejectionBackoff {
  /** The current span, which grows with each rejection and shrinks with each acceptance. */
  public Duration span = Duration.ZERO;

  /** No attempt is sent before this time. */
  public Duration until = Duration.ZERO;

  /** When the machine last accepted one since the last rejection, or null. */
  public Duration acceptedAt;

  /** Goes on until that time at least. */
  public void extendUntil(Duration time) {
    until = Durations.max(until, time);
  }
}
