package fordridge.machine;

/**
 * How many more connections may carry placement requests, over all machines: the others are left
 * for hearing of the VMs that run. {@link ConnectionBudget} sets it anew at each tick. Not
 * thread-safe.
 */
public final class OfferAllowance {
  private int remaining = Integer.MAX_VALUE;

  /** So many more from now on, until the next call. */
  void set(int connections) {
    remaining = connections;
  }

  int remaining() {
    return remaining;
  }

  boolean isExhausted() {
    return remaining <= 0;
  }

  /** A connection that carried none gets a placement request. */
  void take() {
    remaining--;
  }
}
