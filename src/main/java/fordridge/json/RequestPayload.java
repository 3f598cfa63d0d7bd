package fordridge.json;

/**
 * The part of a client's request that is forwarded to machines unchanged.
 *
 * @param key the routing key
 * @param idempotencyKey the idempotency key, null if the request has none
 * @param description the VM's description
 */
public record RequestPayload(String key, String idempotencyKey, String description) {}
