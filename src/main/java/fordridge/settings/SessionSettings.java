package fordridge.settings;

import java.time.Duration;

/**
 * Limits of the state that is retained for clients (block {@code sessions}).
 *
 * @param retention the session of a disconnected client without open requests is deleted after this
 *     time
 * @param maxRetainedResponses maximum number of final responses retained, over all clients
 * @param maxUnreadResponses maximum number of responses that one client has not read
 * @param maxOpenRequests maximum number of open requests of one client
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
