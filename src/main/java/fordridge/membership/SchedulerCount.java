package fordridge.membership;

import java.time.Duration;

/**
 * How many placers share a cold machine's budget, from how many are registered. More placers count
 * at once: each may already be sending. Fewer count only when they have been fewer for longer than
 * a lease and its keeper's errors can last, so that a placer whose registration expired while it
 * still runs does not find its share given away.
 */
public final class SchedulerCount {
  private final Duration surelyOut;
  private int counted;
  private int most;
  private Duration fewerSince;

  /** {@code told} is what the settings say; registrations never count below one. */
  public SchedulerCount(int told, Duration lease) {
    counted = Math.max(1, told);
    surelyOut = lease.multipliedBy(2);
  }

  /** The registered number, whenever it is heard and now and then; gives the number to share by. */
  public int heard(int registered, Duration now) {
    int n = Math.max(1, registered);
    if (n >= counted) {
      counted = n;
      fewerSince = null;
    } else if (fewerSince == null) {
      fewerSince = now;
      most = n;
    } else {
      // The highest number seen while waiting is what it falls to.
      most = Math.max(most, n);
      if (now.minus(fewerSince).compareTo(surelyOut) >= 0) {
        counted = most;
        fewerSince = null;
      }
    }
    return counted;
  }

  /** The store cannot be heard: nothing is given away on silence. */
  public void cutOff() {
    fewerSince = null;
  }

  public int counted() {
    return counted;
  }
}
