package fordridge.membership;

import java.time.Duration;

/**
 * The number of schedulers that share the start rate of a machine in slow start, from the number of
 * registrations.
 *
 * <p>More schedulers count at once: each may already be sending. Fewer count only after twice the
 * lease's time to live, so that the share of a scheduler whose registration expired while it still
 * runs is not given away. Confined to one thread.
 */
public final class SchedulerCount {
  private static final int LEASES_UNTIL_GONE = 2;

  private final Duration decreaseDelay;
  private int count;
  private int highestWhileWaiting;
  private Duration fewerSince;

  /**
   * Starts with the configured number.
   *
   * @param leaseTtl time to live of a registration's lease
   */
  public SchedulerCount(int configuredCount, Duration leaseTtl) {
    count = Math.max(1, configuredCount);
    decreaseDelay = leaseTtl.multipliedBy(LEASES_UNTIL_GONE);
  }

  /** Takes the number of registrations, at any time; returns the number to share by. */
  public int registrationsCounted(int registrations, Duration now) {
    int registered = Math.max(1, registrations);
    if (registered >= count) {
      count = registered;
      fewerSince = null;
    } else if (fewerSince == null) {
      fewerSince = now;
      highestWhileWaiting = registered;
    } else {
      highestWhileWaiting = Math.max(highestWhileWaiting, registered);
      decreaseAfterDelay(now);
    }
    return count;
  }

  private void decreaseAfterDelay(Duration now) {
    if (now.minus(fewerSince).compareTo(decreaseDelay) >= 0) {
      count = highestWhileWaiting;
      fewerSince = null;
    }
  }

  /** The store cannot be reached: a decrease must be seen anew. */
  public void connectionLost() {
    fewerSince = null;
  }

  /** The number to share by. */
  public int count() {
    return count;
  }
}
