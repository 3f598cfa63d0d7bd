package fordridge.session;

/**
 * A bound that all clients share. Its last quarter is reserved for connections that use at most a
 * sixteenth of the bound, so that one client can't use it up.
 *
 * @param max the maximum for all clients together
 */
public record SharedLimit(long max) {
  /** One part in so many of the bound is reserved. */
  private static final int RESERVED_FRACTION = 4;

  /** A connection may use the reserved part up to one part in so many of the bound. */
  private static final int MODEST_FRACTION = 16;

  /**
   * Whether one more use is within the bound.
   *
   * @param total the use of all clients, including the new one
   * @param ofConnection the use of the client's connection, including the new one
   */
  public boolean admits(long total, long ofConnection) {
    long unreserved = max - max / RESERVED_FRACTION;
    return total <= max && (total <= unreserved || ofConnection <= max / MODEST_FRACTION);
  }
}
