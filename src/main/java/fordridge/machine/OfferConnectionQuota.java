package fordridge.machine;

/**
 * Limits, over all machines, how many further connections may carry placement requests and how many
 * may be opened for them. The other connections are reserved for monitoring machines with VMs.
 * {@link ConnectionBudget} resets both limits at each tick. Not thread-safe.
 */
public final class OfferConnectionQuota {
  private int remainingBusy = Integer.MAX_VALUE;
  private int remainingOpens = Integer.MAX_VALUE;

  /** Sets how many further connections may become busy and be opened until the next call. */
  void set(int maxBusy, int maxOpens) {
    remainingBusy = maxBusy;
    remainingOpens = maxOpens;
  }

  /** Whether no further connection may carry placement requests. */
  boolean isExhausted() {
    return remainingBusy <= 0;
  }

  /** Whether a connection may be opened for a placement request. */
  boolean mayOpen() {
    return remainingBusy > 0 && remainingOpens > 0;
  }

  /** A connection without placement requests is given one. */
  void connectionBecameBusy() {
    remainingBusy--;
  }

  /** A connection was opened for a placement request. */
  void connectionOpened() {
    remainingOpens--;
  }
}
