package fordridge.machine;

/**
 * How many more connections may carry placement requests, over all machines, and how many more may
 * be opened for them: the others are left for hearing of the VMs that run. {@link ConnectionBudget}
 * sets both anew at each tick. Not thread-safe.
 */
public final class OfferAllowance {
  private int carriers = Integer.MAX_VALUE;
  private int opens = Integer.MAX_VALUE;

  /** So many more from now on, until the next call. */
  void set(int newCarriers, int newOpens) {
    carriers = newCarriers;
    opens = newOpens;
  }

  /** Whether no connection that carries none may get a placement request. */
  boolean isExhausted() {
    return carriers <= 0;
  }

  /** Whether a connection may be opened for a placement request. */
  boolean mayOpen() {
    return carriers > 0 && opens > 0;
  }

  /** A connection that carried none gets a placement request. */
  void carrierTaken() {
    carriers--;
  }

  /** A connection was opened for a placement request. */
  void opened() {
    opens--;
  }
}
