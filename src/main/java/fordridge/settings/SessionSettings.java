package fordridge.settings;

import java.time.Duration;

/**
 * What is retained for clients (block {@code sessions}).
 *
 * @param retention an absent client with no open request is forgotten after this
 * @param maxRetainedResponses final responses retained for all clients together
 * @param maxUnreadResponses responses that one client may leave unread
 * @param maxOpenRequests open requests of one client
 */
public record SessionSettings(
    Duration retention, int maxRetainedResponses, int maxUnreadResponses, int maxOpenRequests) {
  static SessionSettings read(ConfigReader reader) {
    return new SessionSettings(
        reader.duration("sessions.keep", Duration.ofSeconds(1), Limits.MAX_DURATION),
        reader.integer("sessions.keep_answers", 16, 10_000_000),
        reader.integer("sessions.unread", 4, 1_000_000),
        reader.integer("sessions.open", 1, 1_000_000));
  }
}
