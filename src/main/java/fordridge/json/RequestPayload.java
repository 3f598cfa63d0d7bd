package fordridge.json;

/**
 * The part of a client's request that is forwarded to machines unchanged.
 *
 * @param key the routing key
 * @param idempotencyKey the idempotency key, null if the request has none
 * @param description the VM's description
 */
public record RequestPayload(String key, String idempotencyKey, String description) {
  private static final char MAX_LATIN_1 = 0xFF;

  /** The bytes of heap that the characters of all fields take up. */
  public long retainedBytes() {
    return retainedBytes(key) + retainedBytes(idempotencyKey) + retainedBytes(description);
  }

  /** A string takes one byte a character, or two if any of them is not in Latin-1. */
  private static long retainedBytes(String text) {
    if (text == null) {
      return 0;
    }
    for (int i = 0; i < text.length(); i++) {
      if (text.charAt(i) > MAX_LATIN_1) {
        return 2L * text.length();
      }
    }
    return text.length();
  }
}
