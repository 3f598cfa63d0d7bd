package fordridge.session;

/**
 * The bounds on the pending requests of all clients together.
 *
 * @param maxRequests their maximum number
 * @param maxBytes the maximum of the bytes that they retain
 */
public record PendingRequestLimits(int maxRequests, long maxBytes) {}
