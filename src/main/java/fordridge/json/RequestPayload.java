package fordridge.json;

/**
 * What is forwarded of a client's request, byte for byte.
 *
 * @param key the routing key
 * @param idempotencyKey the idempotency key, null where the request has none
 * @param description the VM's description
 */
public record RequestPayload(String key, String idempotencyKey, String description) {}
