package fordridge.membership;

import java.time.Duration;

/**
 * Derives the number of schedulers that share the start rate of a machine in slow start from the
 * number of registrations.
 *
 * <p>An increase takes effect immediately, as the additional schedulers may already be sending
 * offers. A decrease takes effect only after twice the time to live of a lease, so that the share
 * of a scheduler that is still running although its registration expired is not given to the
 * others. Confined to one thread.
 */
public final class SchedulerCount {
  private static final int DECREASE_DELAY_LEASE_TTLS = 2;

  private final Duration decreaseDelay;
  private int count;
  private int highestDuringDelay;
  private Duration decreasePendingSince;

  /**
   * Creates a count that starts at the configured number.
   *
   * @param leaseTtl time to live of the lease under which schedulers register
   */
  public SchedulerCount(int configuredCount, Duration leaseTtl) {
    count = Math.max(1, configuredCount);
    decreaseDelay = leaseTtl.multipliedBy(DECREASE_DELAY_LEASE_TTLS);
  }

  /**
   * Updates the count with the current number of registrations, and returns the number of
   * schedulers that share the start rate.
   */
  public int updateRegistrations(int registrations, Duration now) {
    int registered = Math.max(1, registrations);
    if (registered >= count) {
      count = registered;
      decreasePendingSince = null;
    } else if (decreasePendingSince == null) {
      decreasePendingSince = now;
      highestDuringDelay = registered;
    } else {
      highestDuringDelay = Math.max(highestDuringDelay, registered);
      decreaseIfDelayElapsed(now);
    }
    return count;
  }

  private void decreaseIfDelayElapsed(Duration now) {
    if (now.minus(decreasePendingSince).compareTo(decreaseDelay) >= 0) {
      count = highestDuringDelay;
      decreasePendingSince = null;
    }
  }

  /** Restarts the delay of a pending decrease after the connection to the store was lost. */
  public void connectionLost() {
    decreasePendingSince = null;
  }

  /** The number of schedulers that share the start rate. */
  public int count() {
    return count;
  }
}
