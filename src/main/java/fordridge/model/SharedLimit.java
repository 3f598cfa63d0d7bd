package fordridge.model;

/**
 * A bound that several peers share. Its last quarter is reserved for peers that use at most a
 * sixteenth of the bound, so that one peer can't use it up.
 *
 * @param max the maximum for all peers together
 */
public record SharedLimit(long max) {
  /** One part in so many of the bound is reserved. */
  private static final int RESERVED_FRACTION = 4;

  /** A peer may use the reserved part up to one part in so many of the bound. */
  private static final int MODEST_FRACTION = 16;

  /**
   * Whether one more use is within the bound.
   *
   * @param total the use of all peers, including the new one
   * @param ofPeer the use of the one peer, including the new one
   */
  public boolean admits(long total, long ofPeer) {
    long unreserved = max - max / RESERVED_FRACTION;
    return total <= max && (total <= unreserved || ofPeer <= max / MODEST_FRACTION);
  }
}
